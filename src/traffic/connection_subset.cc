#include "limpet/traffic/connection_subset.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace limpet {
namespace {

struct RankedEndpoint {
  uint64_t rank;
  const Endpoint* endpoint;
};

std::vector<RankedEndpoint> RankEndpoints(std::string_view caller,
                                          const std::vector<Endpoint>& endpoints) {
  const uint64_t seed = XXH3_64bits(caller.data(), caller.size());
  std::vector<RankedEndpoint> ranked;
  ranked.reserve(endpoints.size());
  for (const Endpoint& endpoint : endpoints) {
    const std::string& node = endpoint.node;
    ranked.push_back({XXH3_64bits_withSeed(node.data(), node.size(), seed), &endpoint});
  }
  std::sort(ranked.begin(), ranked.end(), [](const RankedEndpoint& a, const RankedEndpoint& b) {
    return a.rank != b.rank ? a.rank > b.rank : a.endpoint->node < b.endpoint->node;
  });
  return ranked;
}

}  // namespace

std::vector<Endpoint> SelectSubset(std::string_view caller,
                                   std::string_view data_centre,
                                   const std::vector<Endpoint>& endpoints,
                                   size_t width) {
  std::vector<RankedEndpoint> ranked = RankEndpoints(caller, endpoints);
  const size_t reserved_local = (width + 1) / 2;
  size_t local_count = 0;
  std::stable_partition(ranked.begin(), ranked.end(), [&](const RankedEndpoint& candidate) {
    return candidate.endpoint->data_centre == data_centre && local_count++ < reserved_local;
  });
  std::vector<Endpoint> subset;
  for (size_t i = 0; i < std::min(width, ranked.size()); ++i) {
    subset.push_back(*ranked[i].endpoint);
  }
  return subset;
}

}  // namespace limpet
