#ifndef LIMPET_LOAD_RUNNER_H_
#define LIMPET_LOAD_RUNNER_H_

#include <functional>
#include <string>
#include <vector>

#include "limpet/load/experiment.h"
#include "limpet/load/result.h"

namespace limpet::load {

/// Called about once a second with a line that says how far the run is.
using ProgressSink = std::function<void(const std::string& line)>;

/// Runs an experiment against real nodes: open-loop arrivals on threads, faults injected on time,
/// executions collected at the targets afterwards. Blocks until the end. Throws `Error` if a
/// stand-in does not take a fault action or does not report its executions.
std::vector<ArmResult> Run(const Experiment& experiment, const ProgressSink& progress);

}  // namespace limpet::load

#endif  // LIMPET_LOAD_RUNNER_H_
