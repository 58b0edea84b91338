#include "limpet/traffic/balancer.h"

#include <doctest/doctest.h>

#include <map>

namespace limpet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Reason = wire::RefusalReason;

constexpr TimePoint kStart{seconds(100)};
constexpr int kPickCount = 1000;

Endpoint MakeEndpoint(const std::string& name,
                      const std::string& data_centre,
                      bool reachable = true) {
  return {name, 1, data_centre, "127.0.0.1", 1, reachable};
}

struct BalancerFixture {
  Balancer balancer{BalancerOptions{}, "caller", "a", Random(1)};

  void SetEndpoints(TimePoint now, const std::vector<Endpoint>& endpoints) {
    balancer.Update(now, EndpointView({{"desk", endpoints}}));
  }
  void EndAttempt(TimePoint now,
                  const std::string& node,
                  Duration latency,
                  int load = 0,
                  Reason::type reason = Reason::kNone) {
    wire::LoadReport report;
    report.limit = 12;
    report.in_flight = load;
    balancer.OnAttemptStart(now, node);
    const bool is_success = reason == Reason::kNone;
    balancer.OnAttemptEnd(now, node, is_success ? wire::Outcome::kRan : wire::Outcome::kNotRun,
                          reason, latency, report);
  }
  void Fail(TimePoint now, const std::string& node, Reason::type reason) {
    EndAttempt(now, node, milliseconds(1), 0, reason);
  }
  std::map<std::string, int> CountPicks(TimePoint now) {
    std::map<std::string, int> counts;
    for (int i = 0; i < kPickCount; ++i) {
      ++counts[balancer.Pick(now, "desk", {})->node];
    }
    return counts;
  }
};

TEST_CASE_FIXTURE(BalancerFixture,
                  "calls stay in the data centre until its endpoints are saturated") {
  SetEndpoints(kStart, {MakeEndpoint("a1", "a"), MakeEndpoint("a2", "a"), MakeEndpoint("b1", "b")});
  CHECK(CountPicks(kStart)["b1"] == 0);
  EndAttempt(kStart, "a1", milliseconds(5), 12);
  CHECK(CountPicks(kStart)["a2"] == kPickCount);
  EndAttempt(kStart, "a2", milliseconds(5), 12);
  CHECK(CountPicks(kStart)["b1"] > 0);
}

TEST_CASE_FIXTURE(BalancerFixture,
                  "a failed endpoint is avoided and later probed with one call at a time") {
  SetEndpoints(kStart, {MakeEndpoint("a1", "a"), MakeEndpoint("a2", "a"), MakeEndpoint("a3", "a")});
  Fail(kStart, "a1", Reason::kConnectionLost);
  CHECK(CountPicks(kStart)["a1"] == 0);
  const TimePoint later = kStart + seconds(1);
  CHECK(CountPicks(later)["a1"] > 0);
  balancer.OnAttemptStart(later, "a1");
  CHECK(CountPicks(later)["a1"] == 0);
}

TEST_CASE_FIXTURE(BalancerFixture,
                  "a draining endpoint stays avoided while it replies to earlier attempts") {
  SetEndpoints(kStart, {MakeEndpoint("a1", "a"), MakeEndpoint("a2", "a")});
  Fail(kStart, "a1", Reason::kDraining);
  const TimePoint later = kStart + milliseconds(20);
  EndAttempt(later, "a1", milliseconds(30));
  CHECK(CountPicks(later)["a1"] == 0);
  EndAttempt(later, "a1", milliseconds(10));
  CHECK(CountPicks(later)["a1"] > 0);
}

TEST_CASE_FIXTURE(BalancerFixture, "a recent success overrides the reachability flag") {
  SetEndpoints(kStart,
               {MakeEndpoint("a1", "a", false), MakeEndpoint("a2", "a"), MakeEndpoint("a3", "a")});
  CHECK(CountPicks(kStart)["a1"] == 0);
  EndAttempt(kStart, "a1", milliseconds(5));
  CHECK(CountPicks(kStart)["a1"] > 0);
}

TEST_CASE_FIXTURE(BalancerFixture,
                  "the reachability flag is ignored if most endpoints are marked unreachable") {
  SetEndpoints(kStart, {MakeEndpoint("a1", "a", false), MakeEndpoint("a2", "a", false),
                        MakeEndpoint("a3", "a")});
  CHECK(CountPicks(kStart)["a1"] > 0);
}

TEST_CASE_FIXTURE(BalancerFixture, "endpoints are still selected if all of them failed") {
  SetEndpoints(kStart, {MakeEndpoint("a1", "a"), MakeEndpoint("b1", "b")});
  Fail(kStart, "a1", Reason::kConnectionLost);
  Fail(kStart, "b1", Reason::kConnectionLost);
  CHECK(CountPicks(kStart).size() == 2);
}

TEST_CASE_FIXTURE(BalancerFixture,
                  "no endpoint is selected if all are excluded or the service is unknown") {
  SetEndpoints(kStart, {MakeEndpoint("a1", "a")});
  CHECK_FALSE(balancer.Pick(kStart, "desk", {"a1"}).has_value());
  CHECK_FALSE(balancer.Pick(kStart, "other", {}).has_value());
}

TEST_CASE_FIXTURE(BalancerFixture, "an endpoint added after the first view ramps up") {
  SetEndpoints(kStart, {MakeEndpoint("a1", "a"), MakeEndpoint("a2", "a")});
  SetEndpoints(kStart, {MakeEndpoint("a1", "a"), MakeEndpoint("a2", "a"), MakeEndpoint("a3", "a")});
  const int cold = CountPicks(kStart + milliseconds(100))["a3"];
  const int warm = CountPicks(kStart + seconds(11))["a3"];
  CHECK(cold > 0);
  CHECK(cold < kPickCount / 10);
  CHECK(warm > kPickCount / 5);
}

TEST_CASE_FIXTURE(BalancerFixture,
                  "a restarted endpoint loses its failures but keeps its calls in flight") {
  SetEndpoints(kStart, {MakeEndpoint("a1", "a"), MakeEndpoint("a2", "a")});
  balancer.OnAttemptStart(kStart, "a1");
  Fail(kStart, "a1", Reason::kWrongIncarnation);
  CHECK(CountPicks(kStart + seconds(1))["a1"] == 0);
  Endpoint restarted = MakeEndpoint("a1", "a");
  restarted.incarnation = 2;
  SetEndpoints(kStart, {restarted, MakeEndpoint("a2", "a")});
  CHECK(balancer.Find("a1")->in_flight == 1);
  balancer.OnAttemptEnd(kStart, "a1", wire::Outcome::kUnknown, Reason::kCancelled, milliseconds(1),
                        {});
  CHECK(CountPicks(kStart + seconds(1))["a1"] > 0);
}

TEST_CASE_FIXTURE(BalancerFixture,
                  "power of two choices prefers the endpoint with the lower expected cost") {
  SetEndpoints(kStart, {MakeEndpoint("a1", "a"), MakeEndpoint("a2", "a")});
  EndAttempt(kStart, "a1", milliseconds(30));
  EndAttempt(kStart, "a2", milliseconds(10));
  CHECK(CountPicks(kStart)["a2"] == kPickCount);
  for (int i = 0; i < 3; ++i) {
    balancer.OnAttemptStart(kStart, "a2");
  }
  CHECK(CountPicks(kStart)["a1"] == kPickCount);
}

}  // namespace
}  // namespace limpet
