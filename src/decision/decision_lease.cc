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
/// Keeps the token positive.
constexpr int64_t kEpochMask = (int64_t{1} << 22) - 1;

}  // namespace

DecisionLease::DecisionLease(DecisionLeaseOptions options) : options_(std::move(options)) {}

bool DecisionLease::IsJoinDue(TimePoint now) const {
  return !join_pending_ && now >= next_join_;
}

GroupJoin DecisionLease::OnJoinSent(TimePoint now) {
  join_pending_ = true;
  last_join_ = now;
  next_join_ = now + options_.join_interval;
  return {options_.self, generation_, options_.ttl};
}

void DecisionLease::RequestJoin(TimePoint now) {
  if (has_reply_) {
    next_join_ = std::min(next_join_, std::max(now, last_join_ + options_.min_join_interval));
  }
}

int64_t DecisionLease::MakeToken(const GroupAssignment& assignment) const {
  return ((assignment.epoch.value_or(0) & kEpochMask) << kEpochShift) + assignment.generation;
}

std::optional<DecisionLease::Tenure> DecisionLease::FindTenure(TimePoint now, int partition) const {
  const auto found = leases_.find(partition);
  if (found == leases_.end()) {
    return std::nullopt;
  }
  const Lease& lease = found->second;
  if (lease.tenure.Contains(now)) {
    return lease.tenure;
  }
  return lease.earlier && lease.earlier->Contains(now) ? lease.earlier : std::nullopt;
}

DecisionLease::Lease DecisionLease::MakeLease(TimePoint now,
                                              int partition,
                                              int64_t token,
                                              TimePoint until) const {
  const auto found = leases_.find(partition);
  const bool is_same = found != leases_.end() && found->second.tenure.token == token &&
                       now < found->second.tenure.until;
  if (is_same) {
    Lease lease = found->second;
    lease.tenure.until = until;
    return lease;
  }
  // In another generation the partition may have been another member's for a while. Whoever held it
  // before has ended after the TTL.
  Lease lease;
  lease.tenure = {token, now + options_.ttl, until};
  lease.assigned_at = now;
  lease.earlier = FindTenure(now, partition);
  if (IsFaultActive(Fault::kSkipTakeoverProof)) {
    lease.tenure.from = now + std::chrono::seconds(1);
  }
  return lease;
}

void DecisionLease::RecordEnd(int partition, const Lease& lease) {
  if (lease.confirmed) {
    ended_[partition] = lease.tenure.token;
  }
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
  // The first reply that a process receives may be one of a store that has just been restored.
  const bool may_be_restored = restored || (!has_reply_ && assignment.epoch.has_value());
  if (restored) {
    hold_nothing_until_ = now + options_.ttl;
    leases_.clear();
    // Tokens may fall if the store has no epochs.
    fences_.clear();
    ended_.clear();
  }
  if (may_be_restored) {
    confirm_from_ = now + options_.ttl;
  }
  if (has_reply_ && assignment.generation != generation_) {
    // The next join shows the store that this member knows the new assignment. Until then the
    // partitions that it lost have no holder.
    next_join_ = now;
  }
  const int64_t token = MakeToken(assignment);
  const TimePoint until = sent_at + std::min(options_.ttl, assignment.ttl) - options_.margin;
  std::map<int, Lease> leases;
  if (sent_at >= hold_nothing_until_) {
    for (const int partition : assignment.partitions) {
      const auto fence = fences_.find(partition);
      if (fence == fences_.end() || token > fence->second) {
        leases[partition] = MakeLease(now, partition, token, until);
      }
    }
  }
  for (const auto& [partition, lease] : leases_) {
    if (!leases.contains(partition)) {
      RecordEnd(partition, lease);
      if (IsFaultActive(Fault::kKeepLostPartition)) {
        leases[partition] = lease;
      }
    }
  }
  if (!has_reply_ || token != token_) {
    claim_replies_.clear();
    next_claim_ = now;
  }
  leases_ = std::move(leases);
  listed_ = {assignment.partitions.begin(), assignment.partitions.end()};
  member_until_ = until;
  generation_ = assignment.generation;
  epoch_ = assignment.epoch;
  token_ = token;
  has_reply_ = true;
  ConfirmByReplies(now);
}

bool DecisionLease::IsMember(TimePoint now) const {
  return has_reply_ && now < member_until_;
}

bool DecisionLease::HasMembershipExpired(TimePoint now) const {
  return has_reply_ && now >= member_until_ + options_.margin + options_.join_transit_time;
}

std::optional<wire::PartitionClaim> DecisionLease::TakeClaim(TimePoint now) {
  if (now < next_claim_ || !IsMember(now)) {
    return std::nullopt;
  }
  ConfirmByReplies(now);
  wire::PartitionClaim claim;
  claim.token = token_;
  for (const auto& [partition, lease] : leases_) {
    if (!lease.confirmed && now < lease.tenure.from) {
      claim.partitions.push_back(partition);
    }
  }
  if (claim.partitions.empty()) {
    return std::nullopt;
  }
  if (!IsEpochSettled(now)) {
    // Only asks whether the others have known the epoch for longer: no holder ends yet.
    claim = {};
  }
  next_claim_ = now + options_.claim_interval;
  return claim;
}

std::vector<std::string> DecisionLease::ClaimReceivers(TimePoint now) const {
  std::set<std::string> nodes;
  for (const auto& [node, claimed_at] : claimants_) {
    if (now - claimed_at < options_.ttl) {
      nodes.insert(node);
    }
  }
  for (const auto& [partition, announcement] : announcements_) {
    nodes.insert(announcement.node);
  }
  nodes.erase(options_.self);
  return {nodes.begin(), nodes.end()};
}

wire::PartitionClaimReply DecisionLease::OnClaim(TimePoint now,
                                                 const std::string& node,
                                                 const wire::PartitionClaim& claim) {
  claimants_[node] = now;
  wire::PartitionClaimReply reply;
  reply.token = claim.token;
  if (IsMember(now)) {
    reply.member_token = token_;
    reply.listed = {listed_.begin(), listed_.end()};
    reply.epoch_settled = IsEpochSettled(now);
  }
  for (const int partition : claim.partitions) {
    const auto held = leases_.find(partition);
    int64_t& fence = fences_[partition];
    const bool has_newer = held != leases_.end() && held->second.tenure.token >= claim.token;
    if (has_newer || fence > claim.token) {
      reply.refused.push_back(partition);
      continue;
    }
    if (held != leases_.end()) {
      RecordEnd(partition, held->second);
      leases_.erase(held);
    }
    fence = claim.token;
    const auto ended = ended_.find(partition);
    if (ended != ended_.end() && ended->second == claim.token - 1) {
      reply.ended.push_back(partition);
    }
  }
  return reply;
}

void DecisionLease::OnClaimReply(TimePoint now,
                                 const std::string& node,
                                 const wire::PartitionClaimReply& reply) {
  if (!has_reply_) {
    return;
  }
  // Without epochs, a member may not have noticed a restore.
  const bool is_same_epoch = epoch_ && reply.member_token >> kEpochShift == token_ >> kEpochShift;
  if (reply.epoch_settled && is_same_epoch && !IsEpochSettled(now)) {
    confirm_from_ = now;
    next_claim_ = now;
  }
  if (reply.token == token_) {
    claim_replies_[node] = reply;
    ConfirmByReplies(now);
  }
}

bool DecisionLease::HaveAllMembersReplied() const {
  std::set<int> listed = listed_;
  std::size_t smallest_share = listed_.size();
  std::size_t behind = 0;
  for (const auto& [node, reply] : claim_replies_) {
    if (reply.member_token > token_) {
      return false;
    }
    if (reply.member_token == token_) {
      listed.insert(reply.listed.begin(), reply.listed.end());
      smallest_share = std::min(smallest_share, reply.listed.size());
    } else if (reply.member_token != 0) {
      ++behind;
    }
  }
  const auto partitions = static_cast<std::size_t>(options_.partitions);
  if (listed_.size() == partitions) {
    return true;
  }
  // The store distributes evenly, so the shares of two members differ by at most one. With shares
  // of one partition there may be members that have none.
  if (listed.size() > partitions || smallest_share < 2) {
    return false;
  }
  if (listed.size() == partitions) {
    return true;
  }
  // What nobody lists belongs to members that have not seen this generation. It must be too little
  // for one more member than those that replied, and no known holder may be silent.
  const bool is_holder_silent = std::ranges::any_of(announcements_, [this](const auto& entry) {
    const std::string& node = entry.second.node;
    return node != options_.self && !claim_replies_.contains(node);
  });
  return !is_holder_silent && partitions - listed.size() < (behind + 1) * (smallest_share - 1);
}

void DecisionLease::ConfirmByReplies(TimePoint now) {
  const bool may_confirm = IsEpochSettled(now);
  const bool all_replied = may_confirm && HaveAllMembersReplied();
  for (auto& [partition, lease] : leases_) {
    if (lease.confirmed) {
      continue;
    }
    if (now >= lease.tenure.from) {
      lease.confirmed = true;
      continue;
    }
    const auto contains = [partition = partition](const std::vector<int>& partitions) {
      return std::ranges::find(partitions, partition) != partitions.end();
    };
    const bool refused = std::ranges::any_of(
        claim_replies_, [&](const auto& entry) { return contains(entry.second.refused); });
    const bool ended = std::ranges::any_of(
        claim_replies_, [&](const auto& entry) { return contains(entry.second.ended); });
    if (!refused && (all_replied || (may_confirm && ended))) {
      // Nobody else has decided while an earlier tenure lasted.
      const auto tenure = FindTenure(now, partition);
      const TimePoint start = announcements_.contains(partition)
                                  ? now
                                  : std::max(now, lease.assigned_at + options_.start_delay);
      lease.tenure.from = tenure ? tenure->from : start;
      lease.confirmed = true;
    }
  }
}

void DecisionLease::OnJoinFailed(TimePoint now) {
  join_pending_ = false;
  next_join_ = std::max(next_join_, now + options_.retry_interval);
}

void DecisionLease::Release(TimePoint now) {
  join_pending_ = false;
  for (const auto& [partition, lease] : leases_) {
    RecordEnd(partition, lease);
  }
  leases_.clear();
  listed_.clear();
  claim_replies_.clear();
  member_until_ = {};
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
  const auto tenure = FindTenure(now, partition);
  return tenure ? std::optional(tenure->from) : std::nullopt;
}

std::optional<int64_t> DecisionLease::Token(TimePoint now, int partition) const {
  const auto tenure = FindTenure(now, partition);
  return tenure ? std::optional(tenure->token) : std::nullopt;
}

std::vector<int> DecisionLease::HeldPartitions(TimePoint now) const {
  std::vector<int> held;
  for (const auto& [partition, lease] : leases_) {
    if (Holds(now, partition)) {
      held.push_back(partition);
    }
  }
  return held;
}

std::optional<Duration> DecisionLease::DecidesIn(TimePoint now, int partition) const {
  const auto found = leases_.find(partition);
  if (found == leases_.end() || Holds(now, partition)) {
    return std::nullopt;
  }
  return std::max(Duration(0), found->second.tenure.from - now);
}

std::vector<int> DecisionLease::WaitingPartitions(TimePoint now) const {
  std::vector<int> waiting;
  for (const auto& [partition, lease] : leases_) {
    if (!Holds(now, partition) && now >= lease.assigned_at + options_.claim_interval) {
      waiting.push_back(partition);
    }
  }
  return waiting;
}

void DecisionLease::OnHolderAnnounced(int partition, const std::string& node, int64_t token) {
  const auto held = leases_.find(partition);
  if (node != options_.self && held != leases_.end() && held->second.tenure.token < token) {
    RecordEnd(partition, held->second);
    leases_.erase(held);
    fences_[partition] = std::max(fences_[partition], token);
  }
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
  if (found == announcements_.end()) {
    return "";
  }
  // Without the lease this node has held the partition, and no successor is known yet.
  const bool is_past_holder = found->second.node == options_.self && !leases_.contains(partition);
  return is_past_holder ? "" : found->second.node;
}

}  // namespace limpet
