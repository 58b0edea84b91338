#ifndef LIMPET_MEMBERSHIP_TABLE_EXCHANGE_H_
#define LIMPET_MEMBERSHIP_TABLE_EXCHANGE_H_

#include <optional>
#include <vector>

#include "membership/node_state.h"

namespace limpet {

/// Anti-entropy: compares bucket hashes with one peer at a time and exchanges the buckets that
/// differ. Gateways also compare with other data centres.
class TableExchange {
 public:
  explicit TableExchange(NodeState& state) : state_(state) {}

  void Start(TimePoint now);
  void Tick(TimePoint now, ControlOutput& output);
  /// Compares tables with the sender if this node does not know the sender's process.
  void OnContact(TimePoint now, const wire::Envelope& envelope, ControlOutput& output);
  void OnDigest(const wire::Envelope& envelope, ControlOutput& output);
  void OnContent(TimePoint now, const wire::Envelope& envelope, ControlOutput& output);

 private:
  struct FollowUp {
    PeerAddress peer;
    TimePoint at;
  };

  void SendDigests(ControlOutput& output);
  /// Contacts a member that this node believes dead or a seed that it does not know, so that groups
  /// which declared each other dead or forgot each other merge again.
  void SearchLost(ControlOutput& output);
  std::vector<wire::MemberRecord> RecordsIn(const std::vector<int>& buckets) const;
  std::vector<wire::MemberRecord> NewerThan(const wire::BucketContent& content) const;
  std::vector<int> Choose(std::vector<int> buckets);

  NodeState& state_;
  TimePoint next_round_;
  TimePoint next_unknown_;
  std::optional<FollowUp> follow_up_;
  std::size_t next_seed_ = 0;
};

}  // namespace limpet

#endif  // LIMPET_MEMBERSHIP_TABLE_EXCHANGE_H_
