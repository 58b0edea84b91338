#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <map>
#include <string>
#include <vector>

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

/// Two targets of one service and the placements of several nodes, which learn of the state of a
/// target from its replies and when that state changes.
struct SeveralNodes {
  static constexpr int kNodes = 5;

  struct Target {
    std::string node;
    TargetGate gate{TargetGateOptions{}, Random(7)};
    bool sound = true;
    /// Requests that run at the target; each takes `kRunTime`.
    std::map<std::string, TimePoint> running;
    wire::TargetState::type reported = wire::TargetState::kUp;
    int arrivals = 0;
  };

  static constexpr Duration kRunTime = milliseconds(30);

  std::array<Target, 2> targets;
  std::vector<TargetPlacement> placements;
  TimePoint now = kStart;
  int calls = 0;
  /// Largest number of requests that ran at once at a target that is down.
  std::size_t max_trials = 0;

  SeveralNodes() {
    for (int i = 0; i < kNodes; ++i) {
      placements.emplace_back(PlacementOptions{}, "a", Random(i + 1));
    }
    for (std::size_t i = 0; i < targets.size(); ++i) {
      targets[i].node = "node-" + std::to_string(i);
      TargetAnnouncement announcement;
      announcement.instance = "i-" + targets[i].node;
      announcement.service = "desk";
      announcement.slots = 4;
      targets[i].gate.SetTarget(now, &announcement);
      for (TargetPlacement& placement : placements) {
        placement.SetReachable(targets[i].node, true);
        placement.Update(now, targets[i].node, "a", targets[i].gate.Status(now));
      }
    }
  }

  Target& Find(const std::string& node) { return targets[node == targets[0].node ? 0 : 1]; }

  /// Ends the requests that have run and reports changes of state.
  void Step() {
    now += milliseconds(5);
    for (Target& target : targets) {
      std::vector<std::string> done;
      for (const auto& [key, started] : target.running) {
        if (now - started >= kRunTime) {
          done.push_back(key);
        }
      }
      for (const std::string& key : done) {
        target.running.erase(key);
        target.gate.Finish(
            now, key, target.sound ? TargetResult::kSucceeded : TargetResult::kNoValidResponse);
      }
      const wire::TargetStatus status = target.gate.Status(now);
      if (status.state != target.reported) {
        target.reported = status.state;
        for (TargetPlacement& placement : placements) {
          placement.Update(now, target.node, "a", status);
        }
      }
    }
  }

  /// Sends a request from each node. Returns the number that a target took.
  int CallFromAll(bool may_be_trial) {
    int taken = 0;
    for (TargetPlacement& placement : placements) {
      PlacementRequest request{"desk", 0, milliseconds(400)};
      request.may_be_trial = may_be_trial;
      const auto placed = placement.Choose(now, request, {});
      if (!placed) {
        continue;
      }
      Target& target = Find(placed->node);
      GateCall call;
      call.key = std::to_string(++calls);
      call.request_id = call.key;
      call.service = "desk";
      call.instance = placed->instance;
      call.route = "lots";
      call.idempotent = true;
      call.deadline = now + seconds(1);
      call.latency_target = now + milliseconds(400);
      call.free_slot_only = true;
      const bool was_down = target.reported == wire::TargetState::kDown;
      if (target.gate.Admit(now, call).verdict == GateVerdict::kStart) {
        ++taken;
        ++target.arrivals;
        target.running[call.key] = now;
      }
      if (was_down) {
        max_trials = std::max(max_trials, target.running.size());
      }
      placement.Update(now, target.node, "a", target.gate.Status(now));
    }
    return taken;
  }

  void RunUntilDown(Target& target) {
    target.sound = false;
    while (target.reported != wire::TargetState::kDown) {
      CallFromAll(true);
      Step();
    }
    while (!target.running.empty()) {
      Step();
    }
  }
};

// Guards against nodes that all send their requests to a target that is down as soon as a trial is
// due, and against trials that stop while the target fails for long.
TEST_CASE_FIXTURE(SeveralNodes, "one trial at a time reaches a target that is down") {
  RunUntilDown(targets[0]);
  const int before = targets[0].arrivals;
  const TimePoint sound_from = now + seconds(10);
  while (now < sound_from) {
    CallFromAll(true);
    Step();
  }
  CHECK(max_trials == 1);
  CHECK(targets[0].arrivals - before >= 5);
  targets[0].sound = true;
  while (targets[0].reported == wire::TargetState::kDown && now < sound_from + kMaxRecovery) {
    CallFromAll(true);
    Step();
  }
  CHECK(targets[0].reported == wire::TargetState::kUp);
}

// Guards against requests that run once only, or have little time left, being spent on a trial
// while another target has room.
TEST_CASE_FIXTURE(SeveralNodes, "requests that cannot be repeated are not used as trials") {
  RunUntilDown(targets[0]);
  const int before = targets[0].arrivals;
  const TimePoint end = now + seconds(5);
  while (now < end) {
    CallFromAll(false);
    Step();
  }
  CHECK(targets[0].arrivals == before);
  CHECK(targets[1].arrivals > before);
}

// Guards against callers that are told to come back long before or long after the next trial.
TEST_CASE_FIXTURE(SeveralNodes, "if all targets are down the time of the next trial is known") {
  RunUntilDown(targets[0]);
  RunUntilDown(targets[1]);
  const auto wait = placements[0].UntilNextTrial(now, "desk");
  REQUIRE(wait);
  CHECK(*wait <= TargetGateOptions{}.max_trial_interval * 3 / 2);
  targets[0].sound = true;
  now += *wait;
  CHECK(CallFromAll(false) >= 1);
}

}  // namespace
}  // namespace limpet
