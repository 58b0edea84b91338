#ifndef LIMPET_CORE_PAUSE_MONITOR_H_
#define LIMPET_CORE_PAUSE_MONITOR_H_

#include <algorithm>

#include "limpet/core/time.h"

namespace limpet {

/// Bounds the age of messages that are read after a pause of the process. Deadlines in messages are
/// relative to their arrival, but a message that arrived during a pause is read only after it.
class PauseMonitor {
 public:
  /// The process runs. Call it on every tick.
  void OnTick(TimePoint now) {
    const Duration gap = now - last_tick_;
    if (last_tick_ != TimePoint{} && gap > kMinPause) {
      pause_ = gap;
      backlog_until_ = now + kBacklogTime;
    }
    last_tick_ = now;
  }
  /// Longest time for which a message that is read now may have waited; 0 without a pause.
  Duration MaxInputAge(TimePoint now) const {
    const Duration since_tick = last_tick_ == TimePoint{} ? Duration(0) : now - last_tick_;
    const Duration backlog = now < backlog_until_ ? pause_ : Duration(0);
    return std::max(since_tick > kMinPause ? since_tick : Duration(0), backlog);
  }

 private:
  /// Ticks are 50 ms apart; a busy VM delays them by a multiple of that.
  static constexpr Duration kMinPause = std::chrono::milliseconds(500);
  /// Messages that arrived during the pause are read within this time after it.
  static constexpr Duration kBacklogTime = std::chrono::milliseconds(100);

  TimePoint last_tick_{};
  Duration pause_{0};
  TimePoint backlog_until_{};
};

}  // namespace limpet

#endif  // LIMPET_CORE_PAUSE_MONITOR_H_
