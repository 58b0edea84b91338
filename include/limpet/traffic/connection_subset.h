#ifndef LIMPET_TRAFFIC_CONNECTION_SUBSET_H_
#define LIMPET_TRAFFIC_CONNECTION_SUBSET_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "limpet/membership/endpoint_view.h"

namespace limpet {

/// The `width` endpoints that `caller` connects to, by rendezvous hash of caller and node name, in
/// order of rank. Every caller ranks independently, so the callers spread evenly over endpoints,
/// and one endpoint that leaves or joins changes at most one member of a subset. Half of the width
/// (rounded up) is reserved for `data_centre` as far as it has endpoints, so that calls can stay
/// local; the rest goes by rank alone.
std::vector<Endpoint> SelectSubset(std::string_view caller,
                                   std::string_view data_centre,
                                   const std::vector<Endpoint>& endpoints,
                                   size_t width);

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_CONNECTION_SUBSET_H_
