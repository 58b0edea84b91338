#ifndef LIMPET_CONFIGLOG_LOG_READER_H_
#define LIMPET_CONFIGLOG_LOG_READER_H_

#include <cstdint>
#include <optional>

#include "limpet/configlog/log_access.h"
#include "limpet/configlog/log_replay.h"
#include "limpet/configlog/system_replay.h"

namespace limpet {

/// Records asked for in one read.
inline constexpr int kReadBatch = 1000;

/// Follows the stream "config" for a blocking caller such as a publisher.
class LogReader {
 public:
  /// Records of "config" up to which replay from offset 1 is preferred to a checkpoint. At the
  /// design size one record takes about 6 ms to replay.
  static constexpr int64_t kMaxDirectReplay = 300;

  explicit LogReader(LogAccess& log) : log_(log) {}

  /// Replays all records up to the end of the stream, at first from offset 1 or from the newest
  /// checkpoint. `kOffsetExpired` means that no checkpoint reaches the retained records. On failure
  /// `replay()` keeps the position it has reached, and a later call continues there.
  LogStatus CatchUp();

  const LogReplay& replay() const { return replay_; }

  /// The change that was accepted on `base`, also if it is older than the checkpoint that the
  /// replay started from. If the log no longer holds it, only the version in effect is set.
  ConflictingChange FindConflictingChange(int64_t base) const;

 private:
  LogStatus Start();
  LogStatus StartFromCheckpoint(int64_t first_retained);

  ConflictingChange FindConflictingChangeInLog(int64_t base, int64_t version) const;

  LogAccess& log_;
  LogReplay replay_;
  bool started_ = false;
};

/// Replays the stream "system" from its first retained record to its end. `now` is the time of the
/// read for the lease table.
LogStatus ReadSystemStream(LogAccess& log, TimePoint now, std::optional<SystemReplay>& system);

}  // namespace limpet

#endif  // LIMPET_CONFIGLOG_LOG_READER_H_
