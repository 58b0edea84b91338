#include "limpet/rollout/rollout_table.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>

#include "limpet/rollout/rollout_meter.h"
#include "limpet/traffic/target_gate.h"
#include "limpet/traffic/target_placement.h"

namespace limpet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
constexpr int kRequests = 2000;

RolloutOrder Order(const std::string& version) {
  return {"desk", version, seconds(30)};
}

RolloutStatus Status(const RolloutOrder& order, RolloutState state, double share) {
  RolloutStatus status;
  status.order = order.Id();
  status.target_version = order.target_version;
  status.state = state;
  status.share = share;
  status.sequence = 1;
  return status;
}

/// A node that knows old targets (`old-0` ...) and new ones (`new-0` ...).
struct Fixture {
  RolloutTable table{nullptr};
  TargetPlacement placement{PlacementOptions{}, "a", Random(1), &table};

  void AddTarget(const std::string& node, const std::string& version) {
    wire::TargetStatus status;
    status.instance = "i-" + node;
    status.service_name = "desk";
    status.state = wire::TargetState::kUp;
    status.slots = 8;
    status.software = version;
    placement.Update(kStart, node, "a", status);
    placement.SetReachable(node, true);
  }
  void AddTargets(int old_targets, int new_targets) {
    for (int i = 0; i < old_targets; ++i) {
      AddTarget("old-" + std::to_string(i), "v1");
    }
    for (int i = 0; i < new_targets; ++i) {
      AddTarget("new-" + std::to_string(i), "v2");
    }
  }
  /// Returns the share of the requests that are sent to new targets, or nothing if some are sent
  /// nowhere.
  std::optional<double> NewShare() {
    int sent_to_new = 0;
    for (int i = 0; i < kRequests; ++i) {
      PlacementRequest request{"desk", 0, milliseconds(400)};
      request.version_draw = placement.DrawVersion();
      const auto target = placement.Choose(kStart, request, {});
      if (!target) {
        return std::nullopt;
      }
      sent_to_new += target->node.starts_with("new") ? 1 : 0;
    }
    return static_cast<double>(sent_to_new) / kRequests;
  }
};

TEST_CASE_FIXTURE(Fixture, "without an order all versions are equivalent") {
  AddTargets(2, 2);
  CHECK(*NewShare() == doctest::Approx(0.5).epsilon(0.2));
}

// Guards against requests for a version before the holder has decided on its share.
TEST_CASE_FIXTURE(Fixture,
                  "after the order the new version gets nothing until the holder decides") {
  AddTargets(2, 2);
  table.SetOrder(kStart, Order("v2"));
  CHECK(*NewShare() == 0);
}

TEST_CASE_FIXTURE(Fixture, "each state gives the new version its share") {
  AddTargets(4, 4);
  const RolloutOrder order = Order("v2");
  table.SetOrder(kStart, order);
  table.SetStatus(kStart, "desk", Status(order, RolloutState::kRunning, 0.1));
  CHECK(*NewShare() == doctest::Approx(0.1).epsilon(0.25));
  table.SetStatus(kStart, "desk", Status(order, RolloutState::kClosing, 1));
  CHECK(*NewShare() == 1);
  CHECK(table.IsClosed("desk", "v1"));
  CHECK_FALSE(table.IsClosed("desk", "v2"));
  table.SetStatus(kStart, "desk", Status(order, RolloutState::kCompleted, 1));
  CHECK(*NewShare() == 1);
  table.SetStatus(kStart, "desk", Status(order, RolloutState::kRolledBack, 0));
  CHECK(*NewShare() == 0);
  CHECK(table.IsClosed("desk", "v2"));
  CHECK_FALSE(table.IsClosed("desk", "v1"));
}

// Guards against faults that show under load only: with a small share spread over all new targets,
// none of them gets the load of an old one.
TEST_CASE_FIXTURE(Fixture, "a small share goes to few new targets") {
  AddTargets(4, 4);
  const RolloutOrder order = Order("v2");
  table.SetOrder(kStart, order);
  table.SetStatus(kStart, "desk", Status(order, RolloutState::kRunning, 0.15));
  std::string node;
  for (int i = 0; i < kRequests; ++i) {
    PlacementRequest request{"desk", 0, milliseconds(400)};
    request.version_draw = 0;
    const auto target = placement.Choose(kStart, request, {});
    REQUIRE(target);
    CHECK(target->node.starts_with("new"));
    node = node.empty() ? target->node : node;
    CHECK(target->node == node);
  }
}

// Guards against a service without targets after the old ones were stopped too early.
TEST_CASE_FIXTURE(Fixture, "the new version is used if it is the only one") {
  AddTargets(0, 2);
  table.SetOrder(kStart, Order("v2"));
  CHECK(*NewShare() == 1);
}

TEST_CASE_FIXTURE(Fixture, "a rolled back version is not used though it is the only one") {
  AddTargets(0, 2);
  table.SetOrder(kStart, Order("v2"));
  table.SetStatus(kStart, "desk", Status(Order("v2"), RolloutState::kRolledBack, 0));
  CHECK_FALSE(NewShare().has_value());
}

// Guards against attempts of one request that draw the version several times, and against requests
// that go to the new version because the old targets are full.
TEST_CASE_FIXTURE(Fixture, "a request for the old version is not sent to the new one") {
  AddTargets(1, 1);
  const RolloutOrder order = Order("v2");
  table.SetOrder(kStart, order);
  table.SetStatus(kStart, "desk", Status(order, RolloutState::kRunning, 0.1));
  PlacementRequest request{"desk", 0, milliseconds(400)};
  request.version_draw = 0.5;
  CHECK_FALSE(placement.Choose(kStart, request, {"old-0"}).has_value());
  request.version_draw = 0.05;
  CHECK(placement.Choose(kStart, request, {"new-0"})->node == "old-0");
}

// Guards against a version whose roll-out was replaced and that then counts as an old one.
TEST_CASE_FIXTURE(Fixture, "a replaced version gets nothing, also after the next state") {
  AddTargets(2, 2);
  table.SetOrder(kStart, Order("v2"));
  table.SetStatus(kStart, "desk", Status(Order("v2"), RolloutState::kRunning, 0.5));
  table.SetOrder(kStart, Order("v3"));
  CHECK(*NewShare() == 0);
  RolloutStatus status = Status(Order("v3"), RolloutState::kRunning, 0.1);
  status.excluded_versions = {"v2"};
  table.SetStatus(kStart, "desk", status);
  CHECK(*NewShare() == 0);
  CHECK(table.IsClosed("desk", "v2"));
}

TEST_CASE("a restored store does not make a new order") {
  RolloutTable table{nullptr};
  CHECK(table.SetOrder(kStart, Order("v2")));
  CHECK_FALSE(table.SetOrder(kStart + seconds(9), Order("v2")));
  CHECK(table.OrderSeenAt("desk") == kStart);
}

// Guards against requests for a version whose order has not reached this node yet.
TEST_CASE("a later version is held back until all earlier orders are known") {
  std::optional<TimePoint> proof;
  RolloutTable table([&] { return proof; });
  const auto use = [&](TimePoint now) {
    table.OnVersion(now, "desk", "v2");
    return table.Use("desk", "v2");
  };
  table.OnVersion(kStart, "desk", "v1");
  proof = kStart;
  table.OnVersion(kStart, "desk", "v1");
  CHECK(table.Use("desk", "v1") == VersionUse::kOld);
  CHECK(use(kStart + seconds(5)) == VersionUse::kHeldBack);
  proof = kStart + seconds(4);
  CHECK(use(kStart + seconds(6)) == VersionUse::kHeldBack);
  proof = kStart + seconds(5);
  CHECK(use(kStart + seconds(6)) == VersionUse::kOld);
}

TEST_CASE("a version that was there at the first proof is used") {
  std::optional<TimePoint> proof;
  RolloutTable table([&] { return proof; });
  table.OnVersion(kStart, "desk", "v1");
  table.OnVersion(kStart, "desk", "v2");
  CHECK(table.Use("desk", "v1") == VersionUse::kOld);
  CHECK(table.Use("desk", "v2") == VersionUse::kHeldBack);
  proof = kStart - seconds(1);
  table.OnVersion(kStart + seconds(1), "desk", "v2");
  CHECK(table.Use("desk", "v2") == VersionUse::kOld);
}

struct GateFixture {
  TargetGate gate{TargetGateOptions{}};
  RolloutMeter meter;

  GateFixture() {
    TargetAnnouncement target;
    target.instance = "i-1";
    target.service = "desk";
    target.software = "v2";
    target.slots = 1;
    gate.SetTarget(kStart, &target);
    gate.set_on_sample([this](const TargetSample& sample) { meter.OnSample(sample); });
  }
  GateDecision Admit(const std::string& key) {
    GateCall call;
    call.key = key;
    call.request_id = key;
    call.service = "desk";
    call.instance = "i-1";
    call.route = "lots";
    call.typical_service_time = milliseconds(20);
    call.deadline = kStart + seconds(10);
    call.latency_target = kStart + seconds(10);
    return gate.Admit(kStart, call);
  }
};

// Guards against a completion while requests run, and against calls that a closed target accepts.
TEST_CASE_FIXTURE(GateFixture, "a closed gate refuses, and is closed once nothing runs") {
  CHECK(gate.Status(kStart).software == "v2");
  REQUIRE(Admit("running").verdict == GateVerdict::kStart);
  REQUIRE(Admit("queued").verdict == GateVerdict::kQueue);
  const auto events = gate.SetClosed(true);
  REQUIRE(events.size() == 1);
  CHECK_FALSE(events[0].starts);
  CHECK_FALSE(gate.HasClosed());
  const GateDecision refused = Admit("late");
  CHECK(refused.verdict == GateVerdict::kRefuse);
  CHECK(refused.outcome == wire::Outcome::kNotRun);
  gate.Finish(kStart + milliseconds(20), "running", TargetResult::kSucceeded);
  CHECK(gate.HasClosed());
  gate.SetClosed(false);
  CHECK(Admit("reopened").verdict == GateVerdict::kStart);
}

// Guards against results that are not counted: a slow version whose requests are cancelled after a
// response from another target looks perfect.
TEST_CASE_FIXTURE(GateFixture, "failures, slow responses and slow cancelled requests are bad") {
  meter.Start(1, "i-1");
  const auto finish = [&](const std::string& key, Duration duration, TargetResult result) {
    REQUIRE(Admit(key).verdict == GateVerdict::kStart);
    gate.Finish(kStart + duration, key, result);
  };
  finish("a", milliseconds(20), TargetResult::kSucceeded);
  finish("b", milliseconds(20), TargetResult::kFailed);
  finish("c", milliseconds(160), TargetResult::kSucceeded);
  finish("d", milliseconds(160), TargetResult::kCancelled);
  finish("e", milliseconds(20), TargetResult::kCancelled);
  finish("f", milliseconds(20), TargetResult::kNotExecuted);
  const auto results = meter.Results();
  REQUIRE(results.size() == 1);
  CHECK(results[0].requests == 4);
  CHECK(results[0].failures == 3);
  meter.Start(2, "i-1");
  CHECK(meter.Results().empty());
}

}  // namespace
}  // namespace limpet
