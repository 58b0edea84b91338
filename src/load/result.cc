#include "limpet/load/result.h"

#include <spdlog/fmt/fmt.h>
#include <nlohmann/json.hpp>

namespace limpet::load {
namespace {

constexpr int kFirstGoodStatus = 200;
constexpr int kFirstBadStatus = 300;

bool IsGood(const Observation& observation) {
  return observation.outcome == "ran" && !observation.crossed &&
         observation.http_status >= kFirstGoodStatus && observation.http_status < kFirstBadStatus;
}

std::string FailureKey(const Observation& observation) {
  if (observation.crossed) {
    return "crossed";
  }
  if (!observation.reason.empty()) {
    return observation.outcome + "/" + observation.reason;
  }
  return observation.outcome + "/" + std::to_string(observation.http_status);
}

void AuditRequest(const Workload& workload,
                  const Observation& observation,
                  uint64_t executions,
                  Audit& audit) {
  if (!workload.idempotent) {
    ++audit.non_idempotent;
    audit.doubled += executions > 1 ? 1 : 0;
  }
  audit.false_not_run += observation.outcome == "not_run" && executions > 0 ? 1 : 0;
  audit.lost += observation.outcome == "ran" && executions == 0 ? 1 : 0;
  audit.crossed += observation.crossed ? 1 : 0;
}

double ToMilliseconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

std::string JoinFailures(const std::map<std::string, uint64_t>& failures) {
  std::string text;
  for (const auto& [kind, count] : failures) {
    text += (text.empty() ? "" : " ") + kind + "=" + std::to_string(count);
  }
  return text.empty() ? "-" : text;
}

}  // namespace

double PhaseResult::Goodput() const {
  return length.count() == 0
             ? 0.0
             : static_cast<double>(good) * 1e6 / static_cast<double>(length.count());
}

ArmResult Summarise(const Experiment& experiment,
                    const Arm& arm,
                    const std::vector<Arrival>& schedule,
                    const std::vector<Observation>& observations,
                    const Executions& executions) {
  ArmResult result;
  result.arm = arm.name;
  for (const Phase& phase : experiment.phases) {
    result.phases.push_back({phase.name, phase.length, 0, 0, {}, {}});
  }
  for (std::size_t i = 0; i < schedule.size(); ++i) {
    PhaseResult& phase = result.phases[schedule[i].phase];
    const Observation& observation = observations[i];
    ++phase.sent;
    if (IsGood(observation)) {
      ++phase.good;
      phase.latency.Record(observation.latency);
    } else {
      ++phase.failures[FailureKey(observation)];
    }
    const auto executed = executions.find(schedule[i].request_id);
    AuditRequest(experiment.workloads[schedule[i].workload], observation,
                 executed == executions.end() ? 0 : executed->second, result.audit);
  }
  return result;
}

std::string RenderTable(const Experiment& experiment, const std::vector<ArmResult>& results) {
  std::string text = fmt::format("experiment {} seed {}\n", experiment.name, experiment.seed);
  text += fmt::format("{:<12} {:<14} {:>8} {:>10} {:>9} {:>9} {:>9}  {}\n", "arm", "phase", "sent",
                      "goodput/s", "p50 ms", "p99 ms", "max ms", "other results");
  for (const ArmResult& arm : results) {
    for (const PhaseResult& phase : arm.phases) {
      text += fmt::format("{:<12} {:<14} {:>8} {:>10.1f} {:>9.2f} {:>9.2f} {:>9.2f}  {}\n", arm.arm,
                          phase.phase, phase.sent, phase.Goodput(),
                          ToMilliseconds(phase.latency.Percentile(0.5)),
                          ToMilliseconds(phase.latency.Percentile(0.99)),
                          ToMilliseconds(phase.latency.max()), JoinFailures(phase.failures));
    }
  }
  for (const ArmResult& arm : results) {
    text += fmt::format(
        "{}: {} non-idempotent, {} executed repeatedly, {} false not_run, {} lost, {} crossed\n",
        arm.arm, arm.audit.non_idempotent, arm.audit.doubled, arm.audit.false_not_run,
        arm.audit.lost, arm.audit.crossed);
  }
  return text;
}

std::string RenderJson(const Experiment& experiment, const std::vector<ArmResult>& results) {
  nlohmann::json arms = nlohmann::json::array();
  for (const ArmResult& arm : results) {
    nlohmann::json phases = nlohmann::json::array();
    for (const PhaseResult& phase : arm.phases) {
      phases.push_back({{"phase", phase.phase},
                        {"seconds", static_cast<double>(phase.length.count()) / 1e6},
                        {"sent", phase.sent},
                        {"good", phase.good},
                        {"goodput_per_s", phase.Goodput()},
                        {"p50_us", phase.latency.Percentile(0.5).count()},
                        {"p99_us", phase.latency.Percentile(0.99).count()},
                        {"max_us", phase.latency.max().count()},
                        {"failures", phase.failures}});
    }
    arms.push_back({{"arm", arm.arm},
                    {"phases", phases},
                    {"non_idempotent", arm.audit.non_idempotent},
                    {"doubled", arm.audit.doubled},
                    {"false_not_run", arm.audit.false_not_run},
                    {"lost", arm.audit.lost},
                    {"crossed", arm.audit.crossed}});
  }
  const nlohmann::json document = {
      {"experiment", experiment.name}, {"seed", experiment.seed}, {"arms", arms}};
  return document.dump(2) + "\n";
}

std::string RenderPlot(const std::vector<ArmResult>& results, const std::string& png) {
  std::string script = "set terminal pngcairo size 1000,700\nset output '" + png +
                       "'\nset multiplot layout 2,1\nset style data linespoints\nset key outside\n";
  std::string goodput;
  std::string latency;
  for (std::size_t i = 0; i < results.size(); ++i) {
    script += fmt::format("$arm{} << EOD\n", i);
    for (const PhaseResult& phase : results[i].phases) {
      script += fmt::format("\"{}\" {:.1f} {:.3f} {:.3f}\n", phase.phase, phase.Goodput(),
                            ToMilliseconds(phase.latency.Percentile(0.5)),
                            ToMilliseconds(phase.latency.Percentile(0.99)));
    }
    script += "EOD\n";
    const char* separator = i == 0 ? "" : ", ";
    goodput += fmt::format("{}$arm{} using 0:2:xtic(1) title '{}'", separator, i, results[i].arm);
    latency +=
        fmt::format("{}$arm{} using 0:4:xtic(1) title '{} p99', $arm{} using 0:3 title '{} p50'",
                    separator, i, results[i].arm, i, results[i].arm);
  }
  script += "set ylabel 'goodput per s'\nplot " + goodput + "\nset ylabel 'latency ms'\nplot " +
            latency + "\nunset multiplot\n";
  return script;
}

}  // namespace limpet::load
