#ifndef LIMPET_SRC_CONFIG_PREFIX_CONFLICTS_H_
#define LIMPET_SRC_CONFIG_PREFIX_CONFLICTS_H_

#include <string>
#include <vector>

#include "limpet_types.h"

namespace limpet {

/// Two routes that have the same prefix and allow a common caller; `earlier` precedes `route` in
/// the configuration.
struct PrefixConflict {
  const wire::Route* route = nullptr;
  const wire::Route* earlier = nullptr;
};

/// Returns at most one conflict for each route, in time linear in the number of routes and callers.
/// The result points into `routes`.
std::vector<PrefixConflict> FindPrefixConflicts(const std::vector<wire::Route>& routes);

/// Returns the message text that follows "route NAME", where NAME is `conflict.route`.
std::string DescribeConflict(const PrefixConflict& conflict);

}  // namespace limpet

#endif  // LIMPET_SRC_CONFIG_PREFIX_CONFLICTS_H_
