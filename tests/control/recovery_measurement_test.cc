#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

#include "limpet/wire/codec.h"
#include "support/changes.h"
#include "support/fake_mesh.h"

namespace limpet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kNodesPerDataCentre = 10;
const char* const kDataCentres[] = {"cork", "limerick", "tralee"};

/// A simulated mesh of 30 nodes in 3 data centres that all have version 1.
class RecoveryRun {
 public:
  RecoveryRun() : mesh(1) {
    for (const char* data_centre : kDataCentres) {
      for (int i = 0; i < kNodesPerDataCentre; ++i) {
        mesh.Start(MakeNodeName(data_centre, i), data_centre);
      }
    }
    mesh.Run(seconds(15));
    Publish();
    mesh.Run(seconds(10));
  }

  static std::string MakeNodeName(const std::string& data_centre, int index) {
    return data_centre + "-" + std::to_string(index);
  }

  void Publish() {
    wire::ChangeRecord record;
    record.base = version;
    record.delta.set_services = {test::MakeService("s" + std::to_string(version))};
    version = mesh.log.Append("config", wire::Encode(record));
  }

  void ForEachNode(const std::function<bool(const test::FakeMesh::Node&)>& is_selected,
                   const std::function<void(const std::string&)>& action) {
    for (const auto& [name, node] : mesh.nodes()) {
      if (is_selected(node)) {
        action(name);
      }
    }
  }

  /// Runs until every node is ready at the newest version, for at most 120 s. Returns the virtual
  /// time that this took.
  Duration RunUntilRecovered() {
    const TimePoint start = mesh.now();
    while (!IsRecovered() && mesh.now() - start < seconds(120)) {
      mesh.Run(milliseconds(10));
    }
    return mesh.now() - start;
  }

  test::FakeMesh mesh;
  int64_t version = 0;

 private:
  bool IsRecovered() {
    return std::all_of(mesh.nodes().begin(), mesh.nodes().end(), [this](const auto& entry) {
      const auto& plane = entry.second.plane;
      return plane && plane->IsReady() && plane->snapshot()->version() == version;
    });
  }
};

struct Fault {
  const char* name;
  /// Injects the fault, publishes a change and ends the fault.
  std::function<void(RecoveryRun&)> run;
};

bool IsReader(const test::FakeMesh::Node& node) {
  return node.plane && node.plane->IsReader();
}

bool IsInFirstHalf(const test::FakeMesh::Node& node) {
  return node.options.data_centre == kDataCentres[0] && node.options.name.back() < '5';
}

void KillPublishAndRestart(RecoveryRun& run,
                           const std::function<bool(const test::FakeMesh::Node&)>& is_selected) {
  std::vector<std::string> killed;
  run.ForEachNode(is_selected, [&](const std::string& name) { killed.push_back(name); });
  for (const std::string& name : killed) {
    run.mesh.Kill(name);
  }
  run.mesh.Run(seconds(10));
  run.Publish();
  for (const std::string& name : killed) {
    run.mesh.Restart(name);
  }
}

std::vector<Fault> MakeFaults() {
  return {
      {"none", [](RecoveryRun& run) { run.Publish(); }},
      {"half of a data centre returns",
       [](RecoveryRun& run) { KillPublishAndRestart(run, IsInFirstHalf); }},
      {"all readers die, stay dead until the change",
       [](RecoveryRun& run) { KillPublishAndRestart(run, IsReader); }},
      {"every node restarts at once",
       [](RecoveryRun& run) { KillPublishAndRestart(run, [](const auto&) { return true; }); }},
      {"log down for 3 minutes",
       [](RecoveryRun& run) {
         run.mesh.log.status = LogStatus::kUnavailable;
         run.mesh.Run(std::chrono::minutes(3));
         run.mesh.HealAll();
         run.Publish();
       }},
      {"log slow (1 s) and loses half of its answers, not healed",
       [](RecoveryRun& run) {
         run.mesh.log.latency = seconds(1);
         run.mesh.log.lost_responses = 0.5;
         run.Publish();
       }},
      {"two data centres cut for 60 s, one of them from the log",
       [](RecoveryRun& run) {
         run.mesh.Cut(kDataCentres[0], kDataCentres[1]);
         run.mesh.Cut(kDataCentres[0], kDataCentres[2]);
         run.ForEachNode(
             [](const auto& node) { return node.options.data_centre == kDataCentres[0]; },
             [&](const std::string& name) { run.mesh.node(name).log_cut = true; });
         run.Publish();
         run.mesh.Run(seconds(60));
         run.mesh.HealAll();
       }},
      {"readers of a data centre paused for 30 s",
       [](RecoveryRun& run) {
         run.ForEachNode(
             [](const auto& node) {
               return IsReader(node) && node.options.data_centre == kDataCentres[0];
             },
             [&](const std::string& name) { run.mesh.Pause(name); });
         run.mesh.Run(seconds(30));
         run.Publish();
         run.mesh.HealAll();
       }},
  };
}

TEST_CASE("measure recovery" * doctest::skip()) {
  for (const Fault& fault : MakeFaults()) {
    RecoveryRun run;
    fault.run(run);
    const Duration time = run.RunUntilRecovered();
    std::cout << fault.name << ": " << time.count() / 1000 << " ms\n";
    CHECK(time < seconds(120));
  }
}

}  // namespace
}  // namespace limpet
