#ifndef LIMPET_CONFIGLOG_LOG_CURSOR_H_
#define LIMPET_CONFIGLOG_LOG_CURSOR_H_

#include <cstdint>
#include <optional>
#include <string>

#include "limpet/control/control_output.h"
#include "limpet/core/random.h"
#include "limpet/core/time.h"

namespace limpet {

/// Generates ids of log requests, unique within one process.
class RequestIds {
 public:
  uint64_t Next() { return ++last_; }

 private:
  uint64_t last_ = 0;
};

/// A log request without a response after this time counts as failed.
inline constexpr Duration kLogRequestTimeout = std::chrono::seconds(2);

/// Exponential backoff with jitter after a failed log request, e.g. when the log is unavailable,
/// throttles or sends a malformed response.
class LogBackoff {
 public:
  static constexpr Duration kMinDelay = std::chrono::milliseconds(500);
  static constexpr Duration kMaxDelay = std::chrono::seconds(5);

  explicit LogBackoff(Random random) : random_(random) {}

  /// Counts one more failure and returns the delay before the next request.
  Duration NextDelay();
  void Reset() { failures_ = 0; }
  Random& random() { return random_; }

 private:
  Random random_;
  int failures_ = 0;
};

/// Schedules the reads of one stream: one request at a time; the next page immediately while there
/// are more records, otherwise one read per interval. Checks that each response fits its request.
class LogCursor {
 public:
  enum class Page {
    kUnrelated,  // response to another request or to one that timed out
    kRecords,    // the records start at the requested offset, without a gap; may be empty
    kExpired,    // the requested offset is below the first retained one
    kBeyondEnd,  // the log ends before the requested offset
    kFailed,
  };

  LogCursor(std::string stream, Duration interval, int max_records, Random random);

  /// Returns the read from offset `from` to send now, if one is due.
  std::optional<LogRead> Tick(TimePoint now, int64_t from, RequestIds& ids);
  Page OnResult(TimePoint now, const LogResult& result);
  /// Makes the next read due immediately, unless the last one failed.
  void ReadSoon(TimePoint now);

  /// Send time of the last read that reached the end of the stream.
  std::optional<TimePoint> caught_up_at() const { return caught_up_at_; }
  std::optional<TimePoint> responded_at() const { return responded_at_; }
  /// According to the last valid response.
  int64_t first_offset() const { return first_offset_; }
  int64_t end_offset() const { return end_offset_; }
  int64_t failures() const { return failures_; }

 private:
  struct PendingRequest {
    uint64_t request = 0;
    int64_t from = 0;
    TimePoint sent_at;
  };

  Page Classify(const LogResult& result, int64_t from) const;
  void RecordFailure(TimePoint now);

  std::string stream_;
  Duration interval_;
  int max_records_;
  LogBackoff backoff_;
  std::optional<PendingRequest> pending_;
  TimePoint next_read_;
  bool failing_ = false;
  std::optional<TimePoint> caught_up_at_;
  std::optional<TimePoint> responded_at_;
  int64_t first_offset_ = 1;
  int64_t end_offset_ = 1;
  int64_t failures_ = 0;
};

}  // namespace limpet

#endif  // LIMPET_CONFIGLOG_LOG_CURSOR_H_
