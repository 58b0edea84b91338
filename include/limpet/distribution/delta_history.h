#ifndef LIMPET_DISTRIBUTION_DELTA_HISTORY_H_
#define LIMPET_DISTRIBUTION_DELTA_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "limpet_types.h"

namespace limpet {

/// The newest applied changes, each based on the one before it, kept for peers that are behind.
class DeltaHistory {
 public:
  static constexpr std::size_t kMaxDeltas = 256;

  /// Adds a change. Removes all earlier changes if it is not based on the last one, and the oldest
  /// change if there are more than `kMaxDeltas`.
  void Add(wire::AcceptedChange change);
  void Clear() { changes_.clear(); }

  /// Returns the changes that lead from version `have` to the newest version; empty if `have` is
  /// the newest, nullopt if the history does not hold all of them.
  std::optional<std::vector<wire::AcceptedChange>> Since(int64_t have) const;
  std::size_t size() const { return changes_.size(); }

 private:
  std::deque<wire::AcceptedChange> changes_;
};

}  // namespace limpet

#endif  // LIMPET_DISTRIBUTION_DELTA_HISTORY_H_
