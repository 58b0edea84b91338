#ifndef LIMPET_EDGE_LEASE_AGENT_H_
#define LIMPET_EDGE_LEASE_AGENT_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "limpet/core/counters.h"
#include "limpet/decision/decision_lease.h"
#include "limpet/edge/coordination.h"
#include "limpet/edge/peer_links.h"
#include "limpet/edge/shared_state_agent.h"

namespace limpet::edge {

/// Keeps this node in the store's group of deciding nodes while it should be a member, and
/// announces the partitions that it holds to the other nodes (entries `holder/PARTITION` of the
/// shared state). Exchanges claims with the other members. A change of the assignment that one
/// member notices makes the others join at once (entries `decisions/`).
class LeaseAgent {
 public:
  /// The references must outlive the agent.
  LeaseAgent(DecisionLeaseOptions options,
             Coordination& coordination,
             SharedStateAgent& shared_state,
             PeerLinks& links,
             Counters& counters);

  /// Joins or leaves. Call it about every 50 ms. `wanted` is true if this node should be a member.
  void Tick(TimePoint now, bool wanted);
  /// Handles a claim of another node, or its reply.
  void OnMessage(TimePoint now, const std::string& node, const wire::LinkMessage& message);
  DecisionLease& lease() { return lease_; }
  const DecisionLease& lease() const { return lease_; }

 private:
  void Join(TimePoint now);
  void OnJoined(TimePoint now, TimePoint sent_at, const GroupAssignment& assignment);
  void SendClaim(TimePoint now);
  /// Tells the other members that the store may have a new assignment for them.
  void TellGeneration();
  void TellReleased();
  void AnnounceHeld(TimePoint now);

  std::string self_;
  DecisionLease lease_;
  Coordination& coordination_;
  SharedStateAgent& shared_state_;
  PeerLinks& links_;
  Counters& counters_;
  bool member_ = false;
  /// Partitions were lost by the last reply, so the next join tells the store that they are free.
  bool release_due_ = false;
  int64_t released_sequence_ = 0;
  /// Token of the last reply of the store.
  int64_t last_token_ = 0;
  /// The others were told that the store has ended the membership.
  bool expiry_told_ = false;
  /// Number of the membership; replies to joins of an earlier one are dropped.
  int membership_ = 0;
  std::vector<int> held_;
  /// Tokens under which partitions were announced, held and waiting ones.
  std::map<int, int64_t> announced_;
  /// Empty after destruction; callbacks of the store that run later check it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_LEASE_AGENT_H_
