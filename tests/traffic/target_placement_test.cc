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

  void Add(const std::string& node,
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
    // Relative to the usual 100 ms of the request below.
    status.slowdown_permille = service_time_ms * 10;
    status.failure_permille = failure_permille;
    placement.Update(kStart, node, data_centre, status);
    placement.SetReachable(node, true);
  }
  /// Sends `count` requests that stay open.
  std::map<std::string, int> Send(int count,
                                  size_t bytes = 0,
                                  Duration remaining_latency = milliseconds(400)) {
    std::map<std::string, int> sent;
    for (int i = 0; i < count; ++i) {
      const auto target = placement.Choose(kStart, {"desk", bytes, remaining_latency}, {});
      if (target) {
        ++sent[target->node];
        placement.OnSend(target->node);
      }
    }
    return sent;
  }
};

// Pattern: join the shortest queue among targets of mixed speed.
TEST_CASE_FIXTURE(Fixture, "a burst fills targets in proportion to their speed") {
  Add("fast", 0, 50);
  Add("slow", 0, 200);
  auto sent = Send(50);
  CHECK(sent["fast"] > 2 * sent["slow"]);
  CHECK(sent["slow"] > 0);
}

// Pattern: join the shortest queue with a mix of short and long requests. Guards against short
// requests making the targets that they happen to run on look fast, which draws all others there.
TEST_CASE_FIXTURE(Fixture, "a target that runs short requests counts as no faster than its twin") {
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
  auto sent = Send(16);
  CHECK(sent["short"] >= 6);
  CHECK(sent["long"] >= 6);
}

// Pattern: outlier avoidance by failure share, whatever the health endpoint says.
TEST_CASE_FIXTURE(Fixture,
                  "a target that fails half of its requests gets work only when others are full") {
  Add("good", 0, 100);
  Add("grey", 0, 100, "a", 500);
  CHECK(Send(10)["grey"] == 0);
  CHECK(Send(60)["grey"] > 0);
}

// Pattern: locality by the price of the response.
TEST_CASE_FIXTURE(Fixture, "large responses stay in the data centre longer than small ones") {
  Add("near", 25, 100);
  Add("far", 0, 100, "b");
  CHECK(Send(1, 500)["far"] == 1);
  CHECK(Send(1, 90 * 1024)["near"] == 1);
}

TEST_CASE_FIXTURE(Fixture, "requests stay in the data centre while it answers in time") {
  Add("near", 9, 150);
  Add("far", 0, 50, "b");
  CHECK(Send(1, 5000, milliseconds(600))["near"] == 1);
  CHECK(Send(1, 5000, milliseconds(200))["far"] == 1);
  // A small response costs little between data centres.
  CHECK(Send(1, 100, milliseconds(600))["far"] == 1);
}

// Pattern: slow start.
TEST_CASE_FIXTURE(Fixture, "a cold target gets less than a warm one") {
  Add("warm", 0, 100);
  Add("cold", 0, 0, "a", 0, 3000);
  auto sent = Send(12);
  CHECK(sent["warm"] > sent["cold"]);
}

TEST_CASE_FIXTURE(Fixture, "a target without samples is tried") {
  Add("known", 5, 100);
  Add("new", 0, 0);
  CHECK(Send(10)["new"] > 0);
}

// Pattern: the bottleneck is the network link of the target's VM, not its slots.
TEST_CASE_FIXTURE(Fixture,
                  "large responses avoid a VM whose link is busy, small ones do not mind") {
  Add("fast", 0, 80);
  Add("slow", 0, 120);
  wire::TargetStatus busy;
  busy.instance = "i-fast";
  busy.service_name = "desk";
  busy.state = wire::TargetState::kUp;
  busy.slots = 10;
  busy.load.service_time_us = 80'000;
  busy.slowdown_permille = 800;
  busy.egress_wait_us = 300'000;
  placement.Update(kStart, "fast", "a", busy);
  CHECK(Send(1, 90 * 1024, milliseconds(1000))["slow"] == 1);
  CHECK(Send(1, 1000, milliseconds(1000))["fast"] == 1);
}

TEST_CASE_FIXTURE(Fixture, "a silent node is avoided until it is heard of again") {
  Add("a", 0, 100);
  Add("b", 0, 100);
  placement.OnUnresponsive(kStart, "a");
  CHECK(Send(10)["a"] == 0);
  Add("a", 0, 100);
  CHECK(Send(10)["a"] > 0);
}

TEST_CASE_FIXTURE(Fixture, "excluded, unreachable and other services' targets are not chosen") {
  Add("a", 0, 100);
  Add("b", 0, 100);
  placement.SetReachable("b", false);
  CHECK_FALSE(placement.Choose(kStart, {"desk"}, {"a"}));
  CHECK_FALSE(placement.Choose(kStart, {"store"}, {}));
  CHECK(placement.Choose(kStart, {"desk"}, {})->node == "a");
}

}  // namespace
}  // namespace limpet
