#include "limpet/routing/mesh_delta.h"

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

#include "limpet/core/error.h"

namespace limpet {
namespace {

wire::MeshRouteRecord ToRecord(const MeshRoute& route) {
  wire::MeshRouteRecord record;
  record.name = route.name;
  record.host = route.host;
  record.path_prefix = route.path_prefix;
  record.kind = static_cast<int32_t>(route.kind);
  record.timeout_us = route.timeout.count();
  record.target_latency_us = route.target_latency.count();
  record.priority = route.priority;
  record.max_attempts = route.max_attempts;
  record.is_public = route.is_public;
  for (const WeightedService& entry : route.weighted_services) {
    record.services.push_back(entry.service);
    record.weights.push_back(entry.weight);
  }
  return record;
}

MeshRoute FromRecord(const wire::MeshRouteRecord& record) {
  if (record.services.size() != record.weights.size()) {
    throw DecodeError("route " + record.name +
                      " from another node: services and weights differ in number");
  }
  // A node of a later version may know more kinds.
  const bool known_kind =
      record.kind >= 0 && record.kind < static_cast<int>(kRequestKindNames.size());
  MeshRoute route;
  route.name = record.name;
  route.host = record.host;
  route.path_prefix = record.path_prefix;
  route.kind = known_kind ? static_cast<RequestKind>(record.kind) : kStrictestRequestKind;
  route.timeout = Duration(record.timeout_us);
  route.target_latency = Duration(record.target_latency_us);
  route.priority = record.priority;
  route.max_attempts = record.max_attempts;
  route.is_public = record.is_public;
  for (std::size_t i = 0; i < record.services.size(); ++i) {
    route.weighted_services.push_back({record.services[i], record.weights[i]});
  }
  return route;
}

wire::MeshServiceRecord ToRecord(const MeshService& service) {
  wire::MeshServiceRecord record;
  record.name = service.name;
  record.health_path = service.health_path;
  record.max_connections = service.max_connections;
  return record;
}

MeshService FromRecord(const wire::MeshServiceRecord& record) {
  return {record.name, record.health_path, record.max_connections};
}

wire::MeshAccountRecord ToRecord(const ClientAccount& account) {
  wire::MeshAccountRecord record;
  record.name = account.name;
  record.keys = account.keys;
  record.has_priority = account.priority.has_value();
  record.priority = account.priority.value_or(0);
  record.requests_per_s = account.requests_per_s;
  record.burst = account.burst;
  return record;
}

ClientAccount FromRecord(const wire::MeshAccountRecord& record) {
  ClientAccount account;
  account.name = record.name;
  account.keys = record.keys;
  if (record.has_priority) {
    account.priority = record.priority;
  }
  account.requests_per_s = record.requests_per_s;
  account.burst = record.burst;
  return account;
}

/// Appends the items of `to` that are missing or different in `from` to `set`, and the names that
/// only `from` has to `removed`.
template <typename Item, typename Record>
void AppendDifferences(const std::vector<Item>& from,
                       const std::vector<Item>& to,
                       std::vector<Record>& set,
                       std::vector<std::string>& removed) {
  std::unordered_map<std::string_view, const Item*> old_items;
  for (const Item& item : from) {
    old_items.emplace(item.name, &item);
  }
  for (const Item& item : to) {
    const auto found = old_items.find(item.name);
    if (found == old_items.end() || !(*found->second == item)) {
      set.push_back(ToRecord(item));
    }
    if (found != old_items.end()) {
      old_items.erase(found);
    }
  }
  for (const auto& [name, item] : old_items) {
    removed.emplace_back(name);
  }
}

template <typename Item, typename Record>
std::vector<Item> ApplyDifferences(const std::vector<Item>& items,
                                   const std::vector<Record>& set,
                                   const std::vector<std::string>& removed) {
  std::unordered_set<std::string_view> replaced(removed.begin(), removed.end());
  for (const Record& record : set) {
    replaced.insert(record.name);
  }
  std::vector<Item> merged;
  merged.reserve(items.size() + set.size());
  std::ranges::copy_if(items, std::back_inserter(merged),
                       [&](const Item& item) { return !replaced.contains(item.name); });
  for (const Record& record : set) {
    merged.push_back(FromRecord(record));
  }
  return merged;
}

}  // namespace

wire::LinkConfig MakeMeshDelta(const MeshConfig& from, const MeshConfig& to) {
  wire::LinkConfig change;
  change.base = from.version;
  change.version = to.version;
  AppendDifferences(from.routes, to.routes, change.set_routes, change.removed_routes);
  AppendDifferences(from.services, to.services, change.set_services, change.removed_services);
  AppendDifferences(from.accounts, to.accounts, change.set_accounts, change.removed_accounts);
  change.limits.max_header_bytes = static_cast<int64_t>(to.limits.max_header_bytes);
  change.limits.max_body_bytes = static_cast<int64_t>(to.limits.max_body_bytes);
  change.limits.header_timeout_us = to.limits.header_timeout.count();
  change.limits.idle_timeout_us = to.limits.idle_timeout.count();
  return change;
}

MeshConfig ApplyMeshDelta(const MeshConfig& config, const wire::LinkConfig& change) {
  MeshConfig next;
  next.version = change.version;
  next.routes = ApplyDifferences(config.routes, change.set_routes, change.removed_routes);
  next.services = ApplyDifferences(config.services, change.set_services, change.removed_services);
  next.accounts = ApplyDifferences(config.accounts, change.set_accounts, change.removed_accounts);
  next.limits.max_header_bytes = static_cast<std::size_t>(change.limits.max_header_bytes);
  next.limits.max_body_bytes = static_cast<std::size_t>(change.limits.max_body_bytes);
  next.limits.header_timeout = Duration(change.limits.header_timeout_us);
  next.limits.idle_timeout = Duration(change.limits.idle_timeout_us);
  return next;
}

}  // namespace limpet
