#ifndef LIMPET_MEMBERSHIP_TABLE_EXCHANGE_H_
#define LIMPET_MEMBERSHIP_TABLE_EXCHANGE_H_

#include <optional>
#include <vector>

#include "membership/node_state.h"

namespace limpet {

/// Anti-entropy: compares bucket hashes with one peer at a time and exchanges the records of
/// buckets that differ. Gateways also compare with members of other data centres.
class TableExchange {
 public:
  explicit TableExchange(NodeState& state) : state_(state) {}

  void Start(TimePoint now);
  void Tick(TimePoint now, ControlOutput& output);
  /// Compares tables with the sender of a ping or an ack whose incarnation is not in the table.
  void OnMessage(TimePoint now, const wire::Envelope& envelope, ControlOutput& output);
  void OnDigest(const wire::Envelope& envelope, ControlOutput& output);
  void OnContent(TimePoint now, const wire::Envelope& envelope, ControlOutput& output);

 private:
  /// A further comparison with a peer after a message with the maximum number of buckets.
  struct FollowUp {
    PeerAddress peer;
    TimePoint due_at;
  };

  void SendDigests(ControlOutput& output);
  /// Pings dead members and sends a digest to a seed that is not a live member, so that groups that
  /// declared each other dead or removed each other's records merge again.
  void ContactLostMembers(ControlOutput& output);
  std::vector<wire::MemberRecord> CollectRecords(const std::vector<int>& buckets) const;
  std::vector<wire::MemberRecord> CollectNewerRecords(const wire::BucketContent& content) const;
  /// Selects at random as many of the buckets as one message may contain.
  std::vector<int> SelectBuckets(std::vector<int> buckets);

  NodeState& state_;
  TimePoint next_round_;
  TimePoint next_unknown_sender_digest_;
  std::optional<FollowUp> follow_up_;
  std::size_t next_seed_ = 0;
};

}  // namespace limpet

#endif  // LIMPET_MEMBERSHIP_TABLE_EXCHANGE_H_
