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

/// What the caller saw of one request.
struct Observation {
  /// From the planned arrival to the whole answer.
  Duration latency{0};
  /// HTTP status; 0 when no answer arrived.
  int http_status = 0;
  /// `ran`, `not_run` or `unknown` as the node said; "error" when there was no valid answer.
  std::string outcome;
  /// Refusal reason as the node said; empty if there is none.
  std::string reason;
  /// True when the answer does not carry the identity of its own request.
  bool crossed = false;
};

struct PhaseResult {
  std::string phase;
  Duration length{0};
  uint64_t sent = 0;
  uint64_t good = 0;
  /// Latency of good answers.
  Histogram latency;
  /// Answers other than good ones, by "outcome/reason".
  std::map<std::string, uint64_t> failures;

  /// Good answers per second.
  double Goodput() const;
};

/// Executions at the targets compared with what callers were told.
struct Audit {
  uint64_t non_idempotent = 0;
  /// Non-idempotent requests that ran more than once.
  uint64_t doubled = 0;
  /// Requests reported as `not_run` that ran.
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

/// Executions by request id.
using Executions = std::map<std::string, uint64_t>;

/// Summarises the observations of one arm, which stand in the order of the schedule.
ArmResult Summarise(const Experiment& experiment,
                    const Arm& arm,
                    const std::vector<Arrival>& schedule,
                    const std::vector<Observation>& observations,
                    const Executions& executions);

/// Plain-text table, one row for each phase and arm.
std::string RenderTable(const Experiment& experiment, const std::vector<ArmResult>& results);
std::string RenderJson(const Experiment& experiment, const std::vector<ArmResult>& results);
/// A gnuplot script that draws goodput and latency percentiles for each phase and arm into `png`.
std::string RenderPlot(const std::vector<ArmResult>& results, const std::string& png);

}  // namespace limpet::load

#endif  // LIMPET_LOAD_RESULT_H_
