#ifndef LIMPET_ROUTING_ROUTE_TABLE_H_
#define LIMPET_ROUTING_ROUTE_TABLE_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "limpet/routing/mesh_config.h"

namespace limpet {

/// Finds the route of a request in one configuration version. Immutable.
class RouteTable {
 public:
  /// Validates `config`; throws `InvalidMeshConfig`.
  explicit RouteTable(MeshConfig config);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  /// Returns the route of `host` with the longest prefix that matches `path`; null if there is
  /// none. Upper case and a port in `host` and a query or fragment in `path` are ignored.
  const MeshRoute* Match(std::string_view host, std::string_view path) const;
  /// Returns null for an unknown service.
  const MeshService* FindService(std::string_view name) const;

  /// Returns the account that has this key; null for an unknown key.
  const ClientAccount* FindAccountByKey(std::string_view key) const;

  int64_t version() const { return config_.version; }
  const MeshConfig& config() const { return config_; }

 private:
  using PrefixMap = std::unordered_map<std::string, const MeshRoute*>;

  MeshConfig config_;
  std::unordered_map<std::string, PrefixMap> hosts_;
  std::unordered_map<std::string_view, const ClientAccount*> accounts_by_key_;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

}  // namespace limpet

#endif  // LIMPET_ROUTING_ROUTE_TABLE_H_
