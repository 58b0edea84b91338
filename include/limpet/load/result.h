#ifndef LIMPET_LOAD_RESULT_H_
#define LIMPET_LOAD_RESULT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "limpet/core/histogram.h"
#include "limpet/load/experiment.h"
#include "limpet/load/schedule.h"

namespace limpet::load {

/// Result of one request as seen by the caller.
struct Observation {
  /// Time from the planned arrival to the end of the response.
  Duration latency{0};
  /// HTTP status; 0 if no response was received.
  int http_status = 0;
  /// `ran`, `not_run` or `unknown` as reported by the node; "error" if there was no valid response.
  std::string outcome;
  /// Refusal reason reported by the node, "no_answer" if no response was received, or empty.
  std::string reason;
  /// True if the response does not contain the id of its request.
  bool crossed = false;
};

struct PhaseResult {
  std::string phase;
  Duration length{0};
  uint64_t sent = 0;
  uint64_t good = 0;
  /// Latency of good responses: 2xx with outcome `ran`, not `crossed`.
  Histogram latency;
  /// Number of other results by "outcome/reason", "outcome/status" without a reason, or "crossed".
  std::map<std::string, uint64_t> failures;

  /// Good responses per second.
  double Goodput() const;
};

/// Comparison of the executions at the targets with the outcomes reported to callers.
struct Audit {
  uint64_t non_idempotent = 0;
  /// Non-idempotent requests that were executed more than once.
  uint64_t doubled = 0;
  /// Requests reported as `not_run` that were executed.
  uint64_t false_not_run = 0;
  /// Requests reported as `ran` that no target executed.
  uint64_t lost = 0;
  uint64_t crossed = 0;
};

struct ArmResult {
  std::string arm;
  std::vector<PhaseResult> phases;
  Audit audit;
};

/// Number of executions by request id.
using Executions = std::map<std::string, uint64_t>;

/// Summarises the observations of one arm. `observations[i]` belongs to `schedule[i]`.
ArmResult Summarise(const Experiment& experiment,
                    const Arm& arm,
                    const std::vector<Arrival>& schedule,
                    const std::vector<Observation>& observations,
                    const Executions& executions);

/// Returns a plain-text table with one row for each arm and phase, and one audit line for each arm.
std::string RenderTable(const Experiment& experiment, const std::vector<ArmResult>& results);
std::string RenderJson(const Experiment& experiment, const std::vector<ArmResult>& results);
/// Returns a gnuplot script that plots goodput and latency percentiles by phase and arm into the
/// file `png`.
std::string RenderPlot(const std::vector<ArmResult>& results, const std::string& png);

}  // namespace limpet::load

#endif  // LIMPET_LOAD_RESULT_H_
