#ifndef LIMPET_CONTROL_SYSTEM_LOG_READER_H_
#define LIMPET_CONTROL_SYSTEM_LOG_READER_H_

#include <cstdint>
#include <optional>

#include "limpet/configlog/log_cursor.h"
#include "limpet/configlog/system_replay.h"
#include "limpet/core/counters.h"

namespace limpet {

/// Reads and replays the stream "system". Reading starts near the end of the stream, because leases
/// in use are renewed every few seconds. If the caller needs a checkpoint and none was found,
/// reading restarts further back.
class SystemLogReader {
 public:
  static constexpr Duration kPollInterval = std::chrono::seconds(1);
  static constexpr int kMaxRecords = 256;
  /// Reading starts this many records before the end of the stream. At the design size this covers
  /// more than 20 s.
  static constexpr int64_t kFirstWindowRecords = 512;
  static constexpr int64_t kWindowGrowthFactor = 8;
  /// After a pause of this length between ticks, reading restarts near the end of the stream.
  static constexpr Duration kMaxTickGap = std::chrono::seconds(10);

  SystemLogReader(Random random, Counters& counters);

  /// Returns the read to send now, if one is due.
  std::optional<LogRead> Tick(TimePoint now, bool needs_checkpoint, RequestIds& ids);
  /// Returns true if the result belongs to this reader.
  bool OnResult(TimePoint now, const LogResult& result);
  void ReadSoon(TimePoint now) { cursor_.ReadSoon(now); }

  const SystemReplay& replay() const { return replay_; }
  const LogCursor& cursor() const { return cursor_; }
  /// When the replay first reached the end of the stream after a (re)start; unset before.
  std::optional<TimePoint> synced_since() const { return synced_since_; }

 private:
  void Restart();
  void StartNearEnd();
  bool OnProbeResult(TimePoint now, const LogResult& result);

  /// Reads one record, to get the range of offsets that the log retains.
  LogCursor probe_;
  LogCursor cursor_;
  bool probing_ = true;
  int64_t window_ = kFirstWindowRecords;
  int64_t start_ = 1;
  TimePoint last_tick_;
  SystemReplay replay_;
  std::optional<TimePoint> synced_since_;
  Counter& failed_;
  Counter& fenced_;
};

}  // namespace limpet

#endif  // LIMPET_CONTROL_SYSTEM_LOG_READER_H_
