#include "limpet/routing/traffic_splitter.h"

#include <algorithm>

namespace limpet {

TrafficSplitter::State& TrafficSplitter::StateOf(const MeshRoute& route) {
  State& state = states_[route.name];
  if (state.parts != route.parts) {
    state.parts = route.parts;
    state.credit.clear();
    for (const TrafficPart& part : route.parts) {
      state.credit.push_back(part.weight * random_.NextFraction());
    }
  }
  return state;
}

const std::string& TrafficSplitter::Pick(const MeshRoute& route) {
  if (route.parts.size() == 1) {
    return route.parts.front().service;
  }
  State& state = StateOf(route);
  double total = 0;
  for (std::size_t i = 0; i < route.parts.size(); ++i) {
    state.credit[i] += route.parts[i].weight;
    total += route.parts[i].weight;
  }
  const auto largest = std::ranges::max_element(state.credit);
  *largest -= total;
  return route.parts[static_cast<std::size_t>(largest - state.credit.begin())].service;
}

}  // namespace limpet
