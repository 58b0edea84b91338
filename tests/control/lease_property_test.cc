#include <doctest/doctest.h>

#include <ostream>

#include <rapidcheck/state.h>

#include "control/lease_oracle.h"
#include "limpet/configlog/system_replay.h"
#include "limpet/wire/codec.h"
#include "support/fake_mesh.h"
#include "support/property.h"

namespace limpet {
namespace {

using namespace std::chrono_literals;
using test::FakeMesh;
using test::LeaseOracle;

constexpr int kNodes = 6;

std::string NodeName(int index) {
  return "n" + std::to_string(index);
}

struct Model {};

struct World {
  explicit World(uint64_t seed) : mesh(seed) {
    for (int i = 0; i < kNodes; ++i) {
      mesh.Start(NodeName(i), i % 2 == 0 ? "dc0" : "dc1");
    }
    mesh.Run(20s);
    Check();
  }

  /// Replays what was appended since the last call, next to the oracle.
  void Check() {
    const test::FakeLog::Stream& stream = mesh.log.stream("system");
    for (; next < stream.end(); ++next) {
      const std::string& payload = stream.records[static_cast<std::size_t>(next - 1)];
      wire::SystemRecord record;
      wire::Decode(payload, record);
      const SystemRecordKind kind = replay.Apply({next, payload}, mesh.now());
      if (record.__isset.claim) {
        oracle.Claim(record.claim.lease, next);
        last_claim_at[record.claim.lease] = mesh.now();
        RC_ASSERT(kind == SystemRecordKind::kClaim);
      } else if (record.__isset.status) {
        CheckStatus(record.status, kind);
      } else if (record.__isset.roster) {
        const bool counts =
            oracle.Counts("status/" + record.roster.data_centre, record.roster.token);
        RC_ASSERT((kind == SystemRecordKind::kRoster) == counts);
      } else {
        const bool counts =
            oracle.CountsCheckpoint(record.checkpoint.token, record.checkpoint.config.next_offset);
        RC_ASSERT((kind == SystemRecordKind::kCheckpoint) == counts);
      }
    }
  }

  void CheckStatus(wire::StatusRecord status, SystemRecordKind kind) {
    const bool counts = oracle.Counts("status/" + status.data_centre, status.token);
    RC_ASSERT((kind == SystemRecordKind::kStatus) == counts);
    if (!counts) {
      return;
    }
    RC_ASSERT(replay.statuses().at(status.data_centre) == status);
    // A holder that lost an answer and did not read back would write the same record again.
    status.token = 0;
    RC_ASSERT(statuses[status.data_centre] != status);
    statuses[status.data_centre] = status;
  }

  void Settle() {
    mesh.HealAll();
    for (int i = 0; i < kNodes; ++i) {
      if (!mesh.node(NodeName(i)).plane) {
        mesh.Restart(NodeName(i));
      }
    }
    mesh.Run(60s);
    Check();
    for (const std::string& lease : {"checkpoint", "status/dc0", "status/dc1"}) {
      int holders = 0;
      for (auto& [name, node] : mesh.nodes()) {
        const std::vector<std::string> held = node.plane->HeldLeases();
        holders += static_cast<int>(std::ranges::count(held, lease));
      }
      RC_ASSERT(holders == 1);
    }
    const auto before = oracle.claims();
    mesh.Run(5s);
    Check();
    for (const auto& [lease, offset] : oracle.claims()) {
      RC_ASSERT(offset > before.at(lease));
    }
  }

  FakeMesh mesh;
  int64_t next = 1;
  SystemReplay replay;
  LeaseOracle oracle;
  std::map<std::string, TimePoint> last_claim_at;
  std::map<std::string, wire::StatusRecord> statuses;
};

using Command = rc::state::Command<Model, World>;

struct Run : Command {
  int millis = *rc::gen::element(50, 500, 2000, 6000, 12000);
  void run(const Model&, World& world) const override {
    world.mesh.Run(std::chrono::milliseconds(millis));
    world.Check();
  }
  void show(std::ostream& os) const override { os << "Run(" << millis << " ms)"; }
};

struct Process : Command {
  int node = test::AnyOf(0, kNodes);
  int action = test::AnyOf(0, 6);
  void run(const Model&, World& world) const override {
    const std::string name = NodeName(node);
    if (action < 2) {
      world.mesh.Pause(name);
    } else if (action < 4) {
      world.mesh.Resume(name);
    } else if (action == 4) {
      world.mesh.Kill(name);
    } else {
      world.mesh.Restart(name);
    }
  }
  void show(std::ostream& os) const override {
    static const char* const kActions[] = {"Pause", "Pause", "Resume", "Resume", "Kill", "Restart"};
    os << kActions[action] << "(" << NodeName(node) << ")";
  }
};

/// Pauses whoever holds a lease, for longer or shorter than it lasts.
struct PauseHolder : Command {
  std::string lease = *rc::gen::element<std::string>("checkpoint", "status/dc0", "status/dc1");
  int millis = *rc::gen::element(2000, 9000, 14000, 25000);
  void run(const Model&, World& world) const override {
    for (auto& [name, node] : world.mesh.nodes()) {
      if (world.mesh.IsRunning(name) && std::ranges::count(node.plane->HeldLeases(), lease) > 0) {
        world.mesh.Pause(name);
        world.mesh.Run(std::chrono::milliseconds(millis));
        world.mesh.Resume(name);
      }
    }
    world.Check();
  }
  void show(std::ostream& os) const override {
    os << "PauseHolder(" << lease << ", " << millis << " ms)";
  }
};

/// A record written under a claim of any age arrives late.
struct LateRecord : Command {
  int back = test::AnyOf(0, 40);
  bool is_checkpoint = *rc::gen::arbitrary<bool>();
  void run(const Model&, World& world) const override {
    wire::SystemRecord record;
    const int64_t token = std::max<int64_t>(0, world.next - back);
    if (is_checkpoint) {
      record.checkpoint.token = token;
      record.checkpoint.config.next_offset = back;
      record.__isset.checkpoint = true;
    } else {
      record.status.token = token;
      record.status.data_centre = "dc0";
      record.status.members = 1000 + back;
      record.__isset.status = true;
    }
    world.mesh.log.Append("system", wire::Encode(record));
    world.Check();
  }
  void show(std::ostream& os) const override {
    os << "LateRecord(" << (is_checkpoint ? "checkpoint" : "status") << ", " << back << ")";
  }
};

struct Log : Command {
  int action = test::AnyOf(0, 6);
  void run(const Model&, World& world) const override {
    world.mesh.log.status = action == 0 ? LogStatus::kUnavailable : LogStatus::kOk;
    world.mesh.log.lost_responses = action == 1 || action == 2 ? 0.4 : 0;
    world.mesh.log.latency = action == 3 ? 1500ms : 2ms;
  }
  void show(std::ostream& os) const override { os << "Log(" << action << ")"; }
};

TEST_CASE("a fenced holder changes nothing, and each lease ends up with one holder") {
  CHECK(test::CheckProperty("leases", 11, 100, 50, [] {
    World world(*rc::gen::arbitrary<uint64_t>());
    rc::state::check(
        Model(), world,
        rc::state::gen::execOneOfWithArgs<Run, Run, Process, PauseHolder, LateRecord, Log>());
    world.Settle();
  }));
}

}  // namespace
}  // namespace limpet
