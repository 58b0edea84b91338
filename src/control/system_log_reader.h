#ifndef LIMPET_CONTROL_SYSTEM_LOG_READER_H_
#define LIMPET_CONTROL_SYSTEM_LOG_READER_H_

#include <cstdint>
#include <optional>

#include "limpet/configlog/log_cursor.h"
#include "limpet/configlog/system_replay.h"
#include "limpet/core/counters.h"

namespace limpet {

/// Follows the stream "system". Starts near its end, because leases in use are renewed every few
/// seconds, and goes back further only while a checkpoint is wanted and not found.
class SystemLogReader {
 public:
  static constexpr Duration kPollInterval = std::chrono::seconds(1);
  static constexpr int kMaxRecords = 256;
  /// Records before the end at which reading starts; at the design size over 20 s of records.
  static constexpr int64_t kFirstWindow = 512;
  static constexpr int64_t kWindowGrowth = 8;
  /// After a pause of this long the position is given up for one near the end.
  static constexpr Duration kMaxPause = std::chrono::seconds(10);

  SystemLogReader(Random random, Counters& counters);

  std::optional<LogRead> Tick(TimePoint now, bool checkpoint_wanted, RequestIds& ids);
  /// Returns true if the result belongs to this reader.
  bool OnResult(TimePoint now, const LogResult& result);
  void ReadSoon(TimePoint now) { cursor_.ReadSoon(now); }

  const SystemReplay& replay() const { return replay_; }
  const LogCursor& cursor() const { return cursor_; }
  /// When the replay first reached the end of the stream; unset before.
  std::optional<TimePoint> synced_since() const { return synced_since_; }

 private:
  void Restart();
  void StartNearEnd();
  bool OnProbe(TimePoint now, const LogResult& result);

  LogCursor probe_;
  LogCursor cursor_;
  bool probing_ = true;
  int64_t window_ = kFirstWindow;
  int64_t start_ = 1;
  TimePoint last_tick_;
  SystemReplay replay_;
  std::optional<TimePoint> synced_since_;
  Counter& failed_;
  Counter& fenced_;
};

}  // namespace limpet

#endif  // LIMPET_CONTROL_SYSTEM_LOG_READER_H_
