#include "limpet/traffic/balancer.h"

#include <doctest/doctest.h>

#include <map>

namespace limpet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Reason = wire::RefusalReason;

constexpr TimePoint kStart{seconds(100)};
constexpr int kPicks = 1000;

Endpoint Node(const std::string& name, const std::string& data_centre, bool reachable = true) {
  return {name, 1, data_centre, "127.0.0.1", 1, reachable};
}

struct Fixture {
  Balancer balancer{BalancerOptions{}, "caller", "a", Random(1)};

  void Show(TimePoint now, const std::vector<Endpoint>& endpoints) {
    balancer.Update(now, EndpointView({{"desk", endpoints}}));
  }
  void Answer(TimePoint now,
              const std::string& node,
              Duration latency,
              int load = 0,
              Reason::type reason = Reason::kNone) {
    wire::LoadReport report;
    report.limit = 12;
    report.in_flight = load;
    balancer.OnStart(now, node);
    const bool ran = reason == Reason::kNone;
    balancer.OnReply(now, node, ran ? wire::Outcome::kRan : wire::Outcome::kNotRun, reason, latency,
                     report);
  }
  void Fail(TimePoint now, const std::string& node, Reason::type reason) {
    Answer(now, node, milliseconds(1), 0, reason);
  }
  std::map<std::string, int> Picks(TimePoint now) {
    std::map<std::string, int> counts;
    for (int i = 0; i < kPicks; ++i) {
      ++counts[balancer.Pick(now, "desk", {})->node];
    }
    return counts;
  }
};

TEST_CASE_FIXTURE(Fixture, "calls stay in the data centre until its endpoints are saturated") {
  Show(kStart, {Node("a1", "a"), Node("a2", "a"), Node("b1", "b")});
  CHECK(Picks(kStart)["b1"] == 0);
  Answer(kStart, "a1", milliseconds(5), 12);
  CHECK(Picks(kStart)["a2"] == kPicks);
  Answer(kStart, "a2", milliseconds(5), 12);
  CHECK(Picks(kStart)["b1"] > 0);
}

TEST_CASE_FIXTURE(Fixture, "a failed endpoint is avoided and later tried with one call at a time") {
  Show(kStart, {Node("a1", "a"), Node("a2", "a"), Node("a3", "a")});
  Fail(kStart, "a1", Reason::kConnectionLost);
  CHECK(Picks(kStart)["a1"] == 0);
  const TimePoint later = kStart + seconds(1);
  CHECK(Picks(later)["a1"] > 0);
  balancer.OnStart(later, "a1");
  CHECK(Picks(later)["a1"] == 0);
}

TEST_CASE_FIXTURE(Fixture, "a draining endpoint stays avoided while it answers older attempts") {
  Show(kStart, {Node("a1", "a"), Node("a2", "a")});
  Fail(kStart, "a1", Reason::kDraining);
  const TimePoint later = kStart + milliseconds(20);
  Answer(later, "a1", milliseconds(30));
  CHECK(Picks(later)["a1"] == 0);
  Answer(later, "a1", milliseconds(10));
  CHECK(Picks(later)["a1"] > 0);
}

TEST_CASE_FIXTURE(Fixture, "a reachability flag yields to a recent answer") {
  Show(kStart, {Node("a1", "a", false), Node("a2", "a"), Node("a3", "a")});
  CHECK(Picks(kStart)["a1"] == 0);
  Answer(kStart, "a1", milliseconds(5));
  CHECK(Picks(kStart)["a1"] > 0);
}

TEST_CASE_FIXTURE(Fixture, "flags on most endpoints are ignored") {
  Show(kStart, {Node("a1", "a", false), Node("a2", "a", false), Node("a3", "a")});
  CHECK(Picks(kStart)["a1"] > 0);
}

TEST_CASE_FIXTURE(Fixture, "a service whose endpoints all failed still gets calls") {
  Show(kStart, {Node("a1", "a"), Node("b1", "b")});
  Fail(kStart, "a1", Reason::kConnectionLost);
  Fail(kStart, "b1", Reason::kConnectionLost);
  CHECK(Picks(kStart).size() == 2);
}

TEST_CASE_FIXTURE(Fixture, "excluded endpoints and unknown services give nothing") {
  Show(kStart, {Node("a1", "a")});
  CHECK_FALSE(balancer.Pick(kStart, "desk", {"a1"}).has_value());
  CHECK_FALSE(balancer.Pick(kStart, "other", {}).has_value());
}

TEST_CASE_FIXTURE(Fixture, "an endpoint that appears later ramps up") {
  Show(kStart, {Node("a1", "a"), Node("a2", "a")});
  Show(kStart, {Node("a1", "a"), Node("a2", "a"), Node("a3", "a")});
  const int cold = Picks(kStart + milliseconds(100))["a3"];
  const int warm = Picks(kStart + seconds(11))["a3"];
  CHECK(cold > 0);
  CHECK(cold < kPicks / 10);
  CHECK(warm > kPicks / 5);
}

TEST_CASE_FIXTURE(Fixture, "a restarted endpoint loses its old evidence but not its open calls") {
  Show(kStart, {Node("a1", "a"), Node("a2", "a")});
  balancer.OnStart(kStart, "a1");
  Fail(kStart, "a1", Reason::kWrongIncarnation);
  CHECK(Picks(kStart + seconds(1))["a1"] == 0);
  Endpoint restarted = Node("a1", "a");
  restarted.incarnation = 2;
  Show(kStart, {restarted, Node("a2", "a")});
  CHECK(balancer.Find("a1")->in_flight == 1);
  balancer.OnReply(kStart, "a1", wire::Outcome::kUnknown, Reason::kCancelled, milliseconds(1), {});
  CHECK(Picks(kStart + seconds(1))["a1"] > 0);
}

TEST_CASE_FIXTURE(Fixture, "two choices prefer the faster endpoint") {
  Show(kStart, {Node("a1", "a"), Node("a2", "a")});
  Answer(kStart, "a1", milliseconds(30));
  Answer(kStart, "a2", milliseconds(10));
  CHECK(Picks(kStart)["a2"] == kPicks);
  for (int i = 0; i < 3; ++i) {
    balancer.OnStart(kStart, "a2");
  }
  CHECK(Picks(kStart)["a1"] == kPicks);
}

}  // namespace
}  // namespace limpet
