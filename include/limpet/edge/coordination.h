#ifndef LIMPET_EDGE_COORDINATION_H_
#define LIMPET_EDGE_COORDINATION_H_

#include <functional>
#include <vector>

#include "limpet/routing/mesh_config.h"
#include "limpet_types.h"

namespace limpet::edge {

/// What lasts beyond the processes of the mesh: the operator's configuration and the addresses of
/// nodes. An adapter implements it on a store. All callbacks come from the node's loop.
class Coordination {
 public:
  using ConfigCallback = std::function<void(MeshConfig)>;
  using NodesCallback = std::function<void(std::vector<wire::NodeAddress>)>;

  virtual ~Coordination() = default;

  /// Delivers the configuration in effect and later ones while watching; versions that are replaced
  /// before they are read may be left out, older or repeated ones may come. Goes on through
  /// outages.
  virtual void WatchConfig(ConfigCallback on_config) = 0;
  /// Stops or resumes watching; another node may read for this one.
  virtual void SetPolling(bool polling) = 0;
  /// Makes this node known and then delivers all known nodes, once. Goes on through outages.
  virtual void RegisterNode(const wire::NodeAddress& self, NodesCallback on_nodes) = 0;
  /// True while this node watches and the store does not answer.
  virtual bool IsStoreUnreachable() const = 0;
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_COORDINATION_H_
