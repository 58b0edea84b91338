#ifndef LIMPET_CONFIGLOG_LOG_CURSOR_H_
#define LIMPET_CONFIGLOG_LOG_CURSOR_H_

#include <cstdint>
#include <optional>
#include <string>

#include "limpet/control/control_output.h"
#include "limpet/core/random.h"
#include "limpet/core/time.h"

namespace limpet {

/// Ids of log requests, unique in one process.
class RequestIds {
 public:
  uint64_t Next() { return ++last_; }

 private:
  uint64_t last_ = 0;
};

/// A request that the log does not answer within this time counts as lost.
inline constexpr Duration kLogRequestTimeout = std::chrono::seconds(2);

/// Exponential backoff with jitter for a log that is down, throttles or answers nonsense.
class LogBackoff {
 public:
  static constexpr Duration kMin = std::chrono::milliseconds(500);
  static constexpr Duration kMax = std::chrono::seconds(5);

  explicit LogBackoff(Random random) : random_(random) {}

  /// How long to wait after one more failure.
  Duration Next();
  void Reset() { failures_ = 0; }
  Random& random() { return random_; }

 private:
  Random random_;
  int failures_ = 0;
};

/// Paces reads of one stream: one request at a time, the next page at once while there is more,
/// then one read per interval. Checks that an answer fits the request.
class LogCursor {
 public:
  enum class Page {
    kUnrelated,  // answer to another or an abandoned request
    kRecords,    // the records follow the wanted offset without a gap; may be empty
    kExpired,    // the wanted offset is below the first retained one
    kBeyondEnd,  // the log ends before the wanted offset
    kFailed,
  };

  LogCursor(std::string stream, Duration interval, int max_records, Random random);

  /// The read to send now, if any.
  std::optional<LogRead> Tick(TimePoint now, int64_t from, RequestIds& ids);
  Page OnResult(TimePoint now, const LogResult& result);
  /// Makes the next read due at once, unless the log is failing.
  void ReadSoon(TimePoint now);

  /// When the last read that reached the end of the stream was sent.
  std::optional<TimePoint> caught_up_at() const { return caught_up_at_; }
  std::optional<TimePoint> responded_at() const { return responded_at_; }
  /// As of the last answer.
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
  void Fail(TimePoint now);

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
