#include <spdlog/fmt/fmt.h>

#include <functional>

#include "load/policy_experiments.h"
#include "load/policy_workload.h"

namespace limpet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kChangeTime = seconds(10);
constexpr Duration kEndTime = seconds(25);

struct Scenario {
  const char* name;
  /// True for a target whose capacity the change removes; the load is set without that capacity.
  bool (*is_affected)(const SimTarget& target, size_t index);
  std::function<void(PolicySim&, const Workload&)> apply;
};

/// Load as a share of the capacity that remains after the change.
constexpr double kLoad = 0.7;

bool AffectsNone(const SimTarget& /*target*/, size_t /*index*/) {
  return false;
}

bool AffectsFirst(const SimTarget& /*target*/, size_t index) {
  return index == 0;
}

bool AffectsDataCentre(const SimTarget& target, size_t /*index*/) {
  return target.data_centre == "dc0";
}

double RemainingCapacity(const SimOptions& options, const Scenario& scenario) {
  SimOptions remaining = options;
  remaining.targets.clear();
  for (size_t i = 0; i < options.targets.size(); ++i) {
    if (!scenario.is_affected(options.targets[i], i)) {
      remaining.targets.push_back(options.targets[i]);
    }
  }
  return Capacity(remaining);
}

const std::vector<Scenario>& Scenarios() {
  static const std::vector<Scenario> kScenarios = {
      {"unequal targets", AffectsNone, [](PolicySim&, const Workload&) {}},
      {"one target 10x slower", AffectsFirst,
       [](PolicySim& sim, const Workload&) { sim.SetSlowdown(kChangeTime, 0, 10); }},
      {"one data centre lost", AffectsDataCentre,
       [](PolicySim& sim, const Workload&) { sim.LoseDataCentre(kChangeTime, "dc0"); }},
      {"one restart, cold", AffectsFirst,
       [](PolicySim& sim, const Workload&) { sim.Restart(kChangeTime, 0); }},
      {"most targets marked unreachable", AffectsNone,
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
  const size_t window = sim.AddWindow(kChangeTime, kEndTime);
  scenario.apply(sim, workload);
  sim.SetRate(Duration(0), kLoad * RemainingCapacity(options, scenario));
  sim.Run(kEndTime + workload.deadline);
  const SimWindow& result = sim.window(window);
  const double offered = static_cast<double>(result.offered);
  out << fmt::format("| {} | {} | {} | {:.2f} | {:.1f} | {:.1f} | {:.2f} | {:.2f} | {:.3f} |\n",
                     workload.name, scenario.name, EnumName(kSelectionNames, kind),
                     100 * static_cast<double>(result.succeeded) / offered,
                     static_cast<double>(result.latency.Percentile(0.5).count()) / 1e3,
                     static_cast<double>(result.latency.Percentile(0.99).count()) / 1e3,
                     100 * static_cast<double>(result.refused) / offered,
                     100 * static_cast<double>(result.unknown) / offered,
                     static_cast<double>(result.attempts) / offered);
}

}  // namespace

void CompareBalancers(uint64_t seed, std::ostream& out) {
  out << "Balancers, seed " << seed << "\n\n"
      << "| service | scenario | balancer | succeeded % | p50 ms | p99 ms | refused % | unknown % "
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
