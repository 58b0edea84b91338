#include "limpet/traffic/inbound_gate.h"

#include <doctest/doctest.h>

namespace limpet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Outcome = wire::Outcome;
using Reason = wire::RefusalReason;

constexpr TimePoint kNow{seconds(100)};

wire::CallRequest MakeRequest(const std::string& attempt, const std::string& caller = "c") {
  wire::CallRequest request;
  request.attempt_id = attempt;
  request.request_id = "request of " + attempt;
  request.target_incarnation = 7;
  request.deadline_ms = 500;
  request.caller = caller;
  return request;
}

InboundGate MakeGate(int slots, size_t queue_length, size_t deduplication_capacity = 1000) {
  GateOptions options;
  options.queue_length = queue_length;
  options.deduplication_capacity = deduplication_capacity;
  return {options, 7, std::make_unique<FixedLimit>(slots)};
}

void CheckRefused(const AdmissionDecision& decision, Outcome::type outcome, Reason::type reason) {
  CHECK(decision.admission == Admission::kRefused);
  CHECK(decision.outcome == outcome);
  CHECK(decision.reason == reason);
}

TEST_CASE("attempts beyond the limit are queued and start when a slot becomes free") {
  InboundGate gate = MakeGate(1, 1);
  CHECK(gate.Admit(kNow, MakeRequest("1")).admission == Admission::kAdmitted);
  CHECK(gate.Admit(kNow, MakeRequest("2")).admission == Admission::kQueued);
  CheckRefused(gate.Admit(kNow, MakeRequest("3")), Outcome::kNotRun, Reason::kOverloaded);
  const auto events = gate.Finish(kNow, "1", Outcome::kRan, milliseconds(5));
  REQUIRE(events.size() == 1);
  CHECK(events[0].attempt_id == "2");
  CHECK(events[0].starts);
}

TEST_CASE("a queued attempt is refused when it expires") {
  InboundGate gate = MakeGate(1, 1);
  gate.Admit(kNow, MakeRequest("1"));
  gate.Admit(kNow, MakeRequest("2"));
  CHECK(gate.Expire(kNow + milliseconds(50)).empty());
  const auto events = gate.Expire(kNow + milliseconds(100));
  REQUIRE(events.size() == 1);
  CHECK_FALSE(events[0].starts);
  CHECK(events[0].reason == Reason::kQueueTimeout);
  CHECK(gate.load().queued == 0);
}

TEST_CASE("a full queue evicts the last attempt of a caller with a backlog") {
  InboundGate gate = MakeGate(1, 3);
  for (const char* attempt : {"1", "2", "3", "4"}) {
    gate.Admit(kNow, MakeRequest(attempt, "busy"));
  }
  const AdmissionDecision decision = gate.Admit(kNow, MakeRequest("5", "quiet"));
  CHECK(decision.admission == Admission::kQueued);
  REQUIRE(decision.events.size() == 1);
  CHECK(decision.events[0].attempt_id == "4");
  CHECK(decision.events[0].reason == Reason::kCallerShare);
  gate.Finish(kNow, "1", Outcome::kRan, milliseconds(5));
  CHECK(gate.Finish(kNow, "2", Outcome::kRan, milliseconds(5))[0].attempt_id == "5");
}

TEST_CASE("a copy of an attempt that may run is never refused as not_run") {
  InboundGate gate = MakeGate(1, 0);
  gate.Admit(kNow, MakeRequest("1"));
  CheckRefused(gate.Admit(kNow, MakeRequest("1")), Outcome::kUnknown, Reason::kDuplicate);
  gate.StartDraining(kNow);
  CheckRefused(gate.Admit(kNow, MakeRequest("1")), Outcome::kUnknown, Reason::kDuplicate);
  gate.RaiseIncarnation(8);
  CheckRefused(gate.Admit(kNow, MakeRequest("1")), Outcome::kUnknown, Reason::kDuplicate);
}

TEST_CASE("a copy of a refused attempt does not run when a slot becomes free") {
  InboundGate gate = MakeGate(1, 0);
  gate.Admit(kNow, MakeRequest("1"));
  gate.Admit(kNow, MakeRequest("2"));
  gate.Finish(kNow, "1", Outcome::kRan, milliseconds(5));
  CheckRefused(gate.Admit(kNow, MakeRequest("2")), Outcome::kNotRun, Reason::kDuplicate);
}

TEST_CASE("a request runs again in another attempt only if it is idempotent or did not run") {
  InboundGate gate = MakeGate(4, 0);
  wire::CallRequest second = MakeRequest("2");
  second.request_id = MakeRequest("1").request_id;
  gate.Admit(kNow, MakeRequest("1"));
  CheckRefused(gate.Admit(kNow, second), Outcome::kUnknown, Reason::kDuplicate);
  gate.Finish(kNow, "1", Outcome::kNotRun, milliseconds(0));
  CHECK(gate.Admit(kNow, second).admission == Admission::kAdmitted);
  wire::CallRequest third = second;
  third.attempt_id = "3";
  third.idempotent = true;
  CHECK(gate.Admit(kNow, third).admission == Admission::kAdmitted);
}

TEST_CASE(
    "a full deduplication table refuses with outcome unknown because a later copy could run") {
  InboundGate gate = MakeGate(4, 0, 2);
  gate.Admit(kNow, MakeRequest("1"));
  CheckRefused(gate.Admit(kNow, MakeRequest("2")), Outcome::kUnknown, Reason::kOverloaded);
  gate.Finish(kNow, "1", Outcome::kRan, milliseconds(5));
  CHECK(gate.Admit(kNow + seconds(6), MakeRequest("3")).admission == Admission::kAdmitted);
}

TEST_CASE("requests for another incarnation, after the deadline or while draining are refused") {
  InboundGate gate = MakeGate(4, 0);
  wire::CallRequest request = MakeRequest("1");
  request.target_incarnation = 6;
  CheckRefused(gate.Admit(kNow, request), Outcome::kNotRun, Reason::kWrongIncarnation);
  request = MakeRequest("2");
  request.deadline_ms = 0;
  CheckRefused(gate.Admit(kNow, request), Outcome::kNotRun, Reason::kDeadlinePassed);
  gate.StartDraining(kNow);
  CheckRefused(gate.Admit(kNow, MakeRequest("3")), Outcome::kNotRun, Reason::kDraining);
}

TEST_CASE("a copy of a running attempt is not refused as not_run while the target drains") {
  InboundGate gate = MakeGate(2, 1);
  gate.Admit(kNow, MakeRequest("1"));
  gate.SetTargetDraining(true);
  CheckRefused(gate.Admit(kNow, MakeRequest("1")), Outcome::kUnknown, Reason::kDuplicate);
  CheckRefused(gate.Admit(kNow, MakeRequest("2")), Outcome::kNotRun, Reason::kDraining);
}

TEST_CASE("an attempt refused while the target drained does not run after the drain") {
  InboundGate gate = MakeGate(2, 1);
  gate.SetTargetDraining(true);
  gate.Admit(kNow, MakeRequest("1"));
  gate.SetTargetDraining(false);
  CheckRefused(gate.Admit(kNow, MakeRequest("1")), Outcome::kNotRun, Reason::kDuplicate);
  CHECK(gate.Admit(kNow, MakeRequest("2")).admission == Admission::kAdmitted);
}

TEST_CASE("draining refuses the queue and lets attempts at the target finish") {
  InboundGate gate = MakeGate(1, 1);
  gate.Admit(kNow, MakeRequest("1"));
  gate.Admit(kNow, MakeRequest("2"));
  const auto events = gate.StartDraining(kNow);
  REQUIRE(events.size() == 1);
  CHECK(events[0].reason == Reason::kDraining);
  CHECK(gate.in_flight() == 1);
  CHECK(gate.Finish(kNow, "1", Outcome::kRan, milliseconds(5)).empty());
  CHECK(gate.in_flight() == 0);
}

TEST_CASE("a cancellation removes a queued attempt and refuses one that is received later") {
  InboundGate gate = MakeGate(1, 1);
  gate.Admit(kNow, MakeRequest("1"));
  gate.Admit(kNow, MakeRequest("2"));
  CHECK(gate.Cancel(kNow, "1") == CancelResult::kRunning);
  CHECK(gate.Cancel(kNow, "2") == CancelResult::kRemoved);
  CHECK(gate.Cancel(kNow, "3") == CancelResult::kUnknownAttempt);
  CheckRefused(gate.Admit(kNow, MakeRequest("3")), Outcome::kNotRun, Reason::kDuplicate);
}

}  // namespace
}  // namespace limpet
