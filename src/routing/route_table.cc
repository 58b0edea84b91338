#include "limpet/routing/route_table.h"

#include <algorithm>
#include <utility>

namespace limpet {
namespace {

std::string HostKey(std::string_view host) {
  std::string key(host.substr(0, host.find(':')));
  std::ranges::transform(key, key.begin(),
                         [](char c) { return c >= 'A' && c <= 'Z' ? char(c - 'A' + 'a') : c; });
  return key;
}

}  // namespace

RouteTable::RouteTable(MeshConfig config) : config_(std::move(config)) {
  ValidateMeshConfig(config_);
  for (const MeshRoute& route : config_.routes) {
    hosts_[HostKey(route.host)].emplace(route.path_prefix, &route);
  }
  for (const ClientAccount& account : config_.accounts) {
    for (const std::string& key : account.keys) {
      accounts_by_key_.emplace(key, &account);
    }
  }
}

const MeshRoute* RouteTable::Match(std::string_view host, std::string_view path) const {
  const auto found = hosts_.find(HostKey(host));
  if (found == hosts_.end()) {
    return nullptr;
  }
  // Every prefix ends with a slash, so it is enough to look up the path up to each of its slashes,
  // longest first.
  path = path.substr(0, path.find_first_of("?#"));
  for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
       end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
    const auto route = found->second.find(std::string(path.substr(0, end + 1)));
    if (route != found->second.end()) {
      return route->second;
    }
  }
  return nullptr;
}

const MeshService* RouteTable::FindService(std::string_view name) const {
  const auto found = std::ranges::find(config_.services, name, &MeshService::name);
  return found == config_.services.end() ? nullptr : &*found;
}

const ClientAccount* RouteTable::FindAccountByKey(std::string_view key) const {
  const auto found = accounts_by_key_.find(key);
  return found == accounts_by_key_.end() ? nullptr : found->second;
}

}  // namespace limpet
