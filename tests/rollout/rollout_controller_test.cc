#include "limpet/rollout/rollout_controller.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "limpet/core/random.h"

namespace limpet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
constexpr Duration kTick = milliseconds(10);
constexpr Duration kReportInterval = milliseconds(250);
/// Time until all nodes apply a published state.
constexpr Duration kPropagation = milliseconds(150);
constexpr Duration kDrainTime = milliseconds(200);
constexpr double kMeanUs = 20'000;
constexpr double kSlowFactor = 8;
/// A response that takes longer than this many times the typical one counts as bad.
constexpr double kBadFactor = 4;
/// Bounds of the users' platform.
constexpr double kExposureShare = 0.1;
constexpr double kExposureSlack = 50;
constexpr Duration kRollbackTime = seconds(5);
constexpr int kBadUntilRollback = 50;

/// How the new version behaves. `failing` and `slow` are shares of its responses.
struct Scenario {
  double rate = 100;
  double duration_s = 30;
  int old_targets = 4;
  int new_targets = 4;
  double baseline_failures = 0.01;
  double failing = 0;
  double slow = 0;
  /// Progress of the order from which on the version is bad.
  double bad_from = 0;
  /// The version is bad only if a target gets at least this many times the requests that an old one
  /// got before the roll-out.
  double bad_from_load = 0;
  /// The version is bad on this route only; empty for all.
  std::string bad_route;
};

struct Outcome {
  RolloutState state = RolloutState::kRunning;
  std::string reason;
  int64_t requests = 0;
  int64_t new_requests = 0;
  int bad = 0;
  Duration bound_reached{0};
  Duration last_new_request{0};
  Duration decided{0};
};

/// A service whose old and new targets get requests by the share that the nodes apply, and report
/// to the holder of the lease.
class Simulation {
 public:
  Simulation(Scenario scenario, uint64_t seed)
      : scenario_(std::move(scenario)),
        random_(seed),
        order_{"desk", "v2", Duration(static_cast<int64_t>(scenario_.duration_s * 1e6))},
        controller_(std::make_unique<RolloutController>(RolloutOptions{}, order_, kStart)) {
    for (int i = 0; i < scenario_.old_targets + scenario_.new_targets; ++i) {
      targets_.push_back({"n" + std::to_string(i), i >= scenario_.old_targets, {}});
    }
  }

  /// Nothing is decided or reported from `from` to `to`.
  void PauseHolder(Duration from, Duration to) { pauses_.emplace_back(from, to); }
  /// At this time another node takes over from what was published.
  void ReplaceHolder(Duration at) { replace_at_ = at; }

  Outcome Run() {
    const TimePoint end = kStart + order_.duration;
    for (now_ = kStart; now_ < end; now_ += kTick) {
      Replace();
      ApplyStates();
      SendRequests();
      const bool reports_due = (now_ - kStart) % kReportInterval < kTick;
      if (reports_due && !IsPaused()) {
        SendReports();
      }
      if (!IsPaused()) {
        Decide();
      }
    }
    outcome_.state = applied_.state;
    outcome_.reason = controller_->reason();
    return outcome_;
  }

 private:
  struct Target {
    std::string node;
    bool is_new = false;
    std::map<std::string, RolloutCounts> counts;
  };

  bool IsPaused() const {
    return std::ranges::any_of(pauses_, [&](const auto& pause) {
      return now_ - kStart >= pause.first && now_ - kStart < pause.second;
    });
  }
  void Replace() {
    if (replace_at_ == Duration(0) || now_ - kStart < replace_at_) {
      return;
    }
    replace_at_ = Duration(0);
    // The successor sees the order a second later than the first holder.
    controller_ =
        std::make_unique<RolloutController>(RolloutOptions{}, order_, kStart + seconds(1));
    RolloutStatus status = published_.empty() ? applied_ : published_.back().second;
    status.elapsed += now_ - published_at_;
    controller_->Resume(now_, status);
  }
  void ApplyStates() {
    while (!published_.empty() && now_ >= published_.front().first + kPropagation) {
      if (applied_.state != published_.front().second.state) {
        state_since_ = now_;
      }
      applied_ = published_.front().second;
      published_.erase(published_.begin());
    }
  }
  void SendRequests() {
    due_ += scenario_.rate * std::chrono::duration<double>(kTick).count();
    for (; due_ >= 1; due_ -= 1) {
      ++outcome_.requests;
      const bool is_new = random_.NextFraction() < applied_.share;
      const std::string route = random_.NextFraction() < 0.7 ? "a" : "b";
      const int offset = is_new ? scenario_.old_targets : 0;
      const int count = is_new ? scenario_.new_targets : scenario_.old_targets;
      Target& target = targets_.at(static_cast<std::size_t>(offset) +
                                   random_.NextBelow(static_cast<uint64_t>(count)));
      const auto [failed, time_us] = Result(is_new, route);
      const bool bad = failed || time_us > kBadFactor * kMeanUs;
      RolloutCounts& counts = target.counts[route];
      ++counts.requests;
      counts.bad += bad ? 1 : 0;
      counts.service_time_us += time_us;
      if (is_new) {
        ++outcome_.new_requests;
        outcome_.last_new_request = now_ - kStart;
        outcome_.bad += is_bad_ ? 1 : 0;
        if (outcome_.bad == kBadUntilRollback && outcome_.bound_reached == Duration(0)) {
          outcome_.bound_reached = now_ - kStart;
        }
      }
    }
  }
  /// Returns whether the request fails, and its service time. Sets `is_bad_`.
  std::pair<bool, double> Result(bool is_new, const std::string& route) {
    is_bad_ = false;
    double time_us = kMeanUs * (0.3 - 0.7 * std::log(1 - random_.NextFraction()));
    const double load = applied_.share * scenario_.old_targets / scenario_.new_targets;
    const double progress = std::chrono::duration<double>(now_ - kStart) /
                            std::chrono::duration<double>(order_.duration);
    if (is_new && progress >= scenario_.bad_from && load >= scenario_.bad_from_load &&
        (scenario_.bad_route.empty() || scenario_.bad_route == route)) {
      const bool slow = random_.NextFraction() < scenario_.slow;
      time_us *= slow ? kSlowFactor : 1;
      const bool failed = random_.NextFraction() < scenario_.failing;
      is_bad_ = slow || failed;
      if (failed) {
        return {true, time_us};
      }
    }
    return {random_.NextFraction() < scenario_.baseline_failures, time_us};
  }
  void SendReports() {
    for (const Target& target : targets_) {
      wire::RolloutReport report;
      report.service_name = "desk";
      report.instance = "i-" + target.node;
      report.software = target.is_new ? "v2" : "v1";
      report.order = order_.Id();
      report.applied_sequence = applied_.sequence;
      report.closed = !target.is_new && applied_.state == RolloutState::kClosing &&
                      now_ - state_since_ >= kDrainTime;
      for (const auto& [route, counts] : target.counts) {
        wire::RolloutRouteResults results;
        results.route = route;
        results.requests = counts.requests;
        results.failures = counts.bad;
        results.service_time_us = static_cast<int64_t>(counts.service_time_us);
        report.routes.push_back(results);
      }
      controller_->OnReport(now_, target.node, report);
    }
  }
  void Decide() {
    if (const auto status = controller_->Decide(now_)) {
      published_.emplace_back(now_, *status);
      published_at_ = now_;
    }
    if (const auto state = controller_->StateToWrite()) {
      if (*state != RolloutState::kRunning) {
        outcome_.decided = now_ - kStart;
      }
      controller_->OnWritten(*state);
    }
  }

  Scenario scenario_;
  Random random_;
  RolloutOrder order_;
  std::unique_ptr<RolloutController> controller_;
  std::vector<Target> targets_;
  std::vector<std::pair<Duration, Duration>> pauses_;
  Duration replace_at_{0};
  TimePoint now_ = kStart;
  std::vector<std::pair<TimePoint, RolloutStatus>> published_;
  TimePoint published_at_ = kStart;
  RolloutStatus applied_;
  TimePoint state_since_{};
  double due_ = 0;
  bool is_bad_ = false;
  Outcome outcome_;
};

void CheckRolledBack(const Outcome& outcome) {
  CAPTURE(outcome.reason);
  CAPTURE(outcome.requests);
  CAPTURE(outcome.new_requests);
  CAPTURE(outcome.bad);
  CHECK(outcome.state == RolloutState::kRolledBack);
  const double bound = kExposureShare * static_cast<double>(outcome.requests) + kExposureSlack;
  CHECK(static_cast<double>(outcome.new_requests) <= bound);
  if (outcome.bound_reached > Duration(0)) {
    CHECK(outcome.last_new_request <= outcome.bound_reached + kRollbackTime);
  }
}

void CheckCompleted(const Outcome& outcome) {
  CAPTURE(outcome.reason);
  CAPTURE(outcome.decided.count());
  CHECK(outcome.state == RolloutState::kCompleted);
}

constexpr double kRates[] = {10, 50, 200};
constexpr double kDurations[] = {12, 30, 90};
/// With fewer requests in the whole roll-out, a third of bad responses is no evidence yet when the
/// roll-out has to be completed.
constexpr double kMinRequests = 250;
constexpr uint64_t kSeeds = 4;

template <typename Check>
void ForAll(Scenario scenario, Check check) {
  for (const double rate : kRates) {
    for (const double duration_s : kDurations) {
      if (rate * duration_s < kMinRequests) {
        continue;
      }
      for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
        CAPTURE(rate);
        CAPTURE(duration_s);
        CAPTURE(seed);
        scenario.rate = rate;
        scenario.duration_s = duration_s;
        check(scenario, seed);
      }
    }
  }
}

void ExpectRolledBack(const Scenario& scenario) {
  ForAll(scenario,
         [](const Scenario& s, uint64_t seed) { CheckRolledBack(Simulation(s, seed).Run()); });
}

void ExpectCompleted(const Scenario& scenario) {
  ForAll(scenario,
         [](const Scenario& s, uint64_t seed) { CheckCompleted(Simulation(s, seed).Run()); });
}

// Guards against a good version that is rolled back or not completed in time.
TEST_CASE("a good version is completed by the deadline") {
  ExpectCompleted({});
}

TEST_CASE("a good version is completed though both versions fail often") {
  ExpectCompleted({.baseline_failures = 0.15});
}

TEST_CASE("a good version with fewer targets than the old one is completed") {
  ExpectCompleted({.old_targets = 4, .new_targets = 3});
}

// The bad versions. Each guards against an exposure beyond the bound and a late rollback.
TEST_CASE("bad version: all responses are errors at once") {
  ExpectRolledBack({.failing = 1});
}

TEST_CASE("bad version: a third of the responses are errors") {
  ExpectRolledBack({.failing = 0.33});
}

TEST_CASE("bad version: all responses are eight times slower") {
  ExpectRolledBack({.slow = 1});
}

TEST_CASE("bad version: a third of the responses are eight times slower") {
  ExpectRolledBack({.slow = 0.33});
}

TEST_CASE("bad version: errors begin late") {
  for (const double bad_from : {0.1, 0.3, 0.5, 0.62, 0.7, 0.74}) {
    CAPTURE(bad_from);
    ExpectRolledBack({.failing = 0.4, .bad_from = bad_from});
  }
}

TEST_CASE("bad version: slow responses begin late") {
  for (const double bad_from : {0.1, 0.5, 0.7}) {
    CAPTURE(bad_from);
    ExpectRolledBack({.slow = 0.5, .bad_from = bad_from});
  }
}

TEST_CASE("bad version: errors under load only") {
  for (const double load : {0.2, 0.5, 0.9}) {
    CAPTURE(load);
    ExpectRolledBack({.failing = 0.4, .bad_from_load = load});
  }
}

TEST_CASE("bad version: one route only") {
  ExpectRolledBack({.failing = 0.4, .bad_route = "b"});
  ExpectRolledBack({.slow = 0.5, .bad_route = "b"});
}

// Guards against a roll-out that takes capacity away: one new target cannot replace four.
TEST_CASE("a version with too few targets is rolled back at the deadline") {
  ExpectRolledBack({.old_targets = 4, .new_targets = 1});
}

// Guards against verdicts that depend on an undisturbed holder.
TEST_CASE("a holder that pauses for a second completes a good version and rolls back a bad one") {
  ForAll({}, [](const Scenario& s, uint64_t seed) {
    Simulation simulation(s, seed);
    simulation.PauseHolder(seconds(4), seconds(5));
    CheckCompleted(simulation.Run());
  });
  ForAll({.failing = 0.4}, [](const Scenario& s, uint64_t seed) {
    Simulation simulation(s, seed);
    simulation.PauseHolder(seconds(1), seconds(2));
    CheckRolledBack(simulation.Run());
  });
}

TEST_CASE("a successor continues the roll-out") {
  for (const double progress : {0.2, 0.5, 0.7, 0.78}) {
    CAPTURE(progress);
    ForAll({}, [&](const Scenario& s, uint64_t seed) {
      Simulation simulation(s, seed);
      simulation.ReplaceHolder(Duration(static_cast<int64_t>(s.duration_s * 1e6 * progress)));
      CheckCompleted(simulation.Run());
    });
    ForAll({.failing = 0.4, .bad_from = 0.3}, [&](const Scenario& s, uint64_t seed) {
      Simulation simulation(s, seed);
      simulation.ReplaceHolder(Duration(static_cast<int64_t>(s.duration_s * 1e6 * progress)));
      CheckRolledBack(simulation.Run());
    });
  }
}

RolloutOrder Order(const std::string& version, double duration_s = 30) {
  return {"desk", version, Duration(static_cast<int64_t>(duration_s * 1e6))};
}

wire::RolloutReport Report(const RolloutController& controller,
                           const std::string& software,
                           int64_t requests,
                           int64_t failures,
                           bool closed = false) {
  wire::RolloutReport report;
  report.service_name = "desk";
  report.instance = "i-" + software;
  report.software = software;
  report.order = controller.order().Id();
  report.applied_sequence = controller.status().sequence;
  report.closed = closed;
  wire::RolloutRouteResults results;
  results.route = "a";
  results.requests = requests;
  results.failures = failures;
  results.service_time_us = requests * 20'000;
  report.routes = {results};
  return report;
}

/// Reports of a target all of whose responses are errors.
void ReportErrors(RolloutController& controller) {
  for (int requests = 2; requests <= 10; requests += 2) {
    controller.OnReport(kStart, "n2", Report(controller, "v2", requests, requests));
  }
}

// Guards against the rollback of a good version because the VM of one target paused, which makes
// all its open requests slow at once.
TEST_CASE("a burst of slow responses of one target is no fault of the version") {
  RolloutController controller({}, Order("v2"), kStart);
  controller.OnReport(kStart, "n1", Report(controller, "v1", 200, 1));
  controller.OnReport(kStart, "n2", Report(controller, "v2", 5, 0));
  wire::RolloutReport burst = Report(controller, "v2", 17, 12);
  burst.routes[0].service_time_us = 5 * 20'000 + 12 * 200'000;
  controller.OnReport(kStart + milliseconds(250), "n2", burst);
  controller.Decide(kStart + milliseconds(300));
  CHECK(controller.status().state == RolloutState::kRunning);
}

// Guards against a verdict that changes back: after a rollback the version looks good, because it
// gets no requests.
TEST_CASE("a verdict never changes back") {
  RolloutController controller({}, Order("v2"), kStart);
  controller.OnReport(kStart, "n1", Report(controller, "v1", 100, 0));
  ReportErrors(controller);
  controller.Decide(kStart);
  REQUIRE(controller.status().state == RolloutState::kRolledBack);
  CHECK(controller.StateToWrite() == RolloutState::kRolledBack);
  controller.OnReport(kStart, "n2", Report(controller, "v2", 100'000, 10));
  for (TimePoint now = kStart; now < kStart + seconds(40); now += milliseconds(50)) {
    controller.Decide(now);
  }
  CHECK(controller.status().state == RolloutState::kRolledBack);

  RolloutController successor({}, Order("v2"), kStart + seconds(40));
  successor.Resume(kStart + seconds(40), controller.status());
  successor.Decide(kStart + seconds(41));
  CHECK(successor.status().state == RolloutState::kRolledBack);
  CHECK(successor.status().sequence > controller.status().sequence);
}

// Guards against a holder that rolls back after `completed` may have reached the operator, who has
// stopped the old targets then.
TEST_CASE("no rollback once the completion may have been written") {
  RolloutController controller({}, Order("v2", 10), kStart);
  TimePoint now = kStart;
  while (controller.StateToWrite() != RolloutState::kCompleted && now < kStart + seconds(10)) {
    now += milliseconds(50);
    const bool closing = controller.status().state == RolloutState::kClosing;
    controller.OnReport(now, "n1", Report(controller, "v1", 100, 0, closing));
    controller.OnReport(now, "n2", Report(controller, "v2", 10, 0));
    controller.Decide(now);
  }
  REQUIRE(controller.StateToWrite() == RolloutState::kCompleted);
  CHECK(controller.status().state == RolloutState::kClosing);
  controller.OnReport(now, "n2", Report(controller, "v2", 1000, 900));
  controller.Decide(now);
  CHECK(controller.StateToWrite() == RolloutState::kCompleted);
  controller.OnWritten(RolloutState::kCompleted);
  CHECK(controller.Decide(now)->state == RolloutState::kCompleted);
  CHECK_FALSE(controller.StateToWrite().has_value());
}

// Guards against a completion while an old target may still run requests.
TEST_CASE("an old target that is not closed prevents the completion") {
  RolloutController controller({}, Order("v2", 10), kStart);
  for (TimePoint now = kStart; now < kStart + seconds(60); now += milliseconds(50)) {
    controller.OnReport(now, "n1", Report(controller, "v1", 100, 0, false));
    controller.OnReport(now, "n2", Report(controller, "v2", 10, 0));
    controller.Decide(now);
    REQUIRE(controller.StateToWrite() != RolloutState::kCompleted);
  }
  CHECK(controller.status().state == RolloutState::kClosing);
}

TEST_CASE("a second order replaces the first, and a version that was rolled back stays excluded") {
  RolloutController first({}, Order("v2"), kStart);
  first.OnReport(kStart, "n1", Report(first, "v1", 100, 0));
  ReportErrors(first);
  first.Decide(kStart);
  REQUIRE(first.status().state == RolloutState::kRolledBack);

  RolloutController second({}, Order("v3"), kStart);
  second.Resume(kStart, first.status());
  second.Decide(kStart);
  CHECK(second.status().state == RolloutState::kRunning);
  CHECK(second.status().excluded_versions == std::vector<std::string>{"v2"});

  RolloutController third({}, Order("v2", 60), kStart);
  third.Resume(kStart, second.status());
  third.Decide(kStart);
  CHECK(third.status().state == RolloutState::kRolledBack);
}

// Guards against a restored store that restarts a roll-out: its offsets are new, its content is
// not.
TEST_CASE("the same order read from a restored store is the same order") {
  CHECK(Order("v2").Id() == Order("v2").Id());
  CHECK(Order("v2").Id() != Order("v3").Id());
  CHECK(Order("v2").Id() != Order("v2", 31).Id());
  CHECK(DecodeRolloutOrder(EncodeRolloutOrder(Order("v2"))) == Order("v2"));
}

// Guards against a successor that takes up a roll-out which its predecessor has completed, if the
// last push of the state was lost.
TEST_CASE("a successor takes the verdict from the record in the store") {
  RolloutController controller({}, Order("v2"), kStart);
  controller.OnStoredState("v1", RolloutState::kRolledBack);
  CHECK(controller.status().state == RolloutState::kRunning);
  controller.OnStoredState("v2", RolloutState::kCompleted);
  CHECK(controller.Decide(kStart)->state == RolloutState::kCompleted);
  CHECK_FALSE(controller.StateToWrite().has_value());
}

TEST_CASE("reports of another order are ignored") {
  RolloutController controller({}, Order("v2"), kStart);
  wire::RolloutReport report = Report(controller, "v2", 100, 100);
  report.order = Order("v3").Id();
  controller.OnReport(kStart, "n2", report);
  CHECK(controller.new_requests() == 0);
}

}  // namespace
}  // namespace limpet
