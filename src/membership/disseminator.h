#ifndef LIMPET_MEMBERSHIP_DISSEMINATOR_H_
#define LIMPET_MEMBERSHIP_DISSEMINATOR_H_

#include <vector>

#include "membership/node_state.h"

namespace limpet {

/// Sends queued updates: gossip to members of the local data centre and, on a gateway, relayed
/// updates to other data centres.
class Disseminator {
 public:
  explicit Disseminator(NodeState& state) : state_(state) {}

  void Tick(TimePoint now, ControlOutput& output);
  void OnGossip(TimePoint now, const wire::Envelope& envelope, ControlOutput& output);

 private:
  void SendGossip(ControlOutput& output);
  void SendRelay(ControlOutput& output);
  std::vector<wire::MemberRecord> SelectUpdates(GossipQueue& queue, int max_bytes, int limit);
  std::vector<wire::DataCentreStatus> SelectStatuses(int max_bytes, int limit);
  /// Queues recent changes of the local data centre for relaying, because previous gateways may
  /// have failed before their relayed updates arrived.
  void QueueRecentChanges(TimePoint now);

  NodeState& state_;
  TimePoint next_gossip_;
  TimePoint next_relay_;
  bool was_gateway_ = false;
};

}  // namespace limpet

#endif  // LIMPET_MEMBERSHIP_DISSEMINATOR_H_
