#ifndef LIMPET_SRC_STANDIN_LOG_H_
#define LIMPET_SRC_STANDIN_LOG_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "limpet/control/control_output.h"
#include "limpet/core/time.h"

namespace limpet {

/// Limits of the stand-in log; 0 means no limit.
struct StandinLogLimits {
  /// Records kept in each stream; the oldest are removed.
  int64_t max_records = 0;
  int64_t max_record_bytes = 1 << 20;
  double appends_per_second = 500;
};

/// Faults that the log injects.
struct StandinLogFaults {
  /// Every request fails as unavailable and has no effect.
  bool outage = false;
  /// Delay of each append and read before it is carried out.
  int delay_ms = 0;
  /// Number of further appends that take effect but whose response is lost; -1 means all.
  int lose_responses = 0;
};

struct StandinLogCounts {
  int64_t appends = 0;
  int64_t append_bytes = 0;
  int64_t reads = 0;
  int64_t read_bytes = 0;
};

/// Stand-in for the platform's log: append-only streams in memory with offsets from 1. Does no I/O.
/// Not safe for concurrent use.
class StandinLog {
 public:
  /// A read ends with the record that brings its payloads to this size or beyond.
  static constexpr std::size_t kMaxReadBytes = 4U << 20U;
  static constexpr int kMaxReadRecords = 1000;

  explicit StandinLog(StandinLogLimits limits) : limits_(limits) {}

  LogResult Append(TimePoint now, const LogAppend& request);
  LogResult Read(const LogRead& request);

  /// Returns true if the response of the append just made must be lost. Counts `lose_responses`
  /// down unless it is -1, so call it once for each append that succeeded.
  bool ConsumeLostResponse();

  StandinLogFaults faults;
  const StandinLogCounts& counts() const { return counts_; }

 private:
  struct Stream {
    int64_t first_offset = 1;
    std::deque<std::string> payloads;
  };

  /// Spends one token of a bucket that holds at most the appends of one second, but at least one.
  /// Returns false if it is empty. Always true without a rate limit.
  bool TrySpendToken(TimePoint now);

  StandinLogLimits limits_;
  std::map<std::string, Stream> streams_;
  StandinLogCounts counts_;
  double tokens_ = -1;
  TimePoint last_refill_;
};

}  // namespace limpet

#endif  // LIMPET_SRC_STANDIN_LOG_H_
