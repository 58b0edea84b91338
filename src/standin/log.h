#ifndef LIMPET_SRC_STANDIN_LOG_H_
#define LIMPET_SRC_STANDIN_LOG_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "limpet/control/control_output.h"
#include "limpet/core/time.h"

namespace limpet {

/// Limits of the stand-in log; 0 means none.
struct StandinLogLimits {
  /// Records that a stream keeps; the oldest are dropped.
  int64_t max_records = 0;
  int64_t max_record_bytes = 1 << 20;
  double appends_per_second = 500;
};

/// Behaviour on command.
struct StandinLogFaults {
  /// Every request is refused without effect.
  bool outage = false;
  /// Delay before each answer.
  int delay_ms = 0;
  /// Number of appends that take effect but whose answer is lost; -1 means all.
  int lose_answers = 0;
};

struct StandinLogCounts {
  int64_t appends = 0;
  int64_t append_bytes = 0;
  int64_t reads = 0;
  int64_t read_bytes = 0;
};

/// Append-only streams with offsets from 1, in memory. Stand-in for the platform's log; free of
/// I/O. Not safe for concurrent use.
class StandinLog {
 public:
  /// A read stops after the record that exceeds this size.
  static constexpr std::size_t kMaxReadBytes = 4U << 20U;
  static constexpr int kMaxReadRecords = 1000;

  explicit StandinLog(StandinLogLimits limits) : limits_(limits) {}

  LogResult Append(TimePoint now, const LogAppend& request);
  LogResult Read(const LogRead& request);

  /// True once for each append whose answer has to be lost.
  bool TakeLostAnswer();

  StandinLogFaults faults;
  const StandinLogCounts& counts() const { return counts_; }

 private:
  struct Stream {
    int64_t first_offset = 1;
    std::deque<std::string> payloads;
  };

  /// Token bucket that holds at most one second's worth of appends.
  bool TakeToken(TimePoint now);

  StandinLogLimits limits_;
  std::map<std::string, Stream> streams_;
  StandinLogCounts counts_;
  double tokens_ = -1;
  TimePoint refilled_;
};

}  // namespace limpet

#endif  // LIMPET_SRC_STANDIN_LOG_H_
