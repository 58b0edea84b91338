#include "limpet/routing/mesh_config.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace limpet {
namespace {

void Require(bool condition, const MeshRoute& route, const std::string& problem) {
  if (!condition) {
    throw InvalidMeshConfig("route " + route.name + ": " + problem);
  }
}

void CheckRoute(const MeshRoute& route, const std::set<std::string>& services) {
  const std::string& prefix = route.path_prefix;
  Require(!route.host.empty(), route, "the host is empty");
  Require(prefix.starts_with('/') && prefix.ends_with('/'), route,
          "path prefix \"" + prefix + "\" must begin and end with a slash");
  Require(route.timeout > Duration(0), route, "the timeout is not positive");
  Require(route.max_attempts > 0, route, "the maximum number of attempts is not positive");
  Require(!route.weighted_services.empty(), route, "no service is given");
  int total = 0;
  for (const WeightedService& entry : route.weighted_services) {
    Require(services.contains(entry.service), route, "unknown service " + entry.service);
    Require(entry.weight >= 0, route, "negative weight of service " + entry.service);
    total += entry.weight;
  }
  Require(total > 0, route, "all weights are 0");
}

void CheckAccounts(const std::vector<ClientAccount>& accounts) {
  std::set<std::string_view> names;
  std::set<std::string_view> keys;
  for (const ClientAccount& account : accounts) {
    const auto require = [&account](bool condition, const std::string& problem) {
      if (!condition) {
        throw InvalidMeshConfig("client account " + account.name + ": " + problem);
      }
    };
    const auto is_limit = [](double value) { return value >= 0 && value <= kMaxAccountLimit; };
    require(!account.name.empty(), "the name is empty");
    require(names.insert(account.name).second, "the name is used twice");
    for (const std::string& key : account.keys) {
      require(!key.empty(), "a key is empty");
      require(keys.insert(key).second, "a key is used twice");
    }
    require(is_limit(account.requests_per_s), "the request rate is not from 0 to 1e9");
    require(is_limit(account.burst), "the burst is not from 0 to 1e9");
  }
}

}  // namespace

bool HasAccountLimits(const MeshConfig& config) {
  return std::ranges::any_of(
      config.accounts, [](const ClientAccount& account) { return account.requests_per_s > 0; });
}

void ValidateMeshConfig(const MeshConfig& config) {
  std::set<std::string> services;
  for (const MeshService& service : config.services) {
    if (!services.insert(service.name).second) {
      throw InvalidMeshConfig("service " + service.name + " is defined twice");
    }
  }
  std::set<std::pair<std::string, std::string>> hosts_and_prefixes;
  std::set<std::string> names;
  for (const MeshRoute& route : config.routes) {
    Require(names.insert(route.name).second, route, "the name is used twice");
    CheckRoute(route, services);
    Require(hosts_and_prefixes.emplace(route.host, route.path_prefix).second, route,
            "another route has the same host and prefix");
  }
  CheckAccounts(config.accounts);
}

}  // namespace limpet
