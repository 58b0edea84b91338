#include <doctest/doctest.h>

#include "limpet/load/result.h"
#include "limpet/load/schedule.h"

namespace limpet::load {
namespace {

using std::chrono::seconds;

Experiment OneWorkload(bool idempotent) {
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

TEST_CASE("the schedule follows the rate and depends only on the seed") {
  const Experiment experiment = OneWorkload(true);
  const auto first = MakeSchedule(experiment);
  const auto second = MakeSchedule(experiment);
  REQUIRE(first.size() == second.size());
  CHECK(first.front().request_id == second.front().request_id);
  CHECK(first.size() > 850);
  CHECK(first.size() < 1150);
}

TEST_CASE("a non-idempotent request that ran twice is counted as doubled") {
  CHECK(SummariseOne(OneWorkload(false), "ran", 2).audit.doubled == 1);
  CHECK(SummariseOne(OneWorkload(false), "ran", 1).audit.doubled == 0);
  CHECK(SummariseOne(OneWorkload(true), "ran", 2).audit.doubled == 0);
}

TEST_CASE("a not_run answer for a request that ran is counted as false") {
  CHECK(SummariseOne(OneWorkload(true), "not_run", 1).audit.false_not_run == 1);
  CHECK(SummariseOne(OneWorkload(true), "not_run", 0).audit.false_not_run == 0);
}

TEST_CASE("a ran answer without an execution is counted as lost") {
  CHECK(SummariseOne(OneWorkload(true), "ran", 0).audit.lost == 1);
}

TEST_CASE("only answers that ran count as goodput") {
  CHECK(SummariseOne(OneWorkload(true), "ran", 1).phases[0].good == 1);
  const ArmResult refused = SummariseOne(OneWorkload(true), "not_run", 0);
  CHECK(refused.phases[0].good == 0);
  CHECK(refused.phases[0].failures.at("not_run/503") == 1);
}

}  // namespace
}  // namespace limpet::load
