#ifndef LIMPET_ROUTING_ROUTE_TABLE_H_
#define LIMPET_ROUTING_ROUTE_TABLE_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "limpet/routing/mesh_config.h"

namespace limpet {

/// An immutable, validated configuration version that finds the route of a request.
class RouteTable {
 public:
  /// Throws `InvalidMeshConfig`.
  explicit RouteTable(MeshConfig config);

  /// The route with the longest prefix of `path` among those of `host`; null if there is none.
  /// `host` may name a port, `path` may have a query.
  const MeshRoute* Match(std::string_view host, std::string_view path) const;
  /// Null for an unknown service.
  const MeshService* FindService(std::string_view name) const;

  int64_t version() const { return config_.version; }
  const MeshConfig& config() const { return config_; }

 private:
  using PrefixMap = std::unordered_map<std::string, const MeshRoute*>;

  MeshConfig config_;
  std::unordered_map<std::string, PrefixMap> hosts_;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

}  // namespace limpet

#endif  // LIMPET_ROUTING_ROUTE_TABLE_H_
