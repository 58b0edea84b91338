#include "limpet/traffic/outbound_call.h"

#include <doctest/doctest.h>

namespace limpet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Outcome = wire::Outcome;
using Reason = wire::RefusalReason;

constexpr TimePoint kNow{seconds(100)};

struct OutboundCallFixture {
  Random random{1};
  Balancer balancer{BalancerOptions{}, "caller", "a", Random(2)};
  RetryPolicy policy{RetryOptions{}, Random(3)};

  OutboundCallFixture() {
    balancer.Update(kNow, EndpointView({{"desk",
                                         {{"t1", 1, "a", "127.0.0.1", 1, true},
                                          {"t2", 1, "a", "127.0.0.1", 2, true}}}}));
  }
  OutboundCall MakeCall(bool idempotent) {
    OutboundCallOptions options;
    options.service = "desk";
    options.idempotent = idempotent;
    options.max_attempts = 2;
    return {options, balancer, policy, random};
  }
};

wire::CallReply MakeReply(const CallActions& sent, Outcome::type outcome, Reason::type reason) {
  wire::CallReply reply;
  reply.attempt_id = sent.send->attempt_id;
  reply.outcome = outcome;
  reply.reason = reason;
  return reply;
}

TEST_CASE_FIXTURE(OutboundCallFixture,
                  "a refused request is sent to another endpoint after a delay") {
  OutboundCall call = MakeCall(false);
  const CallActions first = call.Start(kNow);
  const auto second = call.OnReply(kNow, MakeReply(first, Outcome::kNotRun, Reason::kOverloaded));
  REQUIRE(second.send.has_value());
  CHECK(second.send->endpoint.node != first.send->endpoint.node);
  CHECK(second.send->delay > Duration(0));
  CHECK(second.send->deadline_ms < first.send->deadline_ms);
}

TEST_CASE_FIXTURE(OutboundCallFixture,
                  "only an idempotent request is retried after an unknown outcome") {
  OutboundCall non_idempotent = MakeCall(false);
  const auto last =
      non_idempotent.OnConnectionFailure(kNow, non_idempotent.Start(kNow).send->attempt_id, true);
  REQUIRE(last.finish.has_value());
  CHECK(last.finish->outcome == Outcome::kUnknown);
  OutboundCall idempotent_call = MakeCall(true);
  CHECK(idempotent_call.OnTimeout(kNow, idempotent_call.Start(kNow).send->attempt_id)
            .send.has_value());
}

TEST_CASE_FIXTURE(OutboundCallFixture,
                  "a call stays unknown if an attempt was unknown and the next one is refused") {
  OutboundCall call = MakeCall(true);
  const auto second = call.OnTimeout(kNow, call.Start(kNow).send->attempt_id);
  const auto last = call.OnReply(kNow, MakeReply(second, Outcome::kNotRun, Reason::kOverloaded));
  REQUIRE(last.finish.has_value());
  CHECK(last.finish->outcome == Outcome::kUnknown);
}

TEST_CASE_FIXTURE(OutboundCallFixture,
                  "a failure with already_retried is passed on with already_retried") {
  OutboundCall call = MakeCall(true);
  wire::CallReply reply = MakeReply(call.Start(kNow), Outcome::kNotRun, Reason::kOverloaded);
  reply.already_retried = true;
  const CallActions last = call.OnReply(kNow, reply);
  REQUIRE(last.finish.has_value());
  CHECK(last.finish->already_retried);
}

TEST_CASE_FIXTURE(OutboundCallFixture,
                  "retries are limited to the initial tokens plus a tenth of the calls") {
  FailedAttempt failed;
  failed.outcome = Outcome::kNotRun;
  failed.max_attempts = 2;
  failed.remaining = seconds(1);
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    policy.OnCall();
    retries += policy.ReserveRetry(failed) ? 1 : 0;
  }
  CHECK(retries >= 100);
  CHECK(retries <= 110);
}

TEST_CASE_FIXTURE(
    OutboundCallFixture,
    "cancelling a call in flight ends it as unknown and decrements the endpoint's count") {
  OutboundCall call = MakeCall(false);
  const CallActions first = call.Start(kNow);
  const CallActions last = call.Cancel(kNow);
  REQUIRE(last.cancel.has_value());
  CHECK(last.cancel->attempt_id == first.send->attempt_id);
  CHECK(last.finish->outcome == Outcome::kUnknown);
  CHECK(balancer.Find(first.send->endpoint.node)->in_flight == 0);
}

}  // namespace
}  // namespace limpet
