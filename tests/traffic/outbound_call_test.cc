#include "limpet/traffic/outbound_call.h"

#include <doctest/doctest.h>

namespace limpet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Outcome = wire::Outcome;
using Reason = wire::RefusalReason;

constexpr TimePoint kNow{seconds(100)};

struct Fixture {
  Random random{1};
  Balancer balancer{BalancerOptions{}, "caller", "a", Random(2)};
  RetryPolicy policy{RetryOptions{}, Random(3)};

  Fixture() {
    balancer.Update(kNow, EndpointView({{"desk",
                                         {{"t1", 1, "a", "127.0.0.1", 1, true},
                                          {"t2", 1, "a", "127.0.0.1", 2, true}}}}));
  }
  OutboundCall Call(bool idempotent) {
    OutboundCallOptions options;
    options.service = "desk";
    options.idempotent = idempotent;
    options.max_attempts = 2;
    return {options, balancer, policy, random};
  }
};

wire::CallReply Reply(const CallActions& sent, Outcome::type outcome, Reason::type reason) {
  wire::CallReply reply;
  reply.attempt_id = sent.send->attempt_id;
  reply.outcome = outcome;
  reply.reason = reason;
  return reply;
}

TEST_CASE_FIXTURE(Fixture, "a refused request is sent to another endpoint after a delay") {
  OutboundCall call = Call(false);
  const CallActions first = call.Start(kNow);
  const auto second = call.OnReply(kNow, Reply(first, Outcome::kNotRun, Reason::kOverloaded));
  REQUIRE(second.send.has_value());
  CHECK(second.send->endpoint.node != first.send->endpoint.node);
  CHECK(second.send->delay > Duration(0));
  CHECK(second.send->deadline_ms < first.send->deadline_ms);
}

TEST_CASE_FIXTURE(Fixture, "only an idempotent request is sent again after an unknown outcome") {
  OutboundCall once = Call(false);
  const auto end = once.OnConnectionFailure(kNow, once.Start(kNow).send->attempt_id, true);
  REQUIRE(end.finish.has_value());
  CHECK(end.finish->outcome == Outcome::kUnknown);
  OutboundCall again = Call(true);
  CHECK(again.OnTimeout(kNow, again.Start(kNow).send->attempt_id).send.has_value());
}

TEST_CASE_FIXTURE(Fixture, "a refusal after an unknown attempt leaves the call unknown") {
  OutboundCall call = Call(true);
  const auto second = call.OnTimeout(kNow, call.Start(kNow).send->attempt_id);
  const auto end = call.OnReply(kNow, Reply(second, Outcome::kNotRun, Reason::kOverloaded));
  REQUIRE(end.finish.has_value());
  CHECK(end.finish->outcome == Outcome::kUnknown);
}

TEST_CASE_FIXTURE(Fixture, "a failure marked by a lower level is passed on marked") {
  OutboundCall call = Call(true);
  wire::CallReply reply = Reply(call.Start(kNow), Outcome::kNotRun, Reason::kOverloaded);
  reply.already_retried = true;
  const CallActions end = call.OnReply(kNow, reply);
  REQUIRE(end.finish.has_value());
  CHECK(end.finish->already_retried);
}

TEST_CASE_FIXTURE(Fixture, "retries stop at the token budget and grow by a tenth of the calls") {
  FailedAttempt failed;
  failed.outcome = Outcome::kNotRun;
  failed.max_attempts = 2;
  failed.remaining = seconds(1);
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    policy.OnCall();
    retries += policy.Retry(failed) ? 1 : 0;
  }
  CHECK(retries >= 100);
  CHECK(retries <= 110);
}

TEST_CASE_FIXTURE(Fixture, "cancelling an attempt on its way claims nothing and frees its slot") {
  OutboundCall call = Call(false);
  const CallActions first = call.Start(kNow);
  const CallActions end = call.Cancel(kNow);
  REQUIRE(end.cancel.has_value());
  CHECK(end.cancel->attempt_id == first.send->attempt_id);
  CHECK(end.finish->outcome == Outcome::kUnknown);
  CHECK(balancer.Find(first.send->endpoint.node)->in_flight == 0);
}

}  // namespace
}  // namespace limpet
