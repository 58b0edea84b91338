#ifndef LIMPET_SRC_CONFIG_PREFIX_CONFLICTS_H_
#define LIMPET_SRC_CONFIG_PREFIX_CONFLICTS_H_

#include <string>
#include <vector>

#include "limpet_types.h"

namespace limpet {

/// `route` and the earlier `other` have the same prefix and some caller is admitted by both.
struct PrefixConflict {
  const wire::Route* route = nullptr;
  const wire::Route* other = nullptr;
};

/// Takes time linear in the number of routes and callers. The result refers to `routes`.
std::vector<PrefixConflict> FindPrefixConflicts(const std::vector<wire::Route>& routes);

/// Predicate of a sentence about `conflict.route`.
std::string DescribeConflict(const PrefixConflict& conflict);

}  // namespace limpet

#endif  // LIMPET_SRC_CONFIG_PREFIX_CONFLICTS_H_
