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

/// One kind of request; an experiment mixes several.
struct Workload {
  std::string name;
  std::string method = "GET";
  std::string path = "/";
  std::string caller;
  /// Relative weight in the mix.
  double share = 1.0;
  int body_bytes = 200;
  Duration deadline = std::chrono::seconds(1);
  /// A non-idempotent request is always sent on a new connection, and the audit checks that it was
  /// executed at most once.
  bool idempotent = true;
};

/// A period with a constant arrival rate.
struct Phase {
  std::string name;
  Duration length{0};
  /// Arrivals per second, for each arm.
  double rate = 0;
};

/// A request to the fault interface of a stand-in, sent at time `at` of the run.
struct FaultAction {
  std::string name;
  Duration at{0};
  HostPort stand_in;
  /// JSON body of `POST /faults`.
  std::string body;
};

/// A set of nodes that run one policy. All arms receive the same arrivals at the same times.
struct Arm {
  std::string name;
  std::vector<HostPort> nodes;
  /// Target stand-ins whose execution counts are read after the run.
  std::vector<HostPort> targets;
};

struct Experiment {
  std::string name;
  uint64_t seed = 1;
  /// Maximum number of requests in flight in each arm. Further arrivals wait for a free connection;
  /// the wait counts as latency.
  int connections = 64;
  std::vector<Workload> workloads;
  std::vector<Phase> phases;
  std::vector<FaultAction> faults;
  std::vector<Arm> arms;
};

/// Parses an experiment from INI text. `file` is used in error messages only. Throws `FileError`
/// with the line and the section or key at fault.
Experiment ParseExperiment(std::string_view text, const std::string& file);

}  // namespace limpet::load

#endif  // LIMPET_LOAD_EXPERIMENT_H_
