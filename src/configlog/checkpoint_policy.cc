#include "limpet/configlog/checkpoint_policy.h"

namespace limpet {
namespace {

/// With fewer retained records the older half does not show that records expire soon, and a new log
/// would get a checkpoint after every few records.
constexpr int64_t kMinRetainedRecords = 16;

bool IsInOlderHalf(int64_t offset, int64_t first, int64_t end) {
  return end - first >= kMinRetainedRecords && offset - first < (end - first) / 2;
}

}  // namespace

bool IsCheckpointDue(const CheckpointInput& input) {
  if (input.changes_since >= kChangesPerCheckpoint) {
    return true;
  }
  const bool has_new_records = input.position > input.checkpoint_next_offset;
  if (has_new_records &&
      (input.config_first > input.checkpoint_next_offset ||
       IsInOlderHalf(input.checkpoint_next_offset, input.config_first, input.config_end))) {
    return true;
  }
  if (input.checkpoint_offset == 0) {
    return false;
  }
  return IsInOlderHalf(input.checkpoint_offset, input.system_first, input.system_end);
}

}  // namespace limpet
