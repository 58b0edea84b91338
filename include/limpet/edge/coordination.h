#ifndef LIMPET_EDGE_COORDINATION_H_
#define LIMPET_EDGE_COORDINATION_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "limpet/core/time.h"
#include "limpet/decision/decision_lease.h"
#include "limpet/distribution/store_readers.h"
#include "limpet/rollout/rollout_types.h"
#include "limpet/routing/mesh_config.h"
#include "limpet_types.h"

namespace limpet::edge {

/// Access to the persistent state of the mesh: the operator's configuration and the addresses of
/// nodes. Adapters implement it for a store. All callbacks run on the node's event loop.
class Coordination {
 public:
  using ConfigCallback = std::function<void(MeshConfig)>;
  /// Called with the cause when a configuration in the store cannot be used.
  using UnusableConfigCallback = std::function<void(const std::string& problem)>;
  /// Called without a value if the join failed or its outcome is unknown.
  using AssignmentCallback = std::function<void(std::optional<GroupAssignment>)>;
  /// Every record of the operator that the store had acknowledged by `proven` has been delivered.
  using ProofCallback = std::function<void(TimePoint proven)>;
  /// `token` rises with each later order, also after the store was restored from a copy.
  using OrderCallback = std::function<void(const RolloutOrder& order, int64_t token)>;
  /// State of a roll-out as it is stored for the operator.
  struct StoredRollout {
    std::string service;
    std::string target_version;
    RolloutState state = RolloutState::kRunning;
  };
  /// Called without a value if the read failed.
  using StoredRolloutsCallback = std::function<void(std::optional<std::vector<StoredRollout>>)>;
  /// `done` tells whether the store acknowledged the write. Otherwise it may have been done.
  using WriteCallback = std::function<void(bool done)>;
  using NodesCallback = std::function<void(std::vector<wire::NodeAddress>)>;
  using RestoreCallback = std::function<void()>;

  virtual ~Coordination() = default;

  /// Delivers the current configuration and each later one while this node has a reader's role.
  /// Versions that are replaced before they are read may be skipped; an older version or the same
  /// one may be delivered again. Continues after store outages.
  virtual void WatchConfig(ConfigCallback on_config, UnusableConfigCallback on_unusable) = 0;
  /// Sets the callback for freshness proofs. Call it before `WatchConfig`.
  virtual void WatchFreshness(ProofCallback on_proof) = 0;
  /// Sets whether and how this node reads the configuration from the store. A node need not read
  /// when other nodes read it and send it the changes.
  virtual void SetRole(ReaderRole role) = 0;
  /// Stores the address of this node, then delivers the addresses of all known nodes once. Retries
  /// during store outages.
  virtual void RegisterNode(const wire::NodeAddress& self, NodesCallback on_nodes) = 0;
  /// Sets the callback for a restore of the store from a copy, which may have lost what nodes
  /// wrote. Only a node with a reader's role notices it. Call it before `WatchConfig`.
  virtual void WatchRestores(RestoreCallback on_restored) = 0;
  /// Stores the addresses of those nodes for which the store holds no address. Retries until it is
  /// done; a later call replaces a pending one.
  virtual void StoreMissingNodes(std::vector<wire::NodeAddress> nodes) = 0;
  /// Joins the group of deciding nodes or renews the membership. Only one join may be pending.
  virtual void JoinDecisions(const GroupJoin& join, AssignmentCallback done) = 0;
  /// Ends the membership, so that other nodes need not wait until it times out. Cancels a pending
  /// join without calling its callback. `done` is called when the store has responded.
  virtual void LeaveDecisions(const std::string& member, std::function<void()> done) = 0;
  /// Delivers the operator's roll-out orders while this node has a reader's role; the same order
  /// may be delivered again. Call it before `WatchConfig`.
  virtual void WatchRolloutOrders(OrderCallback on_order) = 0;
  /// Stores the state of a roll-out for the operator. Only one write may be pending.
  virtual void WriteRollout(const StoredRollout& rollout, WriteCallback done) = 0;
  /// Reads the stored states of all roll-outs. Only one read may be pending.
  virtual void ReadRollouts(StoredRolloutsCallback done) = 0;
  /// True while this node has a reader's role and the store is unreachable.
  virtual bool IsStoreUnreachable() const = 0;
  virtual ReaderRole role() const = 0;
  /// Time since the store last responded to a read of the configuration, or since reading began.
  virtual Duration StoreSilence(TimePoint now) const = 0;
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_COORDINATION_H_
