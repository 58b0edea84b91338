#ifndef LIMPET_ROUTING_TRAFFIC_SPLITTER_H_
#define LIMPET_ROUTING_TRAFFIC_SPLITTER_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "limpet/core/random.h"
#include "limpet/routing/mesh_config.h"

namespace limpet {

/// Distributes the requests of a route among its services by smooth weighted round robin, so that
/// the shares are close to the weights even over a few requests. Not safe for concurrent use.
class TrafficSplitter {
 public:
  /// `random` sets the initial state of each route, so that the first requests of many nodes do not
  /// all go to the same service.
  explicit TrafficSplitter(Random random) : random_(random) {}

  /// Returns the service for the next request of the route.
  const std::string& Pick(const MeshRoute& route);

 private:
  struct State {
    std::vector<WeightedService> weighted_services;
    std::vector<double> current_weights;
  };

  /// Returns the state of the route, initialised again if its services or weights have changed.
  State& FindOrCreateState(const MeshRoute& route);

  Random random_;
  std::unordered_map<std::string, State> states_;
};

}  // namespace limpet

#endif  // LIMPET_ROUTING_TRAFFIC_SPLITTER_H_
