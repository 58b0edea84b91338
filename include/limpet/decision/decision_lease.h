#ifndef LIMPET_DECISION_DECISION_LEASE_H_
#define LIMPET_DECISION_DECISION_LEASE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "limpet/core/time.h"

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
  Duration ttl = std::chrono::seconds(3);
  Duration join_interval = std::chrono::seconds(1);
  /// Pause after a failed join.
  Duration retry_interval = std::chrono::milliseconds(300);
  /// A partition is given up this long before the store may reassign it, as clocks may differ in
  /// rate.
  Duration margin = std::chrono::milliseconds(200);
  /// A new holder decides only after this time. Longer than the term of any quota grant, so that
  /// the grants of its predecessor have ended.
  Duration takeover_delay = std::chrono::seconds(1);
};

/// Gives each decision one holder at a time. Decisions are mapped to partitions, and a consumer
/// group of the store assigns each partition to one member. Does no I/O: the caller sends joins and
/// passes the replies on. Times are of a clock that also counts suspension. Not safe for concurrent
/// use.
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
  /// Gives up all partitions at once. The caller may then send a leave to the store.
  void Release(TimePoint now);

  int PartitionOf(std::string_view name) const;
  /// Returns true if this node may decide for the partition.
  bool Holds(TimePoint now, int partition) const { return HeldSince(now, partition).has_value(); }
  /// Time from which on this node may decide for the partition without interruption; no value if it
  /// may not. State of an earlier time may be out of date: another node may have decided meanwhile.
  std::optional<TimePoint> HeldSince(TimePoint now, int partition) const;
  /// Fencing token of the holder, larger than those of all earlier holders of the partition.
  std::optional<int64_t> Token(TimePoint now, int partition) const;
  std::vector<int> HeldPartitions(TimePoint now) const;

  /// Records that another node announced itself as the holder.
  void OnHolderAnnounced(int partition, const std::string& node, int64_t token);
  /// Returns the node that announced itself last, or this node if it holds the partition. Empty if
  /// no holder is known.
  std::string HolderOf(TimePoint now, int partition) const;

 private:
  struct Announcement {
    std::string node;
    int64_t token = 0;
  };

  DecisionLeaseOptions options_;
  /// Time from which on each partition that was listed in the last reply may be decided for.
  std::map<int, TimePoint> decide_from_;
  TimePoint held_until_{};
  /// Replies to joins that were sent earlier give no partition, because the store was restored. It
  /// may list partitions that another node got after the copy was made. It may also take a repeated
  /// join from before the restore, with a high generation, as the proof that this node gave up a
  /// partition.
  TimePoint hold_nothing_until_{};
  int64_t generation_ = 0;
  std::optional<int64_t> epoch_;
  bool has_reply_ = false;
  bool join_pending_ = false;
  TimePoint next_join_{};
  /// Replies to joins that were sent earlier are ignored.
  TimePoint accept_from_{};
  std::map<int, Announcement> announcements_;
};

}  // namespace limpet

#endif  // LIMPET_DECISION_DECISION_LEASE_H_
