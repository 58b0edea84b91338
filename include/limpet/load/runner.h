#ifndef LIMPET_LOAD_RUNNER_H_
#define LIMPET_LOAD_RUNNER_H_

#include <functional>
#include <string>
#include <vector>

#include "limpet/load/experiment.h"
#include "limpet/load/result.h"

namespace limpet::load {

/// Receives a progress line about once a second and a line for each injected fault.
using ProgressSink = std::function<void(const std::string& line)>;

/// Runs an experiment against running nodes: sends open-loop arrivals from threads, injects faults
/// at their times and then reads the execution counts of the targets. Blocks until the end. Throws
/// `Error` if a stand-in refuses a fault action or its executions cannot be read.
std::vector<ArmResult> Run(const Experiment& experiment, const ProgressSink& progress);

}  // namespace limpet::load

#endif  // LIMPET_LOAD_RUNNER_H_
