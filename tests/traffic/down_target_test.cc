#include <doctest/doctest.h>

#include <string>

#include "limpet/traffic/target_gate.h"
#include "limpet/traffic/target_placement.h"

namespace limpet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
constexpr Duration kCallInterval = milliseconds(50);
/// Longest time until a sound target is used again while callers ask.
constexpr Duration kMaxRecovery = seconds(2);

/// The gate of a target and the placement of a node that gets the gate's status at once.
struct Fixture {
  TargetGate gate{TargetGateOptions{}};
  TargetPlacement placement{PlacementOptions{}, "a", Random(1)};
  TimePoint now = kStart;
  int calls = 0;

  Fixture() {
    TargetAnnouncement target;
    target.instance = "i-1";
    target.service = "desk";
    target.slots = 4;
    gate.SetTarget(now, &target);
    placement.SetReachable("node-1", true);
  }
  /// Makes one call and returns whether it reached the target.
  bool Call(TargetResult result) {
    now += kCallInterval;
    placement.Update(now, "node-1", "a", gate.Status(now));
    if (!placement.Choose(now, {"desk", 0, milliseconds(400)}, {})) {
      return false;
    }
    GateCall call;
    call.key = std::to_string(++calls);
    call.request_id = "request-" + call.key;
    call.service = "desk";
    call.instance = "i-1";
    call.route = "lots";
    call.idempotent = true;
    call.deadline = now + seconds(1);
    call.latency_target = now + milliseconds(400);
    if (gate.Admit(now, call).verdict != GateVerdict::kStart) {
      return false;
    }
    gate.Finish(now + milliseconds(10), call.key, result);
    return true;
  }
};

// Guards against a target that is never used again after three responses were lost, though it is
// sound: the state "down" keeps away the requests that would end it.
TEST_CASE_FIXTURE(Fixture, "a target that failed three times is used again while callers ask") {
  for (int failure = 0; failure < 3; ++failure) {
    REQUIRE(Call(TargetResult::kNoValidResponse));
  }
  bool used = false;
  while (!used && now < kStart + kMaxRecovery) {
    used = Call(TargetResult::kSucceeded);
  }
  CHECK(used);
}

}  // namespace
}  // namespace limpet
