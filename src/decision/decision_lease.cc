#include "limpet/decision/decision_lease.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

#include "limpet/core/fault.h"

namespace limpet {

namespace {

/// The epoch of the store is in the bits above the generation, as generations may repeat after a
/// restore.
constexpr int kEpochShift = 40;

}  // namespace

DecisionLease::DecisionLease(DecisionLeaseOptions options) : options_(std::move(options)) {}

bool DecisionLease::IsJoinDue(TimePoint now) const {
  return !join_pending_ && now >= next_join_;
}

GroupJoin DecisionLease::OnJoinSent(TimePoint now) {
  join_pending_ = true;
  next_join_ = now + options_.join_interval;
  return {options_.self, generation_, options_.ttl};
}

void DecisionLease::OnJoinReply(TimePoint now,
                                TimePoint sent_at,
                                const GroupAssignment& assignment) {
  join_pending_ = false;
  if (sent_at < accept_from_) {
    return;
  }
  accept_from_ = sent_at;
  const bool restored =
      has_reply_ && (assignment.epoch != epoch_ || assignment.generation < generation_);
  if (restored) {
    hold_nothing_until_ = now + options_.ttl;
  }
  // The first reply that a process receives may be one of a store that has just been restored.
  const bool may_be_restored = !has_reply_ && assignment.epoch.has_value();
  const Duration delay =
      may_be_restored ? std::max(options_.ttl, options_.takeover_delay) : options_.takeover_delay;
  const bool lapsed = now >= held_until_;
  std::map<int, TimePoint> decide_from;
  if (IsFaultActive(Fault::kKeepLostPartition)) {
    decide_from = decide_from_;
  }
  if (sent_at >= hold_nothing_until_) {
    for (const int partition : assignment.partitions) {
      const auto earlier = decide_from_.find(partition);
      const bool continues = earlier != decide_from_.end() && !lapsed;
      decide_from[partition] = continues ? earlier->second : now + delay;
    }
  }
  decide_from_ = std::move(decide_from);
  held_until_ = sent_at + std::min(options_.ttl, assignment.ttl) - options_.margin;
  generation_ = assignment.generation;
  epoch_ = assignment.epoch;
  has_reply_ = true;
}

void DecisionLease::OnJoinFailed(TimePoint now) {
  join_pending_ = false;
  next_join_ = std::max(next_join_, now + options_.retry_interval);
}

void DecisionLease::Release(TimePoint now) {
  join_pending_ = false;
  decide_from_.clear();
  held_until_ = {};
  generation_ = 0;
  has_reply_ = false;
  accept_from_ = now + Duration(1);
  next_join_ = now + options_.retry_interval;
}

int DecisionLease::PartitionOf(std::string_view name) const {
  return static_cast<int>(XXH3_64bits(name.data(), name.size()) %
                          static_cast<uint64_t>(std::max(1, options_.partitions)));
}

std::optional<TimePoint> DecisionLease::HeldSince(TimePoint now, int partition) const {
  const auto found = decide_from_.find(partition);
  if (found == decide_from_.end() || now >= held_until_ || now < found->second) {
    return std::nullopt;
  }
  return found->second;
}

std::optional<int64_t> DecisionLease::Token(TimePoint now, int partition) const {
  if (!Holds(now, partition)) {
    return std::nullopt;
  }
  return epoch_.value_or(0) * (int64_t{1} << kEpochShift) + generation_;
}

std::vector<int> DecisionLease::HeldPartitions(TimePoint now) const {
  std::vector<int> held;
  for (const auto& [partition, from] : decide_from_) {
    if (Holds(now, partition)) {
      held.push_back(partition);
    }
  }
  return held;
}

void DecisionLease::OnHolderAnnounced(int partition, const std::string& node, int64_t token) {
  Announcement& last = announcements_[partition];
  if (last.node.empty() || token >= last.token) {
    last = {node, token};
  }
}

std::string DecisionLease::HolderOf(TimePoint now, int partition) const {
  if (Holds(now, partition)) {
    return options_.self;
  }
  const auto found = announcements_.find(partition);
  const bool known = found != announcements_.end() && found->second.node != options_.self;
  return known ? found->second.node : "";
}

}  // namespace limpet
