#include <spdlog/fmt/fmt.h>

#include <functional>

#include "load/policy_experiments.h"
#include "load/policy_workload.h"

namespace limpet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kChange = seconds(10);
constexpr Duration kEnd = seconds(25);

struct Scenario {
  const char* name;
  /// Share of the capacity of all targets.
  double load;
  std::function<void(PolicySim&, const Workload&)> apply;
};

const std::vector<Scenario>& Scenarios() {
  static const std::vector<Scenario> kScenarios = {
      {"unequal targets", 0.7, [](PolicySim&, const Workload&) {}},
      {"one target 10x slower", 0.5,
       [](PolicySim& sim, const Workload&) { sim.SetSlowdown(kChange, 0, 10); }},
      {"one data centre lost", 0.3,
       [](PolicySim& sim, const Workload&) { sim.LoseDataCentre(kChange, "dc0"); }},
      {"one restart, cold", 0.5, [](PolicySim& sim, const Workload&) { sim.Restart(kChange, 0); }},
      {"most flags false", 0.7,
       [](PolicySim& sim, const Workload& workload) {
         for (int i = 0; i <= workload.endpoints / 2; ++i) {
           sim.SetReachable(seconds(0), static_cast<size_t>(i), false);
         }
       }},
  };
  return kScenarios;
}

void RunOne(const Workload& workload,
            const Scenario& scenario,
            SelectionKind kind,
            uint64_t seed,
            std::ostream& out) {
  SimOptions options = MakeSim(workload, seed);
  options.balancer.selection = kind;
  PolicySim sim(options);
  const size_t window = sim.AddWindow(kChange, kEnd);
  scenario.apply(sim, workload);
  sim.SetRate(Duration(0), scenario.load * Capacity(options));
  sim.Run(kEnd + workload.deadline);
  const SimWindow& result = sim.window(window);
  const double offered = static_cast<double>(result.offered);
  out << fmt::format("| {} | {} | {} | {:.2f} | {:.1f} | {:.1f} | {:.2f} | {:.2f} | {:.3f} |\n",
                     workload.name, scenario.name, NameOf(kSelectionNames, kind),
                     100 * static_cast<double>(result.answered) / offered,
                     static_cast<double>(result.latency.Percentile(0.5).count()) / 1e3,
                     static_cast<double>(result.latency.Percentile(0.99).count()) / 1e3,
                     100 * static_cast<double>(result.refused) / offered,
                     100 * static_cast<double>(result.unknown) / offered,
                     static_cast<double>(result.attempts) / offered);
}

}  // namespace

void CompareBalancers(uint64_t seed, std::ostream& out) {
  out << "Balancers, seed " << seed << "\n\n"
      << "| service | scenario | balancer | answered % | p50 ms | p99 ms | refused % | unknown % "
         "| attempts per call |\n|---|---|---|---|---|---|---|---|---|\n";
  for (const Workload& workload : Workloads()) {
    for (const Scenario& scenario : Scenarios()) {
      for (const auto& [kind, name] : kSelectionNames) {
        RunOne(workload, scenario, kind, seed, out);
      }
    }
  }
}

}  // namespace limpet
