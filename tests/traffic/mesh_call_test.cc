#include "limpet/traffic/mesh_call.h"

#include <doctest/doctest.h>

namespace limpet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Reason = wire::RefusalReason;

constexpr TimePoint kStart{seconds(100)};

wire::TargetStatus MakeStatus(int in_flight = 0, int service_time_ms = 100) {
  wire::TargetStatus status;
  status.instance = "i";
  status.service_name = "desk";
  status.state = wire::TargetState::kUp;
  status.slots = 10;
  status.load.in_flight = in_flight;
  status.load.service_time_us = service_time_ms * 1000;
  return status;
}

wire::LinkReply MakeReply(int http_status) {
  wire::LinkReply reply;
  reply.outcome = wire::Outcome::kRan;
  reply.reached_target = true;
  reply.http_status = http_status;
  return reply;
}

wire::LinkReply MakeRefusal(Reason::type reason, bool reached_target = false) {
  wire::LinkReply reply;
  reply.outcome = wire::Outcome::kNotRun;
  reply.reason = reason;
  reply.reached_target = reached_target;
  reply.retry_after_ms = 80;
  return reply;
}

wire::LinkReply MakeUnknownOutcome() {
  wire::LinkReply reply;
  reply.outcome = wire::Outcome::kUnknown;
  reply.reason = Reason::kConnectionLost;
  reply.reached_target = true;
  return reply;
}

struct Fixture {
  /// Attempts are numbered from 1 in the order in which they are sent.
  int next_attempt = 1;
  TargetPlacement placement{PlacementOptions{}, "a", Random(1)};
  SharedRetryBudget budget{RetryBudgetOptions{.ratio = 0.2, .extra = 100}};

  Fixture() {
    for (const char* node : {"n1", "n2", "n3", "n4"}) {
      placement.Update(kStart, node, "a", MakeStatus());
      placement.SetReachable(node, true);
    }
  }
  MeshCall MakeCall(bool idempotent, int max_attempts = 2) {
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

// Guards against a failed request although its target works: the target has closed a kept
// connection and no other target is there.
TEST_CASE_FIXTURE(Fixture, "after a lost response the only target may get the request again") {
  for (const char* node : {"n2", "n3", "n4"}) {
    placement.SetReachable(node, false);
  }
  MeshCall call = MakeCall(true);
  CHECK(call.Start(kStart).send->target.node == "n1");
  const CallStep retry = call.OnReply(kStart, next_attempt++, MakeUnknownOutcome());
  REQUIRE(retry.send);
  CHECK(retry.send->target.node == "n1");
  SUBCASE("it is lost again") {
    const CallStep step = call.OnReply(kStart, next_attempt++, MakeUnknownOutcome());
    CHECK(step.finish->kind == CompletionKind::kUnknown);
  }
  SUBCASE("the target drains") {
    const CallStep step = call.OnReply(kStart, next_attempt++, MakeRefusal(Reason::kDraining));
    CHECK(step.finish->kind == CompletionKind::kUnknown);
  }
}

TEST_CASE_FIXTURE(Fixture, "after a lost response another target goes before the same one") {
  MeshCall call = MakeCall(true);
  const std::string first = call.Start(kStart).send->target.node;
  const CallStep retry = call.OnReply(kStart, next_attempt++, MakeUnknownOutcome());
  REQUIRE(retry.send);
  CHECK(retry.send->target.node != first);
}

TEST_CASE_FIXTURE(Fixture, "a non-idempotent request that may have run is not retried") {
  MeshCall call = MakeCall(false);
  CHECK(call.Start(kStart).send);
  SUBCASE("incomplete response") {
    const CallStep step = call.OnReply(kStart, next_attempt++, MakeUnknownOutcome());
    CHECK_FALSE(step.send);
    CHECK(step.finish->kind == CompletionKind::kUnknown);
  }
  SUBCASE("lost link") {
    CHECK(call.OnConnectionLost(kStart, 1).finish->kind == CompletionKind::kUnknown);
  }
  SUBCASE("failure of the target") {
    CHECK(call.OnReply(kStart, next_attempt++, MakeReply(500)).finish->kind ==
          CompletionKind::kForward);
  }
  SUBCASE("overdue response") {
    const CallStep step = call.OnHedgeTimer(kStart + milliseconds(300));
    CHECK_FALSE(step.send);
    CHECK_FALSE(step.finish);
  }
}

TEST_CASE_FIXTURE(
    Fixture,
    "an attempt refused before it reached a target moves to another node without a retry") {
  MeshCall call = MakeCall(false, 1);
  const CallStep first = call.Start(kStart);
  const CallStep second = call.OnReply(kStart, next_attempt++, MakeRefusal(Reason::kDraining));
  REQUIRE(second.send);
  CHECK(second.send->target.node != first.send->target.node);
  CHECK(call.OnReply(kStart, next_attempt++, MakeReply(200)).finish->kind ==
        CompletionKind::kForward);
}

TEST_CASE_FIXTURE(Fixture,
                  "a call refused by overloaded nodes ends with a refusal and a retry time") {
  MeshCall call = MakeCall(true);
  CallStep step = call.Start(kStart);
  while (step.send) {
    REQUIRE(next_attempt <= 5);
    step = call.OnReply(kStart, next_attempt++, MakeRefusal(Reason::kOverloaded));
  }
  REQUIRE(step.finish);
  CHECK(step.finish->kind == CompletionKind::kNotRun);
  CHECK(step.finish->retry_after == milliseconds(80));
}

// Immediate-only attempts. Guards against nodes whose view of the load is a second old and which
// all choose the same target: its queue grows while half of the slots of other targets are free.
TEST_CASE_FIXTURE(Fixture,
                  "two nodes get an immediate-only attempt before the request may be queued") {
  MeshCall call = MakeCall(false);
  const CallStep first = call.Start(kStart);
  CHECK(first.send->free_slot_only);
  const CallStep second = call.OnReply(kStart, 1, MakeRefusal(Reason::kOverloaded));
  CHECK(second.send->free_slot_only);
  CHECK(second.send->target.node != first.send->target.node);
  // The replies reported that the first node has the least load.
  for (const char* node : {"n1", "n2", "n3", "n4"}) {
    placement.Update(kStart, node, "a", MakeStatus(node == first.send->target.node ? 10 : 30));
  }
  const CallStep third = call.OnReply(kStart, 2, MakeRefusal(Reason::kOverloaded));
  CHECK_FALSE(third.send->free_slot_only);
  CHECK(third.send->target.node == first.send->target.node);
}

TEST_CASE_FIXTURE(Fixture, "a call with an attempt of unknown outcome does not end as not run") {
  MeshCall call = MakeCall(true, 3);
  call.Start(kStart);
  CallStep step = call.OnReply(kStart, next_attempt++, MakeUnknownOutcome());
  CHECK(step.send);
  while (step.send) {
    REQUIRE(next_attempt <= 6);
    step = call.OnReply(kStart, next_attempt++, MakeRefusal(Reason::kOverloaded));
  }
  REQUIRE(step.finish);
  CHECK(step.finish->kind == CompletionKind::kUnknown);
}

TEST_CASE_FIXTURE(Fixture,
                  "the failure of the first target is forwarded if the retry has no response") {
  MeshCall call = MakeCall(true);
  call.Start(kStart);
  const CallStep retry = call.OnReply(kStart, next_attempt++, MakeReply(500));
  CHECK(retry.send);
  CHECK(retry.save_reply);
  CHECK(call.OnReply(kStart, next_attempt++, MakeUnknownOutcome()).finish->kind ==
        CompletionKind::kForwardSaved);
}

TEST_CASE_FIXTURE(Fixture, "at most max_attempts targets receive a request") {
  MeshCall call = MakeCall(true, 2);
  call.Start(kStart);
  CHECK(call.OnReply(kStart, next_attempt++, MakeUnknownOutcome()).send);
  CHECK(call.OnReply(kStart, next_attempt++, MakeUnknownOutcome()).finish->kind ==
        CompletionKind::kUnknown);
  CHECK(call.attempts_reached_target() == 2);
}

TEST_CASE_FIXTURE(Fixture, "refusals by the targets themselves count towards max_attempts") {
  MeshCall call = MakeCall(false, 2);
  call.Start(kStart);
  CHECK(call.OnReply(kStart, next_attempt++, MakeRefusal(Reason::kTargetUnavailable, true)).send);
  const CallStep step =
      call.OnReply(kStart, next_attempt++, MakeRefusal(Reason::kTargetUnavailable, true));
  REQUIRE(step.finish);
  CHECK(step.finish->kind == CompletionKind::kNotRun);
}

// Hedged request.
TEST_CASE_FIXTURE(Fixture,
                  "an overdue response leads to a hedge while the first attempt stays open") {
  MeshCall call = MakeCall(true);
  const CallStep first = call.Start(kStart);
  REQUIRE(first.hedge_delay);
  CHECK(*first.hedge_delay < milliseconds(400));
  const CallStep hedge = call.OnHedgeTimer(kStart + *first.hedge_delay);
  REQUIRE(hedge.send);
  CHECK(hedge.send->hedge);
  CHECK(hedge.send->target.node != first.send->target.node);
  SUBCASE("the first attempt responds first") {
    CHECK(call.OnReply(kStart, 1, MakeReply(200)).finish->kind == CompletionKind::kForward);
  }
  SUBCASE("the hedge responds first") {
    CHECK(call.OnReply(kStart, 2, MakeReply(200)).finish->kind == CompletionKind::kForward);
  }
  SUBCASE("a refused hedge does not end the call") {
    const CallStep step = call.OnReply(kStart, 2, MakeRefusal(Reason::kOverloaded));
    CHECK_FALSE(step.finish);
    CHECK_FALSE(step.send);
    CHECK(call.OnReply(kStart, 1, MakeReply(200)).finish->kind == CompletionKind::kForward);
  }
  SUBCASE("a failed attempt does not end the call while the other is open") {
    CHECK_FALSE(call.OnReply(kStart, 1, MakeUnknownOutcome()).finish);
    CHECK(call.OnReply(kStart, 2, MakeReply(200)).finish->kind == CompletionKind::kForward);
  }
  SUBCASE("both attempts fail") {
    CHECK_FALSE(call.OnReply(kStart, 1, MakeUnknownOutcome()).finish);
    CHECK(call.OnReply(kStart, 2, MakeUnknownOutcome()).finish->kind == CompletionKind::kUnknown);
  }
}

// Guards against hedges that double the load on network links that are the bottleneck.
TEST_CASE_FIXTURE(Fixture, "no hedge is sent while the response is being transferred") {
  MeshCall call = MakeCall(true);
  const CallStep first = call.Start(kStart);
  REQUIRE(first.hedge_delay);
  call.OnTransfer(first.send->attempt);
  CHECK_FALSE(call.OnHedgeTimer(kStart + *first.hedge_delay).send);
  CHECK(call.OnReply(kStart, 1, MakeReply(200)).finish->kind == CompletionKind::kForward);
}

TEST_CASE_FIXTURE(Fixture, "no hedge is sent without another usable target") {
  for (const char* node : {"n2", "n3", "n4"}) {
    placement.SetReachable(node, false);
  }
  MeshCall call = MakeCall(true);
  call.Start(kStart);
  const CallStep step = call.OnHedgeTimer(kStart + milliseconds(300));
  CHECK_FALSE(step.send);
  CHECK_FALSE(step.finish);
}

TEST_CASE_FIXTURE(Fixture, "a call without any usable target is refused at once") {
  for (const char* node : {"n1", "n2", "n3", "n4"}) {
    placement.SetReachable(node, false);
  }
  MeshCall call = MakeCall(true);
  const CallStep step = call.Start(kStart);
  REQUIRE(step.finish);
  CHECK(step.finish->kind == CompletionKind::kNotRun);
  CHECK(step.finish->reason == Reason::kNoEndpoint);
}

// Guards against a stopping node that sends a request on to a queue in which it cannot be served in
// time, and against a false promise that a request has not run.
TEST_CASE_FIXTURE(Fixture, "a call that stops sending ends with what its open attempts report") {
  MeshCall call = MakeCall(true);
  CHECK(call.Start(kStart).send);
  call.StopSending();
  SUBCASE("withdrawn from the queue") {
    const CallStep step = call.OnReply(kStart, next_attempt++, MakeRefusal(Reason::kCancelled));
    CHECK_FALSE(step.send);
    CHECK(step.finish->kind == CompletionKind::kNotRun);
  }
  SUBCASE("run") {
    CHECK(call.OnReply(kStart, next_attempt++, MakeReply(200)).finish->kind ==
          CompletionKind::kForward);
  }
  SUBCASE("failed") {
    const CallStep step = call.OnReply(kStart, next_attempt++, MakeReply(500));
    CHECK_FALSE(step.send);
    CHECK(step.finish->kind == CompletionKind::kForward);
  }
  SUBCASE("link lost") {
    const CallStep step = call.OnConnectionLost(kStart, next_attempt++);
    CHECK_FALSE(step.send);
    CHECK(step.finish->kind == CompletionKind::kUnknown);
  }
  SUBCASE("no hedge") {
    CHECK_FALSE(call.OnHedgeTimer(kStart + milliseconds(300)).send);
  }
  SUBCASE("no report") {
    CHECK(call.OnNodeEnds().finish->kind == CompletionKind::kUnknown);
  }
}

}  // namespace
}  // namespace limpet
