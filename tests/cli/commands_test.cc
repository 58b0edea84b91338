#include <doctest/doctest.h>

#include <functional>
#include <optional>

#include "cli/arguments.h"
#include "cli/inventory_commands.h"
#include "cli/node_commands.h"
#include "cli/status_commands.h"
#include "config/sample_config.h"
#include "configlog/memory_log.h"
#include "limpet/config/inventory.h"
#include "limpet/configlog/log_replay.h"
#include "limpet/wire/codec.h"

namespace limpet {
namespace {

CommandResult Publish(MemoryLog& log, const wire::FullConfig& config, const std::string& author) {
  return PublishCommand(log, Random(std::hash<std::string>()(author)), [](Duration) {})
      .Run({config, author, "a comment"});
}

void AppendSystem(MemoryLog& log, const wire::SystemRecord& record) {
  log.Append({0, kSystemStream, wire::Encode(record)});
}

/// Appends a claim of the status lease of data centre "m", the roster with n1 to n4 and a status
/// record: n1 and n4 hold version 2, n2 refused it and n3 is behind.
void AppendStatus(MemoryLog& log) {
  wire::LeaseClaim claim;
  claim.lease = StatusLease("m");
  claim.holder = "n1";
  wire::SystemRecord first;
  first.__set_claim(claim);
  AppendSystem(log, first);

  wire::RosterRecord roster;
  roster.token = 1;
  roster.data_centre = "m";
  roster.nodes = {"n1", "n2", "n3", "n4"};
  wire::SystemRecord second;
  second.__set_roster(roster);
  AppendSystem(log, second);

  wire::StatusRecord status;
  status.token = 1;
  status.data_centre = "m";
  status.members = 4;
  const auto count = [&status](int64_t version, int nodes) {
    wire::VersionCount& entry = status.counts.emplace_back();
    entry.version = version;
    entry.nodes = nodes;
  };
  count(1, 2);
  count(2, 2);
  for (const char* name : {"n2", "n3"}) {
    wire::NodeVersion& behind = status.behind.emplace_back();
    behind.node = name;
    behind.version = 1;
  }
  wire::NodeRefusal& refusal = status.refusals.emplace_back();
  refusal.node = "n2";
  refusal.version = 2;
  refusal.reason = "out of memory";
  wire::SystemRecord third;
  third.__set_status(status);
  AppendSystem(log, third);
}

/// Returns a log with two versions and the status of one data centre.
MemoryLog MakeLogWithTwoVersions() {
  MemoryLog log;
  wire::FullConfig config = SampleConfig();
  CHECK(Publish(log, config, "ada").code == ExitCode::kOk);
  config.version = 1;
  config.services[0].slots = 13;
  CHECK(Publish(log, config, "grace").code == ExitCode::kOk);
  AppendStatus(log);
  return log;
}

bool Contains(const CommandResult& result, const std::string& text) {
  return result.text.find(text) != std::string::npos;
}

TEST_CASE("validate counts the resources of the file and diff lists its changes") {
  MemoryLog log = MakeLogWithTwoVersions();
  wire::FullConfig config = SampleConfig();
  CHECK(ValidateCommand(config).Run().json["targets"] == 1);
  config.targets.clear();
  const CommandResult result = DiffCommand(log, config).Run();
  CHECK(result.json["changes"]["target"]["removed"][0] == "t1");
  CHECK(result.json["changes"]["service"]["set"][0] == "ticket-desk");
  CHECK(Contains(result, "publishing it will be refused"));
}

TEST_CASE("a publish on a superseded version is refused and names the conflicting change") {
  MemoryLog log = MakeLogWithTwoVersions();
  wire::FullConfig config = SampleConfig();
  config.version = 1;
  const CommandResult result = Publish(log, config, "linus");
  CHECK(result.code == ExitCode::kPublishConflict);
  CHECK(result.json["winner"]["author"] == "grace");
  CHECK(result.json["winner"]["version"] == 2);
  CHECK(Contains(result, "grace published version 2"));
  config.version = 7;
  CHECK(Contains(Publish(log, config, "linus"), "only reached version 2"));
}

TEST_CASE("each failure of a publish has its own exit code") {
  MemoryLog log;
  wire::FullConfig config = SampleConfig();
  log.log.faults.outage = true;
  CHECK(Publish(log, config, "ada").code == ExitCode::kLogUnavailable);
  log.log.faults.outage = false;
  log.append_faults.assign(4, AppendFault::kLoseRequest);
  CHECK(Publish(log, config, "ada").code == ExitCode::kUnknownOutcome);
  config.rules.clear();
  CHECK(Publish(log, config, "ada").code == ExitCode::kInvalid);
}

TEST_CASE("status counts the nodes of each data centre that hold a version") {
  MemoryLog log = MakeLogWithTwoVersions();
  const CommandResult current = StatusCommand(log).Run(std::nullopt);
  CHECK(current.json["version"] == 2);
  CHECK(current.json["author"] == "grace");
  CHECK(current.json["data_centres"][0]["holding"] == 2);
  CHECK(current.json["data_centres"][0]["refused"] == 1);
  CHECK(StatusCommand(log).Run(1).json["data_centres"][0]["holding"] == 4);
  CHECK(StatusCommand(log).Run(3).code == ExitCode::kNotFound);
}

TEST_CASE("the printed inventory can be published again") {
  MemoryLog log = MakeLogWithTwoVersions();
  const CommandResult result = InventoryCommand(log).Run();
  const wire::FullConfig config = ParseInventory(result.text, "mesh.ini");
  CHECK(config.version == 2);
  CHECK(Publish(log, config, "ada").json["result"] == "nothing_to_publish");
}

TEST_CASE(
    "trace lists every node as in effect, refused with the reason, or behind with its version") {
  MemoryLog log = MakeLogWithTwoVersions();
  const CommandResult result = TraceCommand(log).Run("2");
  CHECK(result.code == ExitCode::kNotInEffect);
  const auto& nodes = result.json["nodes"];
  REQUIRE(nodes.size() == 4);
  CHECK(nodes[0]["state"] == "in_effect");
  CHECK(nodes[1]["state"] == "refused");
  CHECK(nodes[1]["detail"] == "out of memory");
  CHECK(nodes[2]["state"] == "behind");
  CHECK(nodes[2]["detail"] == "holds version 1");
  CHECK(nodes[3]["node"] == "n4");

  const std::string id = result.json["id"];
  CHECK(TraceCommand(log).Run(id).json["version"] == 2);
  CHECK(TraceCommand(log).Run("1").code == ExitCode::kOk);
  CHECK(TraceCommand(log).Run("no-such-id").code == ExitCode::kNotFound);
}

// The status record was written before version 3 was published, so it does not prove that any node
// holds that version.
TEST_CASE("a version that is newer than the status record does not count as in effect") {
  MemoryLog log = MakeLogWithTwoVersions();
  wire::FullConfig config = SampleConfig();
  config.version = 2;
  CHECK(Publish(log, config, "ada").code == ExitCode::kOk);
  const CommandResult result = TraceCommand(log).Run("3");
  REQUIRE_FALSE(result.json["nodes"].empty());
  for (const auto& node : result.json["nodes"]) {
    CHECK(node["state"] == "behind");
  }
}

TEST_CASE("control characters of a record are not printed") {
  MemoryLog log;
  CHECK(Publish(log, SampleConfig(), "eve\x1b[2J\nversion 9").code == ExitCode::kOk);
  const CommandResult result = StatusCommand(log).Run(std::nullopt);
  CHECK(Contains(result, "by eve?[2J?version 9"));
}

TEST_CASE("trace of a rejected change names the reason and the conflicting change") {
  MemoryLog log = MakeLogWithTwoVersions();
  wire::ChangeRecord late;
  late.id = "late";
  late.base = 1;
  log.Append({0, kConfigStream, wire::Encode(late)});
  const CommandResult result = TraceCommand(log).Run("late");
  CHECK(result.code == ExitCode::kNotInEffect);
  CHECK(result.json["reason"] == "stale_base");
  CHECK(result.json["winner"]["author"] == "grace");
}

class FakeNode : public NodeAccess {
 public:
  NodeResponse Get(const std::string& path) override {
    return path == "/config" ? config : path == "/members" ? members : NodeResponse{404, ""};
  }
  NodeResponse Post(const std::string& path) override {
    posted = path;
    return drain;
  }

  NodeResponse config{200, R"({"version": 3,
    "services": [{"name": "ticket-desk", "timeout_ms": 900, "idempotent_methods": ["GET"],
                  "slots": 12, "connections": 130}],
    "targets": [{"name": "t1", "service": "ticket-desk", "data_centre": "m",
                 "address": "10.0.0.1:80"}],
    "rules": [{"name": "strict", "retry": true, "max_attempts": 2, "deadline_ms": 2000}],
    "routes": [{"name": "desk", "path_prefix": "/desk", "service": "ticket-desk",
                "rule": "strict", "callers": []}]})"};
  NodeResponse members{200, R"([{"name": "n1", "service": "ticket-desk", "state": "alive",
    "target": "up", "data_centre": "m", "host": "10.0.0.1", "port": 7400}])"};
  NodeResponse drain{200, "{}"};
  std::string posted;
};

TEST_CASE("explain finds a route by name or path, in the log or at a node") {
  MemoryLog log = MakeLogWithTwoVersions();
  CHECK(ExplainCommand("desk", "").RunWithLog(log).json["targets"][0]["name"] == "t1");
  CHECK(ExplainCommand("/desk/7", "kiosk").RunWithLog(log).json["route"] == "desk");
  CHECK(ExplainCommand("/other", "").RunWithLog(log).code == ExitCode::kNotFound);
  FakeNode node;
  const CommandResult result = ExplainCommand("/desk/7", "kiosk").RunWithNode(node);
  CHECK(result.json["timeout_ms"] == 900);
  CHECK(result.json["endpoints"][0]["name"] == "n1");
}

TEST_CASE("nodes lists the roster or the membership table of a node") {
  MemoryLog log = MakeLogWithTwoVersions();
  CHECK(NodesCommand().RunWithLog(log).json["nodes"].size() == 4);
  FakeNode node;
  CHECK(Contains(NodesCommand().RunWithNode(node), "10.0.0.1:7400"));
}

TEST_CASE("drain sends POST /drain to the node") {
  FakeNode node;
  CHECK(DrainCommand(node).Run().code == ExitCode::kOk);
  CHECK(node.posted == "/drain");
  node.drain = {0, ""};
  CHECK(DrainCommand(node).Run().code == ExitCode::kNodeUnavailable);
}

TEST_CASE("a malformed response of a node gives exit code kNodeUnavailable") {
  for (const char* body : {"", "7", "{}", "[7]", R"({"version": "x"})", R"({"version": 1})"}) {
    FakeNode node;
    node.config.body = body;
    CHECK(ExplainCommand("desk", "").RunWithNode(node).code == ExitCode::kNodeUnavailable);
    node.members.body = body;
    CHECK(NodesCommand().RunWithNode(node).code == ExitCode::kNodeUnavailable);
  }
}

TEST_CASE("malformed or missing arguments throw UsageError") {
  CHECK(ParseAddressOption("--log", "a:1") == PeerAddress{"a", 1});
  for (const char* text : {"", "a", "a:", ":1", "a:0", "a:65536", "a:1x"}) {
    CHECK_THROWS_AS(ParseAddressOption("--log", text), UsageError);
  }
  CHECK_THROWS_AS(ParseVersionArgument("-1"), UsageError);
  CHECK_THROWS_AS(GetSingleArgument({"trace"}, "CHANGE"), UsageError);
  CHECK_THROWS_AS(GetSingleArgument({"trace", "a", "b"}, "CHANGE"), UsageError);
}

}  // namespace
}  // namespace limpet
