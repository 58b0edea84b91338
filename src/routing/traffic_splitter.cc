#include "limpet/routing/traffic_splitter.h"

#include <algorithm>

namespace limpet {

TrafficSplitter::State& TrafficSplitter::FindOrCreateState(const MeshRoute& route) {
  State& state = states_[route.name];
  if (state.weighted_services != route.weighted_services) {
    state.weighted_services = route.weighted_services;
    state.current_weights.clear();
    for (const WeightedService& entry : route.weighted_services) {
      state.current_weights.push_back(entry.weight * random_.NextFraction());
    }
  }
  return state;
}

const std::string& TrafficSplitter::Pick(const MeshRoute& route) {
  if (route.weighted_services.size() == 1) {
    return route.weighted_services.front().service;
  }
  State& state = FindOrCreateState(route);
  double total = 0;
  for (std::size_t i = 0; i < route.weighted_services.size(); ++i) {
    state.current_weights[i] += route.weighted_services[i].weight;
    total += route.weighted_services[i].weight;
  }
  const auto largest = std::ranges::max_element(state.current_weights);
  *largest -= total;
  return route.weighted_services[static_cast<std::size_t>(largest - state.current_weights.begin())]
      .service;
}

}  // namespace limpet
