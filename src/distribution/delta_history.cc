#include "limpet/distribution/delta_history.h"

#include <algorithm>
#include <utility>

namespace limpet {

void DeltaHistory::Add(wire::AcceptedChange change) {
  if (!changes_.empty() && changes_.back().version != change.record.base) {
    changes_.clear();
  }
  changes_.push_back(std::move(change));
  if (changes_.size() > kMaxDeltas) {
    changes_.pop_front();
  }
}

std::optional<std::vector<wire::AcceptedChange>> DeltaHistory::Since(int64_t have) const {
  if (!changes_.empty() && changes_.back().version == have) {
    return std::vector<wire::AcceptedChange>();
  }
  const auto first = std::ranges::find_if(
      changes_, [&](const wire::AcceptedChange& change) { return change.record.base == have; });
  if (first == changes_.end()) {
    return std::nullopt;
  }
  return std::vector<wire::AcceptedChange>(first, changes_.end());
}

}  // namespace limpet
