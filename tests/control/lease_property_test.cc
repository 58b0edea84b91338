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

/// The simulated mesh, and the expected state for the checks.
struct MeshUnderTest {
  explicit MeshUnderTest(uint64_t seed) : mesh(seed) {
    for (int i = 0; i < kNodes; ++i) {
      mesh.Start(NodeName(i), i % 2 == 0 ? "dc0" : "dc1");
    }
    mesh.Run(20s);
    CheckNewRecords();
  }

  /// Replays the records appended since the last call and compares each result with the oracle.
  void CheckNewRecords() {
    const test::FakeLog::Stream& stream = mesh.log.stream("system");
    for (; next_offset < stream.end(); ++next_offset) {
      const std::string& payload = stream.records[static_cast<std::size_t>(next_offset - 1)];
      wire::SystemRecord record;
      wire::Decode(payload, record);
      const SystemRecordKind kind = replay.Apply({next_offset, payload}, mesh.now());
      if (record.__isset.claim) {
        oracle.RecordClaim(record.claim.lease, next_offset);
        last_claim_at[record.claim.lease] = mesh.now();
        RC_ASSERT(kind == SystemRecordKind::kClaim);
      } else if (record.__isset.status) {
        CheckStatus(record.status, kind);
      } else if (record.__isset.roster) {
        const bool is_valid =
            oracle.IsValid("status/" + record.roster.data_centre, record.roster.token);
        RC_ASSERT((kind == SystemRecordKind::kRoster) == is_valid);
      } else {
        const bool is_valid =
            oracle.ApplyCheckpoint(record.checkpoint.token, record.checkpoint.config.next_offset);
        RC_ASSERT((kind == SystemRecordKind::kCheckpoint) == is_valid);
      }
    }
  }

  void CheckStatus(wire::StatusRecord status, SystemRecordKind kind) {
    const bool is_valid = oracle.IsValid("status/" + status.data_centre, status.token);
    RC_ASSERT((kind == SystemRecordKind::kStatus) == is_valid);
    if (!is_valid) {
      return;
    }
    RC_ASSERT(replay.statuses().at(status.data_centre) == status);
    // A holder that does not read the stream after a lost response would write the same record
    // twice.
    status.token = 0;
    RC_ASSERT(statuses[status.data_centre] != status);
    statuses[status.data_centre] = status;
  }

  void HealAndCheck() {
    mesh.HealAll();
    for (int i = 0; i < kNodes; ++i) {
      if (!mesh.node(NodeName(i)).plane) {
        mesh.Restart(NodeName(i));
      }
    }
    mesh.Run(60s);
    CheckNewRecords();
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
    CheckNewRecords();
    for (const auto& [lease, offset] : oracle.claims()) {
      RC_ASSERT(offset > before.at(lease));
    }
  }

  FakeMesh mesh;
  int64_t next_offset = 1;
  SystemReplay replay;
  LeaseOracle oracle;
  std::map<std::string, TimePoint> last_claim_at;
  std::map<std::string, wire::StatusRecord> statuses;
};

using Command = rc::state::Command<Model, MeshUnderTest>;

struct Run : Command {
  int millis = *rc::gen::element(50, 500, 2000, 6000, 12000);
  void run(const Model&, MeshUnderTest& sut) const override {
    sut.mesh.Run(std::chrono::milliseconds(millis));
    sut.CheckNewRecords();
  }
  void show(std::ostream& os) const override { os << "Run(" << millis << " ms)"; }
};

struct Process : Command {
  int node = test::DrawInRange(0, kNodes);
  int action = test::DrawInRange(0, 6);
  void run(const Model&, MeshUnderTest& sut) const override {
    const std::string name = NodeName(node);
    if (action < 2) {
      sut.mesh.Pause(name);
    } else if (action < 4) {
      sut.mesh.Resume(name);
    } else if (action == 4) {
      sut.mesh.Kill(name);
    } else {
      sut.mesh.Restart(name);
    }
  }
  void show(std::ostream& os) const override {
    static const char* const kActions[] = {"Pause", "Pause", "Resume", "Resume", "Kill", "Restart"};
    os << kActions[action] << "(" << NodeName(node) << ")";
  }
};

/// Pauses the holder of a lease for a time that is shorter or longer than the lease duration.
struct PauseHolder : Command {
  std::string lease = *rc::gen::element<std::string>("checkpoint", "status/dc0", "status/dc1");
  int millis = *rc::gen::element(2000, 9000, 14000, 25000);
  void run(const Model&, MeshUnderTest& sut) const override {
    for (auto& [name, node] : sut.mesh.nodes()) {
      if (sut.mesh.IsRunning(name) && std::ranges::count(node.plane->HeldLeases(), lease) > 0) {
        sut.mesh.Pause(name);
        sut.mesh.Run(std::chrono::milliseconds(millis));
        sut.mesh.Resume(name);
      }
    }
    sut.CheckNewRecords();
  }
  void show(std::ostream& os) const override {
    os << "PauseHolder(" << lease << ", " << millis << " ms)";
  }
};

/// Appends a record with the token of an older claim, as a delayed append would.
struct LateRecord : Command {
  int offsets_back = test::DrawInRange(0, 40);
  bool is_checkpoint = *rc::gen::arbitrary<bool>();
  void run(const Model&, MeshUnderTest& sut) const override {
    wire::SystemRecord record;
    const int64_t token = std::max<int64_t>(0, sut.next_offset - offsets_back);
    if (is_checkpoint) {
      record.checkpoint.token = token;
      record.checkpoint.config.next_offset = offsets_back;
      record.__isset.checkpoint = true;
    } else {
      record.status.token = token;
      record.status.data_centre = "dc0";
      record.status.members = 1000 + offsets_back;
      record.__isset.status = true;
    }
    sut.mesh.log.Append("system", wire::Encode(record));
    sut.CheckNewRecords();
  }
  void show(std::ostream& os) const override {
    os << "LateRecord(" << (is_checkpoint ? "checkpoint" : "status") << ", " << offsets_back << ")";
  }
};

struct Log : Command {
  int action = test::DrawInRange(0, 6);
  void run(const Model&, MeshUnderTest& sut) const override {
    sut.mesh.log.status = action == 0 ? LogStatus::kUnavailable : LogStatus::kOk;
    sut.mesh.log.lost_responses = action == 1 || action == 2 ? 0.4 : 0;
    sut.mesh.log.latency = action == 3 ? 1500ms : 2ms;
  }
  void show(std::ostream& os) const override { os << "Log(" << action << ")"; }
};

TEST_CASE("records of fenced holders have no effect, and each lease gets exactly one holder") {
  CHECK(test::CheckProperty("leases", 11, 100, 50, [] {
    MeshUnderTest sut(*rc::gen::arbitrary<uint64_t>());
    rc::state::check(
        Model(), sut,
        rc::state::gen::execOneOfWithArgs<Run, Run, Process, PauseHolder, LateRecord, Log>());
    sut.HealAndCheck();
  }));
}

}  // namespace
}  // namespace limpet
