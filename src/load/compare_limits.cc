#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <functional>
#include <map>

#include "load/policy_experiments.h"
#include "load/policy_workload.h"

namespace limpet {
namespace {

using std::chrono::seconds;

constexpr Duration kChangeTime = seconds(10);
constexpr Duration kChangeEndTime = seconds(20);
/// Time after an overload until normal service is expected.
constexpr Duration kRecoveryTime = seconds(2);
constexpr Duration kEndTime = seconds(30);
constexpr double kNormalLoad = 0.7;

struct Variant {
  const char* name;
  LimitKind limit;
  bool unlimited;
};

constexpr Variant kVariants[] = {
    {"fixed", LimitKind::kFixed, false},
    {"gradient", LimitKind::kGradient, false},
    {"feedback", LimitKind::kFeedback, false},
    {"none", LimitKind::kFixed, true},
};

SimOptions MakeOptions(const Workload& workload, const Variant& variant, uint64_t seed) {
  SimOptions options = MakeSim(workload, seed);
  options.limit = variant.limit;
  options.unlimited = variant.unlimited;
  return options;
}

/// Returns the highest goodput over a range of constant loads with the fixed limit.
double PeakGoodput(const Workload& workload, uint64_t seed) {
  double peak = 0;
  for (const double load : {0.8, 0.9, 1.0, 1.1, 1.25, 1.5}) {
    const SimOptions options = MakeOptions(workload, kVariants[0], seed);
    PolicySim sim(options);
    const size_t window = sim.AddWindow(kChangeTime, kChangeEndTime);
    sim.SetRate(Duration(0), load * Capacity(options));
    sim.Run(kChangeEndTime + workload.deadline);
    peak = std::max(peak, sim.window(window).goodput());
  }
  return peak;
}

void Print(const Workload& workload,
           const char* scenario,
           const Variant& variant,
           const SimWindow& result,
           double peak,
           std::ostream& out) {
  const double offered = static_cast<double>(result.offered);
  out << fmt::format(
      "| {} | {} | {} | {:.0f} | {:.0f} | {:.1f} | {:.1f} | {:.1f} | {:.2f} | {:.2f} |\n",
      workload.name, scenario, variant.name, offered / result.seconds(), result.goodput(),
      100 * result.goodput() / peak,
      static_cast<double>(result.latency.Percentile(0.5).count()) / 1e3,
      static_cast<double>(result.latency.Percentile(0.99).count()) / 1e3,
      100 * static_cast<double>(result.refused) / offered,
      100 * static_cast<double>(result.unknown) / offered);
}

void RunOverload(const Workload& workload,
                 const Variant& variant,
                 double peak,
                 uint64_t seed,
                 std::ostream& out) {
  const SimOptions options = MakeOptions(workload, variant, seed);
  const double capacity = Capacity(options);
  PolicySim sim(options);
  const size_t steady = sim.AddWindow(seconds(3), kChangeTime);
  const size_t overload = sim.AddWindow(kChangeTime, kChangeEndTime);
  const size_t after = sim.AddWindow(kChangeEndTime + kRecoveryTime, kEndTime);
  sim.SetRate(Duration(0), kNormalLoad * capacity);
  sim.SetRate(kChangeTime, 2 * capacity);
  sim.SetRate(kChangeEndTime, kNormalLoad * capacity);
  sim.Run(kEndTime + workload.deadline);
  Print(workload, "steady 0.7", variant, sim.window(steady), peak, out);
  Print(workload, "overload 2x", variant, sim.window(overload), peak, out);
  Print(workload, "from 2 s after", variant, sim.window(after), peak, out);
}

void RunSlowdown(const Workload& workload,
                 const Variant& variant,
                 double peak,
                 bool all,
                 uint64_t seed,
                 std::ostream& out) {
  const SimOptions options = MakeOptions(workload, variant, seed);
  PolicySim sim(options);
  const size_t slow = sim.AddWindow(kChangeTime, kChangeEndTime);
  const size_t later = sim.AddWindow(kChangeEndTime, kEndTime);
  const size_t targets = all ? options.targets.size() : 1;
  for (size_t i = 0; i < targets; ++i) {
    sim.SetSlowdown(kChangeTime, i, 2);
  }
  sim.SetRate(Duration(0), kNormalLoad * Capacity(options));
  sim.Run(kEndTime + workload.deadline);
  Print(workload, all ? "all at half speed" : "one at half speed", variant, sim.window(slow), peak,
        out);
  Print(workload, all ? "all, 10 s later" : "one, 10 s later", variant, sim.window(later), peak,
        out);
}

/// The inventory has twice the actual slots, and a target with more requests than slots slows down.
/// The load rises from normal to 2 times the actual capacity.
void RunWrongSlots(const Workload& workload,
                   const Variant& variant,
                   double peak,
                   uint64_t seed,
                   std::ostream& out) {
  constexpr double kThrashing = 0.1;
  SimOptions options = MakeOptions(workload, variant, seed);
  const double configured_capacity = Capacity(options);
  for (SimTarget& target : options.targets) {
    target.slots /= 2;
  }
  options.thrashing = kThrashing;
  const double capacity = Capacity(options);
  PolicySim sim(options);
  const size_t window = sim.AddWindow(kChangeTime, kChangeEndTime);
  sim.SetRate(Duration(0), kNormalLoad * capacity);
  sim.SetRate(kChangeTime, 2 * capacity);
  sim.Run(kChangeEndTime + workload.deadline);
  Print(workload, "half the slots, 2x", variant, sim.window(window),
        peak * capacity / configured_capacity, out);
}

}  // namespace

void CompareLimits(uint64_t seed, std::ostream& out) {
  out << "Limits, seed " << seed << "\n\n"
      << "| service | scenario | limit | offered/s | goodput/s | goodput % of peak | p50 ms | p99 "
         "ms "
         "| refused % | unknown % |\n|---|---|---|---|---|---|---|---|---|---|\n";
  for (const Workload& workload : Workloads()) {
    const double peak = PeakGoodput(workload, seed);
    for (const Variant& variant : kVariants) {
      RunOverload(workload, variant, peak, seed, out);
      RunSlowdown(workload, variant, peak, false, seed, out);
      RunSlowdown(workload, variant, peak, true, seed, out);
      RunWrongSlots(workload, variant, peak, seed, out);
    }
  }
}

}  // namespace limpet
