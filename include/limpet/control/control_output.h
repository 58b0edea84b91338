#ifndef LIMPET_CONTROL_CONTROL_OUTPUT_H_
#define LIMPET_CONTROL_CONTROL_OUTPUT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "limpet_types.h"

namespace limpet {

struct PeerAddress {
  std::string host;
  int port = 0;

  auto operator<=>(const PeerAddress&) const = default;
};

struct OutgoingMessage {
  PeerAddress to;
  wire::Envelope envelope;
};

enum class LogStatus {
  kOk,
  kUnavailable,        // the request did not reach the log
  kUnknownOutcome,     // the response was lost; an append may have taken effect
  kThrottled,          // refused by the append rate limit; not appended
  kTooLarge,           // record over the size limit; not appended
  kOffsetExpired,      // the read started below the first retained offset
  kMalformedResponse,  // the log's response does not parse
};

struct LogAppend {
  uint64_t request = 0;
  std::string stream;
  std::string payload;
};

struct LogRead {
  uint64_t request = 0;
  std::string stream;
  /// First offset to read; offsets start at 1.
  int64_t from = 1;
  int max_records = 0;
};

using LogRequest = std::variant<LogAppend, LogRead>;

struct LogRecord {
  int64_t offset = 0;
  std::string payload;
};

/// Result of a `LogAppend`, which sets `offset`, or of a `LogRead`, which sets the fields below it.
struct LogResult {
  uint64_t request = 0;
  LogStatus status = LogStatus::kOk;
  int64_t offset = 0;
  std::vector<LogRecord> records;
  /// First offset that the log retains and the offset after its last record.
  int64_t first_offset = 1;
  int64_t end_offset = 1;
};

/// Messages and log requests that the driver has to send after a step.
struct ControlOutput {
  std::vector<OutgoingMessage> messages;
  std::vector<LogRequest> log_requests;

  void Append(ControlOutput other);
};

}  // namespace limpet

#endif  // LIMPET_CONTROL_CONTROL_OUTPUT_H_
