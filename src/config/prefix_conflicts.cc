#include "config/prefix_conflicts.h"

#include <string_view>
#include <unordered_map>

#include "config/resource_text.h"

namespace limpet {
namespace {

/// The routes of one prefix seen so far.
struct Owners {
  const wire::Route* first = nullptr;
  /// A route without a caller list, which admits every caller.
  const wire::Route* open = nullptr;
  std::unordered_map<std::string_view, const wire::Route*> by_caller;
};

/// The earlier route that conflicts with `route`, or null.
const wire::Route* AddRoute(const wire::Route& route, Owners& owners) {
  const wire::Route* conflict = route.callers.empty() ? owners.first : owners.open;
  for (const std::string& caller : route.callers) {
    const auto [it, inserted] = owners.by_caller.try_emplace(caller, &route);
    // A caller listed twice in one route is harmless.
    if (!inserted && it->second != &route && conflict == nullptr) {
      conflict = it->second;
    }
  }
  owners.first = owners.first == nullptr ? &route : owners.first;
  owners.open = route.callers.empty() ? &route : owners.open;
  return conflict;
}

}  // namespace

std::vector<PrefixConflict> FindPrefixConflicts(const std::vector<wire::Route>& routes) {
  std::vector<PrefixConflict> conflicts;
  std::unordered_map<std::string_view, Owners> prefixes;
  prefixes.reserve(routes.size());
  for (const wire::Route& route : routes) {
    if (const wire::Route* other = AddRoute(route, prefixes[route.path_prefix])) {
      conflicts.push_back({&route, other});
    }
  }
  return conflicts;
}

std::string DescribeConflict(const PrefixConflict& conflict) {
  return "has the path_prefix " + Printable(conflict.route->path_prefix) + " of route " +
         Printable(conflict.other->name) + " for the same callers";
}

}  // namespace limpet
