#ifndef LIMPET_LOAD_POLICY_WORKLOAD_H_
#define LIMPET_LOAD_POLICY_WORKLOAD_H_

#include <string>
#include <vector>

#include "load/policy_sim.h"

namespace limpet {

/// A service on which the policies are compared.
struct Workload {
  std::string name;
  int endpoints = 0;
  int slots = 0;
  /// Mean service time of the fastest targets.
  Duration service_time{0};
  Duration deadline{0};
};

/// Returns ticket-desk, docket-store, enrol and imaging.
const std::vector<Workload>& Workloads();

/// Returns options with the targets of the service, spread over three data centres. Their service
/// times differ by up to a factor of 3.
SimOptions MakeSim(const Workload& workload, uint64_t seed);

/// Returns the calls per second that all targets together can execute.
double Capacity(const SimOptions& options);

}  // namespace limpet

#endif  // LIMPET_LOAD_POLICY_WORKLOAD_H_
