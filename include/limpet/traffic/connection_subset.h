#ifndef LIMPET_TRAFFIC_CONNECTION_SUBSET_H_
#define LIMPET_TRAFFIC_CONNECTION_SUBSET_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "limpet/membership/endpoint_view.h"

namespace limpet {

/// Returns the `width` endpoints that the node `caller` connects to, or all if there are fewer.
///
/// Endpoints are ranked by rendezvous hashing of caller and node name. Each caller has its own
/// ranking, so that the callers spread evenly over the endpoints. An endpoint that is added or
/// removed changes at most one member of a subset. Half of the width (rounded up) is reserved for
/// endpoints in `data_centre`, as far as there are any, so that calls can stay local; the rest is
/// selected by rank alone. The reserved endpoints come first; both groups are in order of rank.
std::vector<Endpoint> SelectSubset(std::string_view caller,
                                   std::string_view data_centre,
                                   const std::vector<Endpoint>& endpoints,
                                   size_t width);

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_CONNECTION_SUBSET_H_
