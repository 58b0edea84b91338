#ifndef LIMPET_ROUTING_SPLIT_PICKER_H_
#define LIMPET_ROUTING_SPLIT_PICKER_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "limpet/core/random.h"
#include "limpet/routing/mesh_config.h"

namespace limpet {

/// Divides the requests of a route among its services by smooth weighted round robin, which keeps
/// every short run of requests close to the weights. Not safe for concurrent use.
class SplitPicker {
 public:
  /// The random source spreads the starting points of nodes, so that the first requests of many
  /// nodes do not all go to the same service.
  explicit SplitPicker(Random random) : random_(random) {}

  const std::string& Pick(const MeshRoute& route);

 private:
  struct State {
    std::vector<WeightedService> weighted_services;
    std::vector<double> credit;
  };

  State& StateOf(const MeshRoute& route);

  Random random_;
  std::unordered_map<std::string, State> states_;
};

}  // namespace limpet

#endif  // LIMPET_ROUTING_SPLIT_PICKER_H_
