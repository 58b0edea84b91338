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
  switch (random.NextBelow(10)) {
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
      sim.LoseConfigs(node, duration);
      break;
    case 6:
      sim.RestoreStore(random.NextBelow(4));
      break;
    case 7:
      // Nobody knows what the store lost.
      sim.RestoreStore(random.NextBelow(4));
      sim.RestartAll();
      break;
    case 8:
      sim.RestartAll();
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

/// What happens to the store and the nodes before all nodes restart for the last time.
struct RestoreCase {
  const char* name;
  void (*play)(RevocationSim& sim);
};

constexpr RestoreCase kRestoreCases[] = {
    {"long after a restore",
     [](RevocationSim& sim) {
       sim.RestoreStore(1);
       sim.RunFor(seconds(30));
     }},
    {"as the operator's second write is acknowledged",
     [](RevocationSim& sim) {
       sim.RestoreStore(1);
       const std::size_t restored = sim.record_count();
       while (sim.record_count() == restored) {
         sim.RunFor(milliseconds(1));
       }
     }},
    {"with the restore", [](RevocationSim& sim) { sim.RestoreStore(2); }},
    {"long after a second restore",
     [](RevocationSim& sim) {
       sim.RestoreStore(1);
       sim.RunFor(seconds(20));
       sim.RestoreStore(2);
       sim.RunFor(seconds(20));
     }},
    {"after a restore that lost nothing",
     [](RevocationSim& sim) {
       sim.RestoreStore(0);
       sim.RunFor(seconds(2));
     }},
    {"during a restore while no process runs",
     [](RevocationSim& sim) {
       sim.RestartAll();
       sim.RestoreStore(0);
     }},
};

// Guards against nodes that refuse all keys after a restart, because none of them knows whether the
// present epoch of the store is complete.
TEST_CASE("a valid key is served 15 s after all nodes restarted, whatever the store went through") {
  for (const RestoreCase& restore_case : kRestoreCases) {
    CAPTURE(restore_case.name);
    for (uint64_t seed = 1; seed <= 20; ++seed) {
      CAPTURE(seed);
      RevocationSim sim(seed, kNodes);
      sim.RunFor(seconds(3));
      sim.Publish(true);
      sim.Publish(true);
      sim.RunFor(seconds(3));
      restore_case.play(sim);
      sim.RestartAll();
      sim.RunFor(seconds(15));
      const int served = sim.served;
      for (int i = 0; i < 20; ++i) {
        sim.Request(i % kNodes, sim.CurrentKey());
        sim.RunFor(milliseconds(100));
      }
      CHECK(sim.served - served == 20);
    }
  }
}

// Guards against an outage of some seconds at every restart, once the store was ever restored.
TEST_CASE("a restart long after a restore is served as soon as one without a restore") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    RevocationSim sim(seed, kNodes);
    sim.RunFor(seconds(3));
    sim.Publish(true);
    sim.RestoreStore(1);
    sim.RunFor(seconds(30));
    sim.RestartAll();
    sim.RunFor(seconds(4));
    const int served = sim.served;
    for (int i = 0; i < 20; ++i) {
      sim.Request(i % kNodes, sim.CurrentKey());
      sim.RunFor(milliseconds(100));
    }
    CHECK(sim.served - served == 20);
  }
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
