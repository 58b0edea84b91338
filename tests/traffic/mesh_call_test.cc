#include "limpet/traffic/mesh_call.h"

#include <doctest/doctest.h>

namespace limpet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Reason = wire::RefusalReason;

constexpr TimePoint kStart{seconds(100)};

wire::TargetStatus Up(int in_flight = 0, int service_time_ms = 100) {
  wire::TargetStatus status;
  status.instance = "i";
  status.service_name = "desk";
  status.state = wire::TargetState::kUp;
  status.slots = 10;
  status.load.in_flight = in_flight;
  status.load.service_time_us = service_time_ms * 1000;
  return status;
}

wire::LinkReply Ran(int http_status) {
  wire::LinkReply reply;
  reply.outcome = wire::Outcome::kRan;
  reply.reached_target = true;
  reply.http_status = http_status;
  return reply;
}

wire::LinkReply Refused(Reason::type reason, bool reached_target = false) {
  wire::LinkReply reply;
  reply.outcome = wire::Outcome::kNotRun;
  reply.reason = reason;
  reply.reached_target = reached_target;
  reply.retry_after_ms = 80;
  return reply;
}

wire::LinkReply Broken() {
  wire::LinkReply reply;
  reply.outcome = wire::Outcome::kUnknown;
  reply.reason = Reason::kConnectionLost;
  reply.reached_target = true;
  return reply;
}

struct Fixture {
  /// Attempts are numbered from 1 in the order of their sending.
  int call_attempt = 1;
  TargetPlacement placement{PlacementOptions{}, "a", Random(1)};
  SharedRetryBudget budget{RetryBudgetOptions{.ratio = 0.2, .extra = 100}};

  Fixture() {
    for (const char* node : {"n1", "n2", "n3", "n4"}) {
      placement.Update(kStart, node, "a", Up());
      placement.SetReachable(node, true);
    }
  }
  MeshCall Make(bool idempotent, int max_attempts = 2) {
    MeshCallOptions options;
    options.service = "desk";
    options.idempotent = idempotent;
    options.max_attempts = max_attempts;
    options.deadline = kStart + milliseconds(800);
    options.latency_target = kStart + milliseconds(400);
    options.typical_latency = milliseconds(100);
    return {options, placement, budget};
  }
};

TEST_CASE_FIXTURE(Fixture, "a non-idempotent request that may have run is not sent again") {
  MeshCall call = Make(false);
  CHECK(call.Start(kStart).send);
  SUBCASE("broken response") {
    const CallStep step = call.OnReply(kStart, call_attempt++, Broken());
    CHECK_FALSE(step.send);
    CHECK(step.finish->kind == CompletionKind::kUnknown);
  }
  SUBCASE("lost link") {
    CHECK(call.OnLost(kStart, 1).finish->kind == CompletionKind::kUnknown);
  }
  SUBCASE("failure of the target") {
    CHECK(call.OnReply(kStart, call_attempt++, Ran(500)).finish->kind == CompletionKind::kForward);
  }
  SUBCASE("time passes") {
    const CallStep step = call.OnHedgeTimer(kStart + milliseconds(300));
    CHECK_FALSE(step.send);
    CHECK_FALSE(step.finish);
  }
}

TEST_CASE_FIXTURE(Fixture, "a refusal that reached no target is tried elsewhere without a repeat") {
  MeshCall call = Make(false, 1);
  const CallStep first = call.Start(kStart);
  const CallStep second = call.OnReply(kStart, call_attempt++, Refused(Reason::kDraining));
  REQUIRE(second.send);
  CHECK(second.send->target.node != first.send->target.node);
  CHECK(call.OnReply(kStart, call_attempt++, Ran(200)).finish->kind == CompletionKind::kForward);
}

TEST_CASE_FIXTURE(Fixture, "overloaded nodes end the call with a refusal and a time to return") {
  MeshCall call = Make(true);
  CallStep step = call.Start(kStart);
  while (step.send) {
    REQUIRE(call_attempt <= 5);
    step = call.OnReply(kStart, call_attempt++, Refused(Reason::kOverloaded));
  }
  REQUIRE(step.finish);
  CHECK(step.finish->kind == CompletionKind::kNotRun);
  CHECK(step.finish->retry_after == milliseconds(80));
}

// Pattern: late binding by asking for a free slot. Callers with views that are a second old had all
// chosen the same target, whose queue grew while half of the slots elsewhere were free.
TEST_CASE_FIXTURE(Fixture, "two nodes are asked for a free slot before the request queues") {
  MeshCall call = Make(false);
  const CallStep first = call.Start(kStart);
  CHECK(first.send->free_slot_only);
  const CallStep second = call.OnReply(kStart, 1, Refused(Reason::kOverloaded));
  CHECK(second.send->free_slot_only);
  CHECK(second.send->target.node != first.send->target.node);
  // The replies showed that the first node is the least busy one.
  for (const char* node : {"n1", "n2", "n3", "n4"}) {
    placement.Update(kStart, node, "a", Up(node == first.send->target.node ? 10 : 30));
  }
  const CallStep third = call.OnReply(kStart, 2, Refused(Reason::kOverloaded));
  CHECK_FALSE(third.send->free_slot_only);
  CHECK(third.send->target.node == first.send->target.node);
}

TEST_CASE_FIXTURE(Fixture, "a refusal after a broken attempt does not claim that nothing ran") {
  MeshCall call = Make(true, 3);
  call.Start(kStart);
  CallStep step = call.OnReply(kStart, call_attempt++, Broken());
  CHECK(step.send);
  while (step.send) {
    REQUIRE(call_attempt <= 6);
    step = call.OnReply(kStart, call_attempt++, Refused(Reason::kOverloaded));
  }
  REQUIRE(step.finish);
  CHECK(step.finish->kind == CompletionKind::kUnknown);
}

TEST_CASE_FIXTURE(Fixture, "a failure of the target is passed on if the repeat brings nothing") {
  MeshCall call = Make(true);
  call.Start(kStart);
  const CallStep repeat = call.OnReply(kStart, call_attempt++, Ran(500));
  CHECK(repeat.send);
  CHECK(repeat.save_reply);
  CHECK(call.OnReply(kStart, call_attempt++, Broken()).finish->kind ==
        CompletionKind::kForwardSaved);
}

TEST_CASE_FIXTURE(Fixture, "no more targets receive a request than the route allows") {
  MeshCall call = Make(true, 2);
  call.Start(kStart);
  CHECK(call.OnReply(kStart, call_attempt++, Broken()).send);
  CHECK(call.OnReply(kStart, call_attempt++, Broken()).finish->kind == CompletionKind::kUnknown);
  CHECK(call.attempts_reached_target() == 2);
}

TEST_CASE_FIXTURE(Fixture, "a target that sheds although it has room is given up within attempts") {
  MeshCall call = Make(false, 2);
  call.Start(kStart);
  CHECK(call.OnReply(kStart, call_attempt++, Refused(Reason::kTargetUnavailable, true)).send);
  const CallStep step =
      call.OnReply(kStart, call_attempt++, Refused(Reason::kTargetUnavailable, true));
  REQUIRE(step.finish);
  CHECK(step.finish->kind == CompletionKind::kNotRun);
}

// Pattern: hedged request.
TEST_CASE_FIXTURE(Fixture,
                  "an overdue response is asked for elsewhere while the first attempt goes on") {
  MeshCall call = Make(true);
  const CallStep first = call.Start(kStart);
  REQUIRE(first.hedge_delay);
  CHECK(*first.hedge_delay < milliseconds(400));
  const CallStep hedge = call.OnHedgeTimer(kStart + *first.hedge_delay);
  REQUIRE(hedge.send);
  CHECK(hedge.send->hedge);
  CHECK(hedge.send->target.node != first.send->target.node);
  SUBCASE("the first response wins") {
    CHECK(call.OnReply(kStart, 1, Ran(200)).finish->kind == CompletionKind::kForward);
  }
  SUBCASE("the second response wins") {
    CHECK(call.OnReply(kStart, 2, Ran(200)).finish->kind == CompletionKind::kForward);
  }
  SUBCASE("a refused hedge does not end the call") {
    const CallStep step = call.OnReply(kStart, 2, Refused(Reason::kOverloaded));
    CHECK_FALSE(step.finish);
    CHECK_FALSE(step.send);
    CHECK(call.OnReply(kStart, 1, Ran(200)).finish->kind == CompletionKind::kForward);
  }
  SUBCASE("a failure waits for the other attempt") {
    CHECK_FALSE(call.OnReply(kStart, 1, Broken()).finish);
    CHECK(call.OnReply(kStart, 2, Ran(200)).finish->kind == CompletionKind::kForward);
  }
  SUBCASE("both fail") {
    CHECK_FALSE(call.OnReply(kStart, 1, Broken()).finish);
    CHECK(call.OnReply(kStart, 2, Broken()).finish->kind == CompletionKind::kUnknown);
  }
}

// Guards against twice the load on network links that are the bottleneck.
TEST_CASE_FIXTURE(Fixture, "a response that is on its way is not asked for elsewhere") {
  MeshCall call = Make(true);
  const CallStep first = call.Start(kStart);
  REQUIRE(first.hedge_delay);
  call.OnTransfer(first.send->attempt);
  CHECK_FALSE(call.OnHedgeTimer(kStart + *first.hedge_delay).send);
  CHECK(call.OnReply(kStart, 1, Ran(200)).finish->kind == CompletionKind::kForward);
}

TEST_CASE_FIXTURE(Fixture, "no hedge goes out without a second target") {
  for (const char* node : {"n2", "n3", "n4"}) {
    placement.SetReachable(node, false);
  }
  MeshCall call = Make(true);
  call.Start(kStart);
  const CallStep step = call.OnHedgeTimer(kStart + milliseconds(300));
  CHECK_FALSE(step.send);
  CHECK_FALSE(step.finish);
}

TEST_CASE_FIXTURE(Fixture, "without any target the call is refused at once") {
  for (const char* node : {"n1", "n2", "n3", "n4"}) {
    placement.SetReachable(node, false);
  }
  MeshCall call = Make(true);
  const CallStep step = call.Start(kStart);
  REQUIRE(step.finish);
  CHECK(step.finish->kind == CompletionKind::kNotRun);
  CHECK(step.finish->reason == Reason::kNoEndpoint);
}

}  // namespace
}  // namespace limpet
