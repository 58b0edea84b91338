#ifndef LIMPET_LOAD_POLICY_WORKLOAD_H_
#define LIMPET_LOAD_POLICY_WORKLOAD_H_

#include <string>
#include <vector>

#include "load/policy_sim.h"

namespace limpet {

/// One of the services that the policies are measured on.
struct Workload {
  std::string name;
  int endpoints = 0;
  int slots = 0;
  /// Mean service time of the fastest targets.
  Duration service_time{0};
  Duration deadline{0};
};

/// ticket-desk, docket-store, enrol and imaging.
const std::vector<Workload>& Workloads();

/// Targets in three data centres whose speeds differ by a factor of 3.
SimOptions MakeSim(const Workload& workload, uint64_t seed);

/// Calls per second that all targets together can serve.
double Capacity(const SimOptions& options);

}  // namespace limpet

#endif  // LIMPET_LOAD_POLICY_WORKLOAD_H_
