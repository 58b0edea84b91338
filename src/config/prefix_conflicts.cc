#include "config/prefix_conflicts.h"

#include <string_view>
#include <unordered_map>

#include "config/resource_text.h"

namespace limpet {
namespace {

/// The routes with one prefix that have been added so far.
struct PrefixRoutes {
  const wire::Route* first = nullptr;
  /// A route without a caller list, which allows every caller.
  const wire::Route* unrestricted = nullptr;
  std::unordered_map<std::string_view, const wire::Route*> by_caller;
};

/// Adds `route` and returns an earlier route that conflicts with it, or null.
const wire::Route* AddRoute(const wire::Route& route, PrefixRoutes& added) {
  const wire::Route* conflict = route.callers.empty() ? added.first : added.unrestricted;
  for (const std::string& caller : route.callers) {
    const auto [it, inserted] = added.by_caller.try_emplace(caller, &route);
    // A caller that one route lists twice is not a conflict.
    if (!inserted && it->second != &route && conflict == nullptr) {
      conflict = it->second;
    }
  }
  added.first = added.first == nullptr ? &route : added.first;
  added.unrestricted = route.callers.empty() ? &route : added.unrestricted;
  return conflict;
}

}  // namespace

std::vector<PrefixConflict> FindPrefixConflicts(const std::vector<wire::Route>& routes) {
  std::vector<PrefixConflict> conflicts;
  std::unordered_map<std::string_view, PrefixRoutes> prefixes;
  prefixes.reserve(routes.size());
  for (const wire::Route& route : routes) {
    if (const wire::Route* earlier = AddRoute(route, prefixes[route.path_prefix])) {
      conflicts.push_back({&route, earlier});
    }
  }
  return conflicts;
}

std::string DescribeConflict(const PrefixConflict& conflict) {
  return "has the path_prefix " + Quote(conflict.route->path_prefix) + " of route " +
         Quote(conflict.earlier->name) + " for the same callers";
}

}  // namespace limpet
