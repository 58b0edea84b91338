#ifndef LIMPET_DECISION_DECISION_LEASE_H_
#define LIMPET_DECISION_DECISION_LEASE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "limpet/core/time.h"
#include "limpet_types.h"

namespace limpet {

/// What a node sends to the store to become or remain a member of the group of deciding nodes.
struct GroupJoin {
  std::string member;
  /// Generation of the last reply that the member processed; 0 before the first one.
  int64_t generation = 0;
  Duration ttl{0};
};

/// Reply of the store to a join.
struct GroupAssignment {
  int64_t generation = 0;
  Duration ttl{0};
  /// Partitions that are assigned to this member.
  std::vector<int> partitions;
  /// Epoch of the store, which rises when it was restored from a copy; no value if the store
  /// reports none.
  std::optional<int64_t> epoch;
};

struct DecisionLeaseOptions {
  std::string self;
  int partitions = 32;
  /// The store reassigns the partitions of a member from which it received no join for this long.
  /// At times it reassigns all of them without any request, so this is also the longest time for
  /// which an earlier holder may go on deciding after a reassignment.
  Duration ttl = std::chrono::seconds(3);
  Duration join_interval = std::chrono::seconds(1);
  /// Pause after a failed join.
  Duration retry_interval = std::chrono::milliseconds(300);
  /// Minimum time between two joins that other members ask for.
  Duration min_join_interval = std::chrono::milliseconds(100);
  /// A partition is given up this long before its lease ends at the store, as clocks may differ in
  /// rate.
  Duration margin = std::chrono::milliseconds(200);
  /// A partition of which no holder is known is decided for only after this time, in which further
  /// members of a new group join.
  Duration start_delay = std::chrono::seconds(1);
  /// Interval of claims for partitions that other members may still decide for.
  Duration claim_interval = std::chrono::milliseconds(100);
  /// Longest time from the sending of a join to its arrival at the store, as long as nothing fails.
  Duration join_transit_time = std::chrono::milliseconds(50);
};

/// Gives each decision one holder at a time. Decisions are mapped to partitions, and a consumer
/// group of the store assigns each partition to one member. A member to which a partition was
/// assigned decides only when nobody else does: after the TTL, or sooner once the members that may
/// still hold it have replied to its claim that they do not. Does no I/O: the caller sends joins
/// and claims and passes the replies on. Times are of a clock that also counts suspension. Not safe
/// for concurrent use.
class DecisionLease {
 public:
  explicit DecisionLease(DecisionLeaseOptions options);

  /// Returns true if a join is to be sent now. Only one may be pending.
  bool IsJoinDue(TimePoint now) const;
  /// Returns the join to send now.
  GroupJoin OnJoinSent(TimePoint now);
  /// `sent_at` is the time at which the join was first sent. Replies to joins that were sent before
  /// the last one that was processed, or before `Release`, are ignored.
  void OnJoinReply(TimePoint now, TimePoint sent_at, const GroupAssignment& assignment);
  void OnJoinFailed(TimePoint now);
  /// Another member has seen a change of the assignment, so the next join is sent soon.
  void RequestJoin(TimePoint now);
  /// Gives up all partitions at once. The caller may then send a leave to the store.
  void Release(TimePoint now);

  /// Returns the claim to send to `ClaimReceivers` now; no value if none is due.
  std::optional<wire::PartitionClaim> TakeClaim(TimePoint now);
  /// Nodes that may hold partitions: those that announced themselves or sent claims recently.
  std::vector<std::string> ClaimReceivers(TimePoint now) const;
  /// Handles the claim of another member. Gives up the claimed partitions that this node holds
  /// under lower tokens.
  wire::PartitionClaimReply OnClaim(TimePoint now,
                                    const std::string& node,
                                    const wire::PartitionClaim& claim);
  void OnClaimReply(TimePoint now, const std::string& node, const wire::PartitionClaimReply& reply);

  int PartitionOf(std::string_view name) const;
  /// Returns true if this node may decide for the partition.
  bool Holds(TimePoint now, int partition) const { return HeldSince(now, partition).has_value(); }
  /// Time from which on this node may decide for the partition without interruption; no value if it
  /// may not. State of an earlier time may be out of date: another node may have decided meanwhile.
  std::optional<TimePoint> HeldSince(TimePoint now, int partition) const;
  /// Fencing token of the holder, larger than those of all earlier holders of the partition.
  std::optional<int64_t> Token(TimePoint now, int partition) const;
  std::vector<int> HeldPartitions(TimePoint now) const;
  /// Longest time until this node decides for a partition that the store assigned to it; no value
  /// if it holds the partition or the partition is not assigned to it.
  std::optional<Duration> DecidesIn(TimePoint now, int partition) const;
  /// Partitions that were assigned to this node at least a claim interval ago and that it does not
  /// hold yet: an earlier holder has not replied.
  std::vector<int> WaitingPartitions(TimePoint now) const;
  /// Partitions that the last reply of the store listed.
  const std::set<int>& listed() const { return listed_; }
  /// Token of the last reply of the store; 0 without one.
  int64_t member_token() const { return has_reply_ ? token_ : 0; }
  /// Whether joins have failed for so long that the store has ended the membership.
  bool HasMembershipExpired(TimePoint now) const;

  /// Records that a node announced itself as the holder, or as the next one. This node gives the
  /// partition up if it holds it under a lower token.
  void OnHolderAnnounced(int partition, const std::string& node, int64_t token);
  /// Returns this node if it holds the partition, otherwise the node that announced itself last as
  /// the holder or as the next one. Empty if none is known.
  std::string HolderOf(TimePoint now, int partition) const;

 private:
  struct Announcement {
    std::string node;
    int64_t token = 0;
  };
  /// A time in which this node may decide for a partition.
  struct Tenure {
    int64_t token = 0;
    TimePoint from{};
    TimePoint until{};

    bool Contains(TimePoint now) const { return now >= from && now < until; }
  };
  /// A partition that the last reply of the store listed.
  struct Lease {
    /// From the time at which no other member decides any more. Ends by the last join.
    Tenure tenure;
    /// Until then, nothing is known of earlier holders.
    TimePoint assigned_at{};
    bool confirmed = false;
    /// Under the token of an earlier assignment, which the store had extended last. Nobody else can
    /// decide before it ends unless this node agrees.
    std::optional<Tenure> earlier;
  };

  int64_t MakeToken(const GroupAssignment& assignment) const;
  std::optional<Tenure> FindTenure(TimePoint now, int partition) const;
  /// Returns the lease of a listed partition, which continues `leases_` if the assignment is the
  /// same.
  Lease MakeLease(TimePoint now, int partition, int64_t token, TimePoint until) const;
  /// Records that this node ends a partition which nobody else could have decided for.
  void RecordEnd(int partition, const Lease& lease);
  /// Whether the store still has this node as a member.
  bool IsMember(TimePoint now) const;
  /// Whether all members of before a restore of the store have ended.
  bool IsEpochSettled(TimePoint now) const { return now >= confirm_from_; }
  /// Whether all members that may hold a partition under an earlier token have replied to the
  /// claim.
  bool HaveAllMembersReplied() const;
  void ConfirmByReplies(TimePoint now);

  DecisionLeaseOptions options_;
  /// Partitions that the last reply listed and that no other node has claimed since.
  std::map<int, Lease> leases_;
  /// Partitions that the last reply listed.
  std::set<int> listed_;
  /// End of the membership by the last reply.
  TimePoint member_until_{};
  /// Replies to joins that were sent earlier give no partition, because the store was restored. It
  /// may list partitions that another node got after the copy was made. It may also take a repeated
  /// join from before the restore, with a high generation, as the proof that this node gave up a
  /// partition.
  TimePoint hold_nothing_until_{};
  /// Replies of members confirm nothing before, because members of before a restore are not known.
  /// A member that has known the epoch for longer brings it forward.
  TimePoint confirm_from_{};
  int64_t generation_ = 0;
  int64_t token_ = 0;
  std::optional<int64_t> epoch_;
  bool has_reply_ = false;
  bool join_pending_ = false;
  TimePoint next_join_{};
  TimePoint last_join_{};
  /// Replies to joins that were sent earlier are ignored.
  TimePoint accept_from_{};
  TimePoint next_claim_{};
  /// Replies to the claim under the present token, by node.
  std::map<std::string, wire::PartitionClaimReply> claim_replies_;
  /// Highest token under which another node claimed the partition.
  std::map<int, int64_t> fences_;
  /// Token under which this node last held the partition.
  std::map<int, int64_t> ended_;
  std::map<int, Announcement> announcements_;
  /// Time of the last claim of each node.
  std::map<std::string, TimePoint> claimants_;
};

}  // namespace limpet

#endif  // LIMPET_DECISION_DECISION_LEASE_H_
