#include "limpet/traffic/target_placement.h"

#include <doctest/doctest.h>

#include <map>

namespace limpet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

struct Fixture {
  TargetPlacement placement{PlacementOptions{}, "a", Random(1)};

  void AddTarget(const std::string& node,
                 int in_flight,
                 int service_time_ms,
                 const std::string& data_centre = "a",
                 int failure_permille = 0,
                 int cold_ms = 0) {
    wire::TargetStatus status;
    status.instance = "i-" + node;
    status.service_name = "desk";
    status.state = wire::TargetState::kUp;
    status.slots = 10;
    status.cold_ms = cold_ms;
    status.load.in_flight = in_flight;
    status.load.service_time_us = service_time_ms * 1000;
    // Relative to the assumed service time of 100 ms of the requests below.
    status.slowdown_permille = service_time_ms * 10;
    status.failure_permille = failure_permille;
    placement.Update(kStart, node, data_centre, status);
    placement.SetReachable(node, true);
  }
  /// Sends `count` requests that stay open. Returns the number of requests by node.
  std::map<std::string, int> SendRequests(int count,
                                          size_t bytes = 0,
                                          Duration remaining_latency = milliseconds(400)) {
    std::map<std::string, int> sent;
    for (int i = 0; i < count; ++i) {
      const auto target = placement.Choose(kStart, {"desk", bytes, remaining_latency}, {});
      if (target) {
        ++sent[target->node];
        placement.OnAttemptStart(target->node);
      }
    }
    return sent;
  }
};

// Join the shortest queue among targets of different speed.
TEST_CASE_FIXTURE(Fixture, "a faster target gets more requests of a burst than a slower one") {
  AddTarget("fast", 0, 50);
  AddTarget("slow", 0, 200);
  auto sent = SendRequests(50);
  CHECK(sent["fast"] > 2 * sent["slow"]);
  CHECK(sent["slow"] > 0);
}

// Join the shortest queue with a mix of short and long requests. Guards against short requests that
// make the targets on which they happen to run look fast, which attracts all other requests.
TEST_CASE_FIXTURE(Fixture,
                  "a target that runs short requests does not count as faster than an equal one") {
  for (const char* node : {"short", "long"}) {
    wire::TargetStatus status;
    status.instance = node;
    status.service_name = "desk";
    status.state = wire::TargetState::kUp;
    status.slots = 10;
    status.load.service_time_us = node == std::string("short") ? 26'000 : 160'000;
    status.slowdown_permille = 1000;
    placement.Update(kStart, node, "a", status);
    placement.SetReachable(node, true);
  }
  auto sent = SendRequests(16);
  CHECK(sent["short"] >= 6);
  CHECK(sent["long"] >= 6);
}

// Outlier avoidance by failure share, regardless of the health endpoint.
TEST_CASE_FIXTURE(Fixture,
                  "a target that fails half of its requests gets work only when others are full") {
  AddTarget("good", 0, 100);
  AddTarget("grey", 0, 100, "a", 500);
  CHECK(SendRequests(10)["grey"] == 0);
  CHECK(SendRequests(60)["grey"] > 0);
}

// Locality by the cost of the response.
TEST_CASE_FIXTURE(
    Fixture,
    "large responses stay in the local data centre at a higher load than small ones") {
  AddTarget("near", 25, 100);
  AddTarget("far", 0, 100, "b");
  CHECK(SendRequests(1, 500)["far"] == 1);
  CHECK(SendRequests(1, 90 * 1024)["near"] == 1);
}

TEST_CASE_FIXTURE(Fixture, "requests stay in the local data centre while it responds in time") {
  AddTarget("near", 9, 150);
  AddTarget("far", 0, 50, "b");
  CHECK(SendRequests(1, 5000, milliseconds(600))["near"] == 1);
  CHECK(SendRequests(1, 5000, milliseconds(200))["far"] == 1);
  // A small response costs little between data centres.
  CHECK(SendRequests(1, 100, milliseconds(600))["far"] == 1);
}

// Slow start.
TEST_CASE_FIXTURE(Fixture, "a cold target gets fewer requests than a warm one") {
  AddTarget("warm", 0, 100);
  AddTarget("cold", 0, 0, "a", 0, 3000);
  auto sent = SendRequests(12);
  CHECK(sent["warm"] > sent["cold"]);
}

TEST_CASE_FIXTURE(Fixture, "a target without samples gets requests") {
  AddTarget("known", 5, 100);
  AddTarget("new", 0, 0);
  CHECK(SendRequests(10)["new"] > 0);
}

// The bottleneck is the network link of the target's VM, not its slots.
TEST_CASE_FIXTURE(Fixture, "large responses avoid a VM whose link is busy, small ones do not") {
  AddTarget("fast", 0, 80);
  AddTarget("slow", 0, 120);
  wire::TargetStatus busy;
  busy.instance = "i-fast";
  busy.service_name = "desk";
  busy.state = wire::TargetState::kUp;
  busy.slots = 10;
  busy.load.service_time_us = 80'000;
  busy.slowdown_permille = 800;
  busy.egress_wait_us = 300'000;
  placement.Update(kStart, "fast", "a", busy);
  CHECK(SendRequests(1, 90 * 1024, milliseconds(1000))["slow"] == 1);
  CHECK(SendRequests(1, 1000, milliseconds(1000))["fast"] == 1);
}

TEST_CASE_FIXTURE(Fixture, "large request bodies avoid a VM whose link receives others") {
  AddTarget("fast", 0, 80);
  AddTarget("slow", 0, 120);
  wire::TargetStatus busy;
  busy.instance = "i-fast";
  busy.service_name = "desk";
  busy.state = wire::TargetState::kUp;
  busy.slots = 10;
  busy.load.service_time_us = 80'000;
  busy.slowdown_permille = 800;
  busy.ingress_wait_us = 300'000;
  placement.Update(kStart, "fast", "a", busy);
  PlacementRequest upload{"desk", 0, milliseconds(1000)};
  upload.request_bytes = 60 * 1024;
  CHECK(placement.Choose(kStart, upload, {})->node == "slow");
  upload.request_bytes = 1000;
  CHECK(placement.Choose(kStart, upload, {})->node == "fast");
}

TEST_CASE_FIXTURE(Fixture, "an unresponsive node is avoided until it reports again") {
  AddTarget("a", 0, 100);
  AddTarget("b", 0, 100);
  placement.OnUnresponsive(kStart, "a");
  CHECK(SendRequests(10)["a"] == 0);
  AddTarget("a", 0, 100);
  CHECK(SendRequests(10)["a"] > 0);
}

TEST_CASE_FIXTURE(Fixture,
                  "excluded or unreachable targets and those of other services are not chosen") {
  AddTarget("a", 0, 100);
  AddTarget("b", 0, 100);
  placement.SetReachable("b", false);
  CHECK_FALSE(placement.Choose(kStart, {"desk"}, {"a"}));
  CHECK_FALSE(placement.Choose(kStart, {"store"}, {}));
  CHECK(placement.Choose(kStart, {"desk"}, {})->node == "a");
}

}  // namespace
}  // namespace limpet
