#ifndef LIMPET_EDGE_SHARED_STATE_AGENT_H_
#define LIMPET_EDGE_SHARED_STATE_AGENT_H_

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "limpet/core/counters.h"
#include "limpet/decision/shared_state.h"
#include "limpet/edge/peer_links.h"

namespace limpet::edge {

/// Replicates the shared state over the links between nodes. Sends nothing while there are no
/// entries.
class SharedStateAgent {
 public:
  using ChangeHandler = std::function<void(const wire::SharedEntry& entry)>;

  /// The references must outlive the agent.
  SharedStateAgent(PeerLinks& links, Counters& counters) : links_(links), counters_(counters) {}

  /// `on_change` is called for each changed entry whose key starts with `prefix`, also for those
  /// that this node sets.
  void Watch(std::string prefix, ChangeHandler on_change);
  /// Stores the entry and pushes it to all linked nodes if it is newer than the stored one. Returns
  /// whether it was stored.
  bool Set(const wire::SharedEntry& entry);
  void OnMessage(TimePoint now, const std::string& peer, const wire::SharedState& message);
  /// A link to the node is up. Sends it the digest, so that a restarted node gets all entries.
  void OnPeerReachable(const std::string& peer);
  /// Call it about every 50 ms.
  void Tick(TimePoint now);

  const SharedState& state() const { return state_; }

 private:
  void Notify(const std::string& key) const;

  PeerLinks& links_;
  Counters& counters_;
  SharedState state_{SharedStateOptions{}};
  std::vector<std::pair<std::string, ChangeHandler>> handlers_;
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_SHARED_STATE_AGENT_H_
