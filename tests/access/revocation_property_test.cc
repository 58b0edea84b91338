#include <doctest/doctest.h>

#include "access/revocation_sim.h"

namespace limpet::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kNodes = 5;

void PlayRandomFault(RevocationSim& sim) {
  Random& random = sim.random();
  const auto node = static_cast<int>(random.NextBelow(kNodes));
  const Duration duration = milliseconds(100 + random.NextBelow(9000));
  switch (random.NextBelow(7)) {
    case 0:
      sim.Restart(node);
      break;
    case 1:
      sim.Freeze(node, duration);
      break;
    case 2:
      sim.CutFromStore(node, duration);
      break;
    case 3:
      sim.CutFromNodes(node, duration);
      break;
    case 4:
      sim.StallStore(Scale(duration, 0.5));
      break;
    case 5:
      sim.RestoreStore(random.NextBelow(4));
      break;
    default:
      // A node that is alone with a restored store.
      sim.CutFromNodes(node, duration);
      sim.RestoreStore(1 + random.NextBelow(2));
      sim.Restart(node);
      break;
  }
}

// Guards against a removed key that is served at any node, whatever fails.
TEST_CASE("no request that is sent later than the revocation time after a removal runs") {
  int served = 0;
  for (uint64_t seed = 1; seed <= 150; ++seed) {
    CAPTURE(seed);
    RevocationSim sim(seed, kNodes);
    for (int step = 0; step < 1200; ++step) {
      if (sim.random().NextBelow(20) == 0) {
        PlayRandomFault(sim);
      }
      if (sim.random().NextBelow(30) == 0) {
        sim.Publish(true);
      }
      for (int node = 0; node < kNodes; ++node) {
        sim.Request(node, sim.RecentKey());
      }
      sim.RunFor(milliseconds(100));
    }
    REQUIRE(sim.violations == 0);
    served += sim.served;
  }
  // The rule is not kept by refusing everything.
  CHECK(served > 10'000);
}

// Guards against proofs that are too old although nothing fails.
TEST_CASE("without faults no request with a valid key is refused") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    RevocationSim sim(seed, kNodes);
    sim.RunFor(seconds(2));
    for (int step = 0; step < 300; ++step) {
      sim.Request(static_cast<int>(sim.random().NextBelow(kNodes)), sim.CurrentKey());
      sim.RunFor(milliseconds(100));
    }
    CHECK(sim.refused == 0);
    CHECK(sim.served > 290);
  }
}

// Guards against refusals in an outage of the store of 0.6 of the revocation time.
TEST_CASE("an unresponsive store is tolerated for 0.6 of the revocation time") {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    RevocationSim sim(seed, kNodes);
    sim.RunFor(seconds(4) + milliseconds(37 * seed));
    sim.StallStore(Scale(RevocationSim::kRevocationTime, 0.6));
    for (int step = 0; step < 500; ++step) {
      sim.Request(static_cast<int>(sim.random().NextBelow(kNodes)), sim.CurrentKey());
      sim.RunFor(milliseconds(20));
    }
    CHECK(sim.refused == 0);
  }
}

}  // namespace
}  // namespace limpet::test
