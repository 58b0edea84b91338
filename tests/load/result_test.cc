#include <doctest/doctest.h>

#include "limpet/load/result.h"
#include "limpet/load/schedule.h"

namespace limpet::load {
namespace {

using std::chrono::seconds;

Experiment MakeExperiment(bool idempotent) {
  Experiment experiment;
  experiment.workloads = {{}};
  experiment.workloads[0].idempotent = idempotent;
  experiment.phases = {{"steady", seconds(10), 100}};
  experiment.arms = {{"only", {}, {}}};
  return experiment;
}

ArmResult SummariseOne(const Experiment& experiment,
                       const std::string& outcome,
                       uint64_t executed) {
  const std::vector<Arrival> schedule = {{Duration(0), 0, 0, "id"}};
  Observation observation;
  observation.outcome = outcome;
  observation.http_status = outcome == "ran" ? 200 : 503;
  return Summarise(experiment, experiment.arms[0], schedule, {observation}, {{"id", executed}});
}

TEST_CASE("the schedule has the configured rate and depends only on the experiment") {
  const Experiment experiment = MakeExperiment(true);
  const auto first = MakeSchedule(experiment);
  const auto second = MakeSchedule(experiment);
  REQUIRE(first.size() == second.size());
  CHECK(first.front().request_id == second.front().request_id);
  CHECK(first.size() > 850);
  CHECK(first.size() < 1150);
}

TEST_CASE("only a non-idempotent request that was executed twice is counted as doubled") {
  CHECK(SummariseOne(MakeExperiment(false), "ran", 2).audit.doubled == 1);
  CHECK(SummariseOne(MakeExperiment(false), "ran", 1).audit.doubled == 0);
  CHECK(SummariseOne(MakeExperiment(true), "ran", 2).audit.doubled == 0);
}

TEST_CASE("a not_run response to a request that was executed is counted as false_not_run") {
  CHECK(SummariseOne(MakeExperiment(true), "not_run", 1).audit.false_not_run == 1);
  CHECK(SummariseOne(MakeExperiment(true), "not_run", 0).audit.false_not_run == 0);
}

TEST_CASE("a ran response without an execution is counted as lost") {
  CHECK(SummariseOne(MakeExperiment(true), "ran", 0).audit.lost == 1);
}

TEST_CASE("only responses with the outcome ran count as goodput") {
  CHECK(SummariseOne(MakeExperiment(true), "ran", 1).phases[0].good == 1);
  const ArmResult refused = SummariseOne(MakeExperiment(true), "not_run", 0);
  CHECK(refused.phases[0].good == 0);
  CHECK(refused.phases[0].failures.at("not_run/503") == 1);
}

}  // namespace
}  // namespace limpet::load
