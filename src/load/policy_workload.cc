#include "load/policy_workload.h"

namespace limpet {

const std::vector<Workload>& Workloads() {
  using std::chrono::milliseconds;
  static const std::vector<Workload> kWorkloads = {
      {"ticket-desk", 10, 12, milliseconds(20), milliseconds(500)},
      {"docket-store", 3, 12, milliseconds(60), milliseconds(1000)},
      {"enrol", 10, 9, milliseconds(30), milliseconds(500)},
      {"imaging", 3, 9, milliseconds(200), milliseconds(3000)},
  };
  return kWorkloads;
}

SimOptions MakeSim(const Workload& workload, uint64_t seed) {
  constexpr double kSlowdowns[] = {1.0, 2.0, 3.0};
  SimOptions options;
  options.seed = seed;
  options.deadline = workload.deadline;
  for (int i = 0; i < workload.endpoints; ++i) {
    SimTarget target;
    target.node = workload.name + std::to_string(i);
    target.data_centre = "dc" + std::to_string(i % 3);
    target.slots = workload.slots;
    target.configured_slots = workload.slots;
    // Each data centre holds targets of different speeds, unless there are only three targets, one
    // in each data centre.
    const double slowdown = kSlowdowns[(i + i / 3) % 3];
    target.service_time = Duration(
        static_cast<Duration::rep>(static_cast<double>(workload.service_time.count()) * slowdown));
    options.targets.push_back(target);
  }
  return options;
}

double Capacity(const SimOptions& options) {
  double capacity = 0;
  for (const SimTarget& target : options.targets) {
    capacity += target.slots / std::chrono::duration<double>(target.service_time).count();
  }
  return capacity;
}

}  // namespace limpet
