#ifndef LIMPET_CONFIGLOG_CHECKPOINT_POLICY_H_
#define LIMPET_CONFIGLOG_CHECKPOINT_POLICY_H_

#include <cstdint>

namespace limpet {

/// State of the streams "config" and "system", as read by the holder of the checkpoint lease.
struct CheckpointInput {
  /// Newest checkpoint in the stream "system"; offset 0 if there is none.
  int64_t checkpoint_offset = 0;
  int64_t checkpoint_next_offset = 1;
  int64_t system_first = 1;
  int64_t system_end = 1;
  /// Number of changes accepted after the checkpoint.
  int64_t changes_since = 0;
  /// Replay position of the holder.
  int64_t position = 1;
  int64_t config_first = 1;
  int64_t config_end = 1;
};

inline constexpr int64_t kChangesPerCheckpoint = 100;

/// Returns true if at least 100 changes were accepted after the checkpoint, or if the oldest record
/// that a starting node needs (the checkpoint, or the first record after it) lies in the older half
/// of the retained records. The log does not report its retention limit, only the range of retained
/// offsets; therefore half of this range is the limit.
bool IsCheckpointDue(const CheckpointInput& input);

}  // namespace limpet

#endif  // LIMPET_CONFIGLOG_CHECKPOINT_POLICY_H_
