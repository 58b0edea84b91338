#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <map>

#include "limpet/traffic/connection_subset.h"
#include "load/policy_experiments.h"
#include "load/policy_workload.h"

namespace limpet {
namespace {

using std::chrono::seconds;

constexpr Duration kChangeTime = seconds(5);
constexpr Duration kEndTime = seconds(20);
constexpr int kCallers = 120;
constexpr double kLoad = 0.6;

struct Range {
  int lowest = 0;
  int highest = 0;
};

/// Returns the lowest and the highest number of caller connections to an endpoint.
Range CountConnections(const SimOptions& options) {
  std::vector<Endpoint> endpoints;
  std::map<std::string, int> connections;
  for (const SimTarget& target : options.targets) {
    endpoints.push_back({target.node, 1, target.data_centre, "", 0, true});
    connections[target.node] = 0;
  }
  for (int i = 0; i < options.callers; ++i) {
    for (const Endpoint& endpoint :
         SelectSubset("caller" + std::to_string(i), "dc" + std::to_string(i % 3), endpoints,
                      options.balancer.subset_width)) {
      ++connections[endpoint.node];
    }
  }
  const auto [low, high] =
      std::minmax_element(connections.begin(), connections.end(),
                          [](const auto& a, const auto& b) { return a.second < b.second; });
  return {low->second, high->second};
}

void RunOne(const Workload& workload, size_t width, uint64_t seed, std::ostream& out) {
  SimOptions options = MakeSim(workload, seed);
  options.callers = kCallers;
  options.balancer.subset_width = width;
  const Range connections = CountConnections(options);
  PolicySim sim(options);
  const size_t window = sim.AddWindow(kChangeTime, kEndTime);
  sim.SetSlowdown(kChangeTime, 0, 10);
  sim.SetRate(Duration(0), kLoad * Capacity(options));
  sim.Run(kEndTime + workload.deadline);
  const SimWindow& result = sim.window(window);
  const double offered = static_cast<double>(result.offered);
  out << fmt::format("| {} | {} | {} | {} | {} | {:.2f} | {:.1f} | {:.1f} | {:.3f} |\n",
                     workload.name, workload.endpoints, width, connections.lowest,
                     connections.highest, 100 * static_cast<double>(result.succeeded) / offered,
                     static_cast<double>(result.latency.Percentile(0.5).count()) / 1e3,
                     static_cast<double>(result.latency.Percentile(0.99).count()) / 1e3,
                     static_cast<double>(result.attempts) / offered);
}

}  // namespace

void CompareSubsetWidths(uint64_t seed, std::ostream& out) {
  out << "Subset widths with " << kCallers << " callers and one target 10 times slower, seed "
      << seed << "\n\n"
      << "| service | endpoints | width | fewest connections | most connections | succeeded % "
         "| p50 ms | p99 ms | attempts per call |\n|---|---|---|---|---|---|---|---|---|\n";
  Workload large = Workloads().front();
  large.endpoints = 40;
  for (const Workload& workload : {Workloads().front(), large}) {
    for (const size_t width : {2, 3, 4, 6, 8, 10, 20}) {
      if (width <= static_cast<size_t>(workload.endpoints)) {
        RunOne(workload, width, seed, out);
      }
    }
  }
}

}  // namespace limpet
