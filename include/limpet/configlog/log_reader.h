#ifndef LIMPET_CONFIGLOG_LOG_READER_H_
#define LIMPET_CONFIGLOG_LOG_READER_H_

#include <cstdint>
#include <optional>

#include "limpet/configlog/log_access.h"
#include "limpet/configlog/log_replay.h"
#include "limpet/configlog/system_replay.h"

namespace limpet {

/// Maximum number of records requested in one read.
inline constexpr int kMaxRecordsPerRead = 1000;

/// Replays the stream "config" with blocking reads, e.g. for a publisher.
class LogReader {
 public:
  /// A stream whose end offset is at most this is replayed from offset 1 rather than from a
  /// checkpoint. At the design size, replaying one record takes about 6 ms.
  static constexpr int64_t kMaxDirectReplayOffset = 300;

  explicit LogReader(LogAccess& log) : log_(log) {}

  /// Replays all records up to the end of the stream. The first call starts at offset 1 or at the
  /// newest checkpoint. Returns `kOffsetExpired` if the start of the stream is no longer retained
  /// and no valid checkpoint reaches the first retained record. On failure `replay()` keeps the
  /// position that it has reached, and the next call continues there.
  LogStatus CatchUp();

  const LogReplay& replay() const { return replay_; }

  /// Returns the change that was accepted on `base`, even if it is older than the checkpoint that
  /// the replay started from. If the log no longer retains it, the result has the version in effect
  /// and no id or author.
  ConflictingChange FindConflictingChange(int64_t base) const;

 private:
  LogStatus Start();
  LogStatus StartFromCheckpoint(int64_t first_retained);

  ConflictingChange FindConflictingChangeInLog(int64_t base, int64_t version) const;

  LogAccess& log_;
  LogReplay replay_;
  bool started_ = false;
};

/// Replays the stream "system" from its first retained record to its end. `now` is recorded as the
/// read time of lease claims.
LogStatus ReadSystemStream(LogAccess& log, TimePoint now, std::optional<SystemReplay>& system);

}  // namespace limpet

#endif  // LIMPET_CONFIGLOG_LOG_READER_H_
