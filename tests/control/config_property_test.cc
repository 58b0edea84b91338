#include <doctest/doctest.h>

#include <ostream>

#include <rapidcheck/state.h>

#include "control/config_oracle.h"
#include "limpet/wire/codec.h"
#include "support/changes.h"
#include "support/fake_mesh.h"
#include "support/property.h"

namespace limpet {
namespace {

using namespace std::chrono_literals;
using test::Change;
using test::ConfigOracle;
using test::Content;
using test::FakeMesh;

constexpr int kNodes = 8;
/// Number of records per stream that the log retains, and the maximum number of records published
/// before all nodes could read them. Records that expire before any node has read them are lost.
constexpr int kRetainedRecords = 64;
constexpr int kMaxUnreadRecords = 24;

std::string NodeName(int index) {
  return "n" + std::to_string(index);
}
std::string DataCentre(int index) {
  return index < kNodes / 2 ? "dc0" : "dc1";
}

/// State that the preconditions of commands depend on.
struct Model {
  int unread = 0;
};

/// The simulated mesh, and the expected state for the checks.
struct MeshUnderTest {
  struct ProcessStart {
    int64_t log_version = 0;
    int64_t peer_version = 0;
    int disturbances = 0;
    bool log_up = true;
    int log_faults = 0;
    bool is_ready = false;
    int64_t last_version = 0;
    int starts = 0;
  };

  explicit MeshUnderTest(uint64_t seed) : mesh(seed) {
    mesh.log.retained = kRetainedRecords;
    mesh.observer = [this](const std::string& name, const ControlPlane& plane) {
      Observe(name, plane);
    };
    for (int i = 0; i < kNodes; ++i) {
      RecordStart(NodeName(i));
      mesh.Start(NodeName(i), DataCentre(i));
    }
    mesh.Run(10s);
  }

  void RecordStart(const std::string& name) {
    ProcessStart& start = starts[name];
    const int count = start.starts;
    start = {};
    start.starts = count + 1;
    start.log_version = oracle.current_version();
    start.log_up = log_up;
    start.log_faults = log_faults;
    start.disturbances = disturbances;
    if (mesh.now() - last_disturbance < 15s || mesh.loss > 0) {
      return;
    }
    for (auto& [other, node] : mesh.nodes()) {
      if (other != name && mesh.IsRunning(other) && node.plane->IsReady() &&
          node.options.data_centre == mesh.node(name).options.data_centre) {
        start.peer_version = std::max(start.peer_version, node.plane->snapshot()->version());
      }
    }
  }

  void Restart(const std::string& name) {
    mesh.Kill(name);
    RecordStart(name);
    mesh.Restart(name);
  }

  void RecordDisturbance() {
    ++disturbances;
    last_disturbance = mesh.now();
  }

  void Observe(const std::string& name, const ControlPlane& plane) {
    ProcessStart& start = starts[name];
    const ConfigSnapshotPtr snapshot = plane.snapshot();
    if (snapshot->version() != start.last_version) {
      RC_ASSERT(snapshot->version() > start.last_version);
      start.last_version = snapshot->version();
      const Content* expected = oracle.Find(snapshot->version());
      const bool is_accepted = expected != nullptr;
      RC_ASSERT(is_accepted);
      RC_ASSERT(ConfigOracle::ToContent(snapshot->config()) == *expected);
    }
    if (plane.IsReady() && !start.is_ready) {
      start.is_ready = true;
      if (start.log_up && start.log_faults == log_faults) {
        RC_ASSERT(snapshot->version() >= start.log_version);
      }
      if (start.disturbances == disturbances) {
        RC_ASSERT(snapshot->version() >= start.peer_version);
      }
    }
  }

  void Append(const Change& change) {
    wire::ChangeRecord record;
    record.id = std::to_string(++published);
    record.base = change.base;
    for (const auto& [name, timeout] : change.set.services) {
      record.delta.set_services.push_back(test::MakeService(name, timeout));
    }
    for (const auto& [name, service] : change.set.routes) {
      record.delta.set_rules = {test::MakeRule("rule")};
      record.delta.set_routes.push_back(test::MakeRoute(name, service, "rule"));
    }
    if (change.removed_service) {
      record.delta.removed_services = {*change.removed_service};
    }
    oracle.Append(change);
    mesh.log.Append("config", change.malformed ? "garbage" : wire::Encode(record));
  }

  void HealAndCheck() {
    log_up = true;
    mesh.HealAll();
    for (int i = 0; i < kNodes; ++i) {
      if (!mesh.node(NodeName(i)).plane) {
        Restart(NodeName(i));
      }
    }
    RecordDisturbance();
    // The second wait is long enough for the checkpoint lease to expire and a new checkpoint to be
    // written.
    for (const Duration wait : {Duration(11s), Duration(29s)}) {
      mesh.Run(wait);
      for (auto& [name, node] : mesh.nodes()) {
        RC_ASSERT(node.plane->snapshot()->version() == oracle.current_version());
        RC_ASSERT(node.plane->IsReady());
      }
    }
  }

  void SetLog(LogStatus status, double lost_responses, Duration latency) {
    mesh.log.status = status;
    mesh.log.lost_responses = lost_responses;
    mesh.log.latency = latency;
    log_up = status == LogStatus::kOk && lost_responses == 0 && latency < 1s;
    log_faults += log_up ? 0 : 1;
  }

  FakeMesh mesh;
  ConfigOracle oracle;
  std::map<std::string, ProcessStart> starts;
  bool log_up = true;
  int log_faults = 0;
  int disturbances = 0;
  TimePoint last_disturbance;
  int published = 0;
};

using Command = rc::state::Command<Model, MeshUnderTest>;

struct Publish : Command {
  int service = test::DrawInRange(0, 4);
  int timeout = test::DrawInRange(1, 100);
  /// 0 to 4: valid; 5: route to a missing service; 6: stale base; 7: malformed; 8: appended twice;
  /// 9: followed by a conflicting change; 10: removal of a service, which is invalid while a route
  /// uses it.
  int kind = test::DrawInRange(0, 11);
  int count = *rc::gen::element(1, 1, 1, 5, 10);

  void checkPreconditions(const Model& model) const override {
    RC_PRE(model.unread + 2 * count <= kMaxUnreadRecords);
  }
  void apply(Model& model) const override { model.unread += 2 * count; }
  void run(const Model&, MeshUnderTest& sut) const override {
    for (int i = 0; i < count; ++i) {
      Change change;
      change.base = sut.oracle.current_version();
      const std::string name = "s" + std::to_string(service);
      change.set.services[name] = timeout + i;
      change.set.routes["r" + name] = name;
      if (kind == 5) {
        change.set.routes["bad"] = "missing";
      } else if (kind == 6) {
        change.base = std::max<int64_t>(0, change.base - 1);
        change.set.services["stale"] = 1;
      } else if (kind == 7) {
        change.malformed = true;
      } else if (kind == 10) {
        change.set = {};
        change.removed_service = name;
      }
      sut.Append(change);
      if (kind == 8) {
        sut.Append(change);
      } else if (kind == 9) {
        change.set.services["loser"] = 1;
        sut.Append(change);
      }
    }
  }
  void show(std::ostream& os) const override {
    os << "Publish(kind " << kind << ", s" << service << ", " << timeout << ", x" << count << ")";
  }
};

struct Run : Command {
  int millis = *rc::gen::element(50, 300, 1000, 3000, 8000, 16000);
  void run(const Model&, MeshUnderTest& sut) const override {
    sut.mesh.Run(std::chrono::milliseconds(millis));
  }
  void show(std::ostream& os) const override { os << "Run(" << millis << " ms)"; }
};

struct Connection : Command {
  int a = test::DrawInRange(0, kNodes);
  int b = test::DrawInRange(0, kNodes);
  bool between_data_centres = *rc::gen::arbitrary<bool>();
  bool cut = *rc::gen::arbitrary<bool>();
  void run(const Model&, MeshUnderTest& sut) const override {
    sut.RecordDisturbance();
    const std::string from = between_data_centres ? "dc0" : NodeName(a);
    const std::string to = between_data_centres ? "dc1" : NodeName(b);
    cut ? sut.mesh.Cut(from, to) : sut.mesh.Heal(from, to);
  }
  void show(std::ostream& os) const override {
    os << (cut ? "Cut(" : "Heal(")
       << (between_data_centres ? "dc0, dc1" : NodeName(a) + ", " + NodeName(b)) << ")";
  }
};

struct Process : Command {
  int node = test::DrawInRange(0, kNodes);
  int action = test::DrawInRange(0, 5);
  void run(const Model&, MeshUnderTest& sut) const override {
    const std::string name = NodeName(node);
    if (action == 0) {
      sut.RecordDisturbance();
      sut.mesh.Pause(name);
    } else if (action == 1) {
      sut.RecordDisturbance();
      sut.mesh.Resume(name);
    } else if (action == 2) {
      sut.RecordDisturbance();
      sut.mesh.Kill(name);
    } else {
      sut.Restart(name);
    }
  }
  void show(std::ostream& os) const override {
    static const char* const kActions[] = {"Pause", "Resume", "Kill", "Restart", "Restart"};
    os << kActions[action] << "(" << NodeName(node) << ")";
  }
};

struct KillAll : Command {
  void run(const Model&, MeshUnderTest& sut) const override {
    sut.RecordDisturbance();
    for (int i = 0; i < kNodes; ++i) {
      sut.mesh.Kill(NodeName(i));
    }
  }
  void show(std::ostream& os) const override { os << "KillAll"; }
};

struct Log : Command {
  int action = test::DrawInRange(0, 8);
  void run(const Model&, MeshUnderTest& sut) const override {
    static constexpr LogStatus kStatuses[] = {LogStatus::kOk,
                                              LogStatus::kOk,
                                              LogStatus::kUnavailable,
                                              LogStatus::kThrottled,
                                              LogStatus::kMalformedResponse,
                                              LogStatus::kUnknownOutcome};
    if (action < 6) {
      sut.SetLog(kStatuses[action], 0, 2ms);
    } else if (action == 6) {
      sut.SetLog(LogStatus::kOk, 0.4, 2ms);
    } else {
      sut.SetLog(LogStatus::kOk, 0, 3s);
    }
  }
  void show(std::ostream& os) const override { os << "Log(" << action << ")"; }
};

struct Noise : Command {
  double loss = *rc::gen::element(0.0, 0.1, 0.5);
  double duplication = *rc::gen::element(0.0, 0.3);
  double reordering = *rc::gen::element(0.0, 0.5);
  void run(const Model&, MeshUnderTest& sut) const override {
    sut.RecordDisturbance();
    sut.mesh.loss = loss;
    sut.mesh.duplication = duplication;
    sut.mesh.reordering = reordering;
  }
  void show(std::ostream& os) const override {
    os << "Noise(" << loss << ", " << duplication << ", " << reordering << ")";
  }
};

struct RepeatOld : Command {
  int count = test::DrawInRange(1, 20);
  void run(const Model&, MeshUnderTest& sut) const override {
    for (int i = 0; i < count; ++i) {
      sut.mesh.RedeliverRecentConfig();
    }
  }
  void show(std::ostream& os) const override { os << "RepeatOld(" << count << ")"; }
};

struct Settle : Command {
  void apply(Model& model) const override { model.unread = 0; }
  void run(const Model&, MeshUnderTest& sut) const override { sut.HealAndCheck(); }
  void show(std::ostream& os) const override { os << "Settle"; }
};

TEST_CASE("under faults every node applies only accepted versions, in order, and converges") {
  CHECK(test::CheckProperty("configuration and log", 7, 200, 60, [] {
    MeshUnderTest sut(*rc::gen::arbitrary<uint64_t>());
    rc::state::check(Model(), sut,
                     rc::state::gen::execOneOfWithArgs<Publish, Publish, Publish, Run, Run, Run,
                                                       Connection, Process, Process, KillAll, Log,
                                                       Noise, RepeatOld, Settle>());
    sut.HealAndCheck();
  }));
}

}  // namespace
}  // namespace limpet
