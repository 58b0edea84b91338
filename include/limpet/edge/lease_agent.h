#ifndef LIMPET_EDGE_LEASE_AGENT_H_
#define LIMPET_EDGE_LEASE_AGENT_H_

#include <map>
#include <memory>
#include <string>

#include "limpet/core/counters.h"
#include "limpet/decision/decision_lease.h"
#include "limpet/edge/coordination.h"
#include "limpet/edge/shared_state_agent.h"

namespace limpet::edge {

/// Keeps this node in the store's group of deciding nodes while it should be a member, and
/// announces the partitions that it holds to the other nodes (entries `holder/PARTITION` of the
/// shared state).
class LeaseAgent {
 public:
  /// The references must outlive the agent.
  LeaseAgent(DecisionLeaseOptions options,
             Coordination& coordination,
             SharedStateAgent& shared_state,
             Counters& counters);

  /// Joins or leaves. Call it about every 50 ms. `wanted` is true if this node should be a member.
  void Tick(TimePoint now, bool wanted);
  DecisionLease& lease() { return lease_; }
  const DecisionLease& lease() const { return lease_; }

 private:
  void Join(TimePoint now);
  void AnnounceHeld(TimePoint now);

  std::string self_;
  DecisionLease lease_;
  Coordination& coordination_;
  SharedStateAgent& shared_state_;
  Counters& counters_;
  bool member_ = false;
  /// Number of the membership; replies to joins of an earlier one are dropped.
  int membership_ = 0;
  /// Tokens under which the held partitions were announced.
  std::map<int, int64_t> announced_;
  /// Empty after destruction; callbacks of the store that run later check it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_LEASE_AGENT_H_
