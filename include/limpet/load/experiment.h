#ifndef LIMPET_LOAD_EXPERIMENT_H_
#define LIMPET_LOAD_EXPERIMENT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "limpet/core/time.h"

namespace limpet::load {

struct HostPort {
  std::string host;
  int port = 0;

  bool operator==(const HostPort&) const = default;
};

/// One kind of request in the mix.
struct Workload {
  std::string name;
  std::string method = "GET";
  std::string path = "/";
  std::string caller;
  /// Relative weight in the mix.
  double share = 1.0;
  int body_bytes = 200;
  Duration deadline = std::chrono::seconds(1);
  /// A non-idempotent request is always sent on a new connection and its executions are counted.
  bool idempotent = true;
};

/// A stretch of constant arrival rate.
struct Phase {
  std::string name;
  Duration length{0};
  /// Arrivals per second, for each arm.
  double rate = 0;
};

/// A request to the fault interface of a stand-in at a moment of the run.
struct FaultAction {
  std::string name;
  Duration at{0};
  HostPort stand_in;
  /// JSON body of `POST /faults`.
  std::string body;
};

/// A set of nodes that runs one policy. All arms receive the same sequence of arrivals.
struct Arm {
  std::string name;
  std::vector<HostPort> nodes;
  /// Target stand-ins, asked for their execution counts after the run.
  std::vector<HostPort> targets;
};

struct Experiment {
  std::string name;
  uint64_t seed = 1;
  /// Upper bound on requests in flight, for each arm. Later arrivals wait, and the wait counts as
  /// latency.
  int connections = 64;
  std::vector<Workload> workloads;
  std::vector<Phase> phases;
  std::vector<FaultAction> faults;
  std::vector<Arm> arms;
};

/// Reads an experiment from INI text. `file` is used in error messages only. Throws `FileError`
/// that names line, section and key.
Experiment ParseExperiment(std::string_view text, const std::string& file);

}  // namespace limpet::load

#endif  // LIMPET_LOAD_EXPERIMENT_H_
