#ifndef LIMPET_CONFIGLOG_CHECKPOINT_POLICY_H_
#define LIMPET_CONFIGLOG_CHECKPOINT_POLICY_H_

#include <cstdint>

namespace limpet {

/// State of the two streams when the holder of the checkpoint lease decides.
struct CheckpointInput {
  /// Newest checkpoint in the stream "system"; offset 0 without one.
  int64_t checkpoint_offset = 0;
  int64_t checkpoint_next_offset = 1;
  int64_t system_first = 1;
  int64_t system_end = 1;
  /// Changes accepted after the checkpoint.
  int64_t changes_since = 0;
  /// Replay position of the holder.
  int64_t position = 1;
  int64_t config_first = 1;
  int64_t config_end = 1;
};

inline constexpr int64_t kChangesPerCheckpoint = 100;

/// True after 100 accepted changes, or when the oldest record that a starting node needs (the
/// checkpoint, or the first record after it) lies in the older half of the retained records. The
/// log shows its retention only by the offsets that it still keeps, hence half of the offsets.
bool IsCheckpointDue(const CheckpointInput& input);

}  // namespace limpet

#endif  // LIMPET_CONFIGLOG_CHECKPOINT_POLICY_H_
