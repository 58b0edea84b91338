#include "limpet/control/control_plane.h"

#include <doctest/doctest.h>

#include "limpet/wire/codec.h"
#include "support/changes.h"
#include "support/fake_mesh.h"

namespace limpet {
namespace {

using namespace std::chrono_literals;
using test::FakeMesh;

int64_t Publish(FakeMesh& mesh, int64_t base, const std::string& id) {
  wire::ChangeRecord record;
  record.id = id;
  record.base = base;
  record.delta.set_services = {test::MakeService("service-" + id)};
  return mesh.log.Append("config", wire::Encode(record));
}

void StartAll(FakeMesh& mesh, int per_data_centre, int data_centres = 2) {
  for (int i = 0; i < per_data_centre; ++i) {
    for (int dc = 0; dc < data_centres; ++dc) {
      mesh.Start("n" + std::to_string(dc) + "-" + std::to_string(i), "dc" + std::to_string(dc));
    }
  }
}

bool IsEveryNodeAt(FakeMesh& mesh, int64_t version) {
  return std::ranges::all_of(mesh.nodes(), [&](const auto& entry) {
    return !entry.second.plane || entry.second.plane->snapshot()->version() == version;
  });
}

bool IsEveryNodeReady(FakeMesh& mesh) {
  return std::ranges::all_of(mesh.nodes(), [&](const auto& entry) {
    return !entry.second.plane || entry.second.plane->IsReady();
  });
}

int64_t SumCounter(FakeMesh& mesh, const std::string& counter) {
  int64_t sum = 0;
  for (auto& [name, node] : mesh.nodes()) {
    sum += node.counters ? node.counters->Get(counter).value() : 0;
  }
  return sum;
}

TEST_CASE("a published change reaches every node within two seconds") {
  FakeMesh mesh(1);
  StartAll(mesh, 10);
  mesh.Run(10s);
  REQUIRE(IsEveryNodeReady(mesh));
  const int64_t version = Publish(mesh, 0, "a");
  mesh.Run(2s);
  CHECK(IsEveryNodeAt(mesh, version));
}

TEST_CASE("two nodes of each data centre read the log, and others replace them when they fail") {
  FakeMesh mesh(2);
  StartAll(mesh, 6);
  mesh.Run(15s);
  std::vector<std::string> readers;
  for (auto& [name, node] : mesh.nodes()) {
    if (node.plane->IsReader()) {
      readers.push_back(name);
    }
  }
  CHECK(readers.size() == 4);
  for (const std::string& reader : readers) {
    mesh.Kill(reader);
  }
  mesh.Run(8s);
  const int64_t version = Publish(mesh, 0, "a");
  mesh.Run(11s);
  CHECK(IsEveryNodeAt(mesh, version));
}

TEST_CASE("a data centre that cannot reach the log gets changes from the other data centre") {
  FakeMesh mesh(3);
  StartAll(mesh, 5);
  mesh.Run(10s);
  for (auto& [name, node] : mesh.nodes()) {
    node.log_cut = node.options.data_centre == "dc1";
  }
  const int64_t version = Publish(mesh, 0, "a");
  mesh.Run(11s);
  CHECK(IsEveryNodeAt(mesh, version));
}

TEST_CASE("a restarted node gets its configuration from peers while the log is unavailable") {
  FakeMesh mesh(4);
  StartAll(mesh, 4);
  mesh.Run(10s);
  const int64_t version = Publish(mesh, 0, "a");
  mesh.Run(2s);
  mesh.log.status = LogStatus::kUnavailable;
  mesh.Restart("n0-2");
  mesh.Run(15s);
  CHECK(mesh.node("n0-2").plane->IsReady());
  CHECK(IsEveryNodeAt(mesh, version));
}

TEST_CASE("no node becomes ready without a ready peer and without the log") {
  FakeMesh mesh(5);
  mesh.log.status = LogStatus::kUnavailable;
  StartAll(mesh, 3);
  mesh.Run(30s);
  for (auto& [name, node] : mesh.nodes()) {
    CHECK_FALSE(node.plane->IsReady());
  }
  mesh.log.status = LogStatus::kOk;
  mesh.Run(20s);
  CHECK(IsEveryNodeReady(mesh));
}

TEST_CASE("after a restart of all nodes the newest checkpoint replaces expired records") {
  FakeMesh mesh(6);
  mesh.log.retained = 60;
  StartAll(mesh, 3);
  mesh.Run(15s);
  int64_t version = 0;
  for (int i = 0; i < 150; ++i) {
    version = Publish(mesh, version, std::to_string(i));
    mesh.Run(500ms);
  }
  mesh.Run(5s);
  REQUIRE(IsEveryNodeAt(mesh, version));
  REQUIRE(mesh.log.stream("config").first > 1);
  for (auto& [name, node] : mesh.nodes()) {
    mesh.Kill(name);
  }
  mesh.Run(5s);
  for (auto& [name, node] : mesh.nodes()) {
    mesh.Restart(name);
  }
  mesh.Run(30s);
  CHECK(IsEveryNodeReady(mesh));
  CHECK(IsEveryNodeAt(mesh, version));
}

TEST_CASE("malformed and hostile messages are counted and do not change the configuration") {
  FakeMesh mesh(7);
  StartAll(mesh, 3);
  mesh.Run(10s);
  Publish(mesh, 0, "a");
  mesh.Run(2s);
  ControlPlane& plane = *mesh.node("n0-0").plane;
  const wire::FullConfig before = plane.snapshot()->config();
  wire::Envelope envelope;
  mesh.Inject("n0-0", envelope);
  envelope.sender = "stranger";
  envelope.sender_host = "10.9.9.9";
  envelope.sender_port = 9;
  mesh.Inject("n0-0", envelope);
  CHECK(mesh.node("n0-0").counters->Get("control_messages_malformed").value() == 2);

  wire::Envelope invalid = envelope;
  invalid.message.checkpoint_reply.config.version = 1000;
  invalid.message.checkpoint_reply.config.routes = {test::MakeRoute("r", "missing", "missing")};
  invalid.message.__isset.checkpoint_reply = true;
  mesh.Inject("n0-0", invalid);
  CHECK(plane.refusal()->version == 1000);

  wire::Envelope older = envelope;
  older.message.checkpoint_reply.config.version = -5;
  older.message.__isset.checkpoint_reply = true;
  mesh.Inject("n0-0", older);
  CHECK(plane.snapshot()->config() == before);

  wire::Envelope claim = envelope;
  claim.message.ping.version = INT64_MAX;
  claim.message.__isset.ping = true;
  wire::Envelope refusal = envelope;
  refusal.message.checkpoint_refusal.retry_after_ms = INT32_MIN;
  refusal.message.__isset.checkpoint_refusal = true;
  for (int i = 0; i < 100; ++i) {
    mesh.Inject("n0-0", claim);
    mesh.Inject("n0-0", refusal);
    mesh.Run(200ms);
  }
  CHECK(plane.snapshot()->config() == before);
  const int64_t version = Publish(mesh, 1, "b");
  mesh.Run(11s);
  CHECK(IsEveryNodeAt(mesh, version));
}

TEST_CASE("the status record names a node that refuses a version") {
  FakeMesh mesh(8);
  StartAll(mesh, 4, 1);
  mesh.Run(25s);
  wire::Envelope invalid;
  invalid.sender = "n0-1";
  invalid.sender_host = "10.0.0.1";
  invalid.sender_port = mesh.node("n0-1").options.port;
  invalid.message.checkpoint_reply.config.version = 1000;
  invalid.message.checkpoint_reply.config.routes = {test::MakeRoute("r", "missing", "missing")};
  invalid.message.__isset.checkpoint_reply = true;
  mesh.Inject("n0-0", invalid);
  mesh.Run(10s);
  std::vector<wire::NodeRefusal> refusals;
  for (const std::string& payload : mesh.log.stream("system").records) {
    wire::SystemRecord record;
    wire::Decode(payload, record);
    if (record.__isset.status) {
      refusals = record.status.refusals;
    }
  }
  REQUIRE(refusals.size() == 1);
  CHECK(refusals[0].node == "n0-0");
  CHECK(refusals[0].version == 1000);
  CHECK_FALSE(refusals[0].reason.empty());
}

// Guards against a node that is paused, stops being a reader and still reports the lease that it
// held when it last read the stream. Found by the property test of leases.
TEST_CASE("a lease holder that was replaced while it was paused reports no lease afterwards") {
  FakeMesh mesh(11);
  StartAll(mesh, 4, 1);
  mesh.Run(20s);
  const auto holders = [&] {
    std::vector<std::string> names;
    for (auto& [name, node] : mesh.nodes()) {
      if (std::ranges::count(node.plane->HeldLeases(), "status/dc0") > 0) {
        names.push_back(name);
      }
    }
    return names;
  };
  REQUIRE(holders().size() == 1);
  mesh.Pause(holders()[0]);
  mesh.Run(25s);
  for (auto& [name, node] : mesh.nodes()) {
    if (node.paused) {
      mesh.Resume(name);
    }
  }
  mesh.Run(30s);
  CHECK(holders().size() == 1);
}

TEST_CASE("many nodes that start at once are served, and excess checkpoint transfers are refused") {
  FakeMesh mesh(9);
  StartAll(mesh, 2, 1);
  mesh.Run(10s);
  int64_t version = 0;
  for (int i = 0; i < 300; ++i) {
    version = Publish(mesh, version, std::to_string(i));
  }
  mesh.Run(5s);
  mesh.log.status = LogStatus::kUnavailable;
  for (int i = 0; i < 40; ++i) {
    mesh.Start("late" + std::to_string(i), "dc0");
  }
  mesh.Run(30s);
  CHECK(IsEveryNodeReady(mesh));
  CHECK(IsEveryNodeAt(mesh, version));
  CHECK(SumCounter(mesh, "checkpoint_transfers_refused") > 0);
}

TEST_CASE("in the baseline mode kPollLog every node polls the log") {
  FakeMesh mesh(10);
  mesh.mode = DistributionMode::kPollLog;
  StartAll(mesh, 5);
  mesh.Run(10s);
  const int64_t reads = SumCounter(mesh, "log_reads");
  const int64_t version = Publish(mesh, 0, "a");
  mesh.Run(2s);
  CHECK(IsEveryNodeAt(mesh, version));
  CHECK(SumCounter(mesh, "log_reads") - reads > 10 * 3);
}

}  // namespace
}  // namespace limpet
