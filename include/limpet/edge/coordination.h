#ifndef LIMPET_EDGE_COORDINATION_H_
#define LIMPET_EDGE_COORDINATION_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "limpet/routing/mesh_config.h"
#include "limpet_types.h"

namespace limpet::edge {

/// What lasts beyond the processes of the mesh: the operator's configuration and the addresses of
/// nodes. An adapter implements it on a store. All callbacks come from the node's loop.
class Coordination {
 public:
  using ConfigCallback = std::function<void(std::string encoded)>;
  using NodesCallback = std::function<void(std::vector<wire::NodeAddress>)>;

  virtual ~Coordination() = default;

  /// Delivers the configuration in effect and every later one, as the source encoded them. Older
  /// or repeated ones may come as well. Goes on through outages.
  virtual void WatchConfig(ConfigCallback on_config) = 0;
  /// Stops or resumes watching; another node may read for this one.
  virtual void SetWatching(bool watching) = 0;
  /// Makes this node known and then delivers all known nodes, once. Goes on through outages.
  virtual void JoinNodes(const wire::NodeAddress& self, NodesCallback on_nodes) = 0;
  /// Decodes what `WatchConfig` delivered. Throws `DecodeError`.
  virtual MeshConfig DecodeConfig(std::string_view encoded) const = 0;
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_COORDINATION_H_
