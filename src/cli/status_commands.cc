#include "cli/status_commands.h"

#include <algorithm>
#include <charconv>
#include <set>

#include "cli/inventory_commands.h"
#include "cli/table.h"
#include "limpet/config/inventory.h"
#include "limpet/configlog/log_reader.h"

namespace limpet {
namespace {

using Json = nlohmann::json;

/// Lowest and highest version that a node may hold; -1 if unknown.
struct VersionRange {
  int64_t low = -1;
  int64_t high = -1;
};

/// Returns the range of the versions at the nodes that the status record does not list as behind.
/// They hold at least the version of the holder of the status lease, which is above every listed
/// version.
VersionRange FindUnlistedVersions(const wire::StatusRecord& status) {
  int64_t listed = -1;
  for (const wire::NodeVersion& behind : status.behind) {
    listed = std::max(listed, behind.version);
  }
  VersionRange range;
  for (const wire::VersionCount& count : status.counts) {
    if (count.version > listed) {
      range.low = range.low < 0 ? count.version : std::min(range.low, count.version);
      range.high = std::max(range.high, count.version);
    }
  }
  return range;
}

void ClassifyNode(const wire::StatusRecord& status, int64_t version, NodeReport& report) {
  VersionRange node_versions = FindUnlistedVersions(status);
  for (const wire::NodeVersion& behind : status.behind) {
    if (behind.node == report.node) {
      node_versions = {behind.version, behind.version};
    }
  }
  if (node_versions.low >= version) {
    report.state = NodeState::kInEffect;
    return;
  }
  for (const wire::NodeRefusal& refusal : status.refusals) {
    if (refusal.node == report.node && refusal.version == version) {
      report.state = NodeState::kRefused;
      report.detail = refusal.reason;
      return;
    }
  }
  if (node_versions.high >= version) {
    report.detail = "holds version " + std::to_string(node_versions.low) + " or later";
    return;
  }
  report.state = NodeState::kBehind;
  report.detail = node_versions.high < 0 ? "has not reported yet"
                                         : "holds version " + std::to_string(node_versions.high);
}

std::optional<int64_t> ParseVersion(const std::string& text) {
  int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  // An id has 32 hexadecimal digits, so a number that fits into 64 bits is a version.
  return error == std::errc() && stop == end && value >= 0 ? std::optional(value) : std::nullopt;
}

const wire::AcceptedChange* FindVersion(const LogReplay& replay, int64_t version) {
  const auto it = std::ranges::find(replay.accepted(), version, &wire::AcceptedChange::version);
  return it == replay.accepted().end() ? nullptr : &*it;
}

/// Both streams of the log.
struct LogStreams {
  LogReader reader;
  std::optional<SystemReplay> system;

  explicit LogStreams(LogAccess& log) : reader(log) {}

  /// Reads both streams. Returns the first failure.
  LogStatus Read(LogAccess& log) {
    const LogStatus status = reader.CatchUp();
    return status == LogStatus::kOk ? ReadSystemStream(log, TimePoint(), system) : status;
  }
};

void DescribeChange(const LogReplay& replay, int64_t version, CommandResult& result) {
  result.json["version"] = version;
  result.json["current_version"] = replay.version();
  result.text = "version " + std::to_string(version);
  result.text += version == replay.version() ? " (current)\n" : "\n";
  if (const auto* change = FindVersion(replay, version)) {
    result.text += ReplaceControlCharacters("change " + change->record.id + " by " +
                                            change->record.author + ": " + change->record.comment) +
                   "\n";
    result.json["id"] = change->record.id;
    result.json["author"] = change->record.author;
    result.json["comment"] = change->record.comment;
  }
}

CommandResult NotFound(const std::string& message) {
  return {ExitCode::kNotFound, message + "\n", {{"result", "not_found"}, {"message", message}}};
}

CommandResult DescribeRejection(const Rejection& rejection) {
  const std::string reason(EnumName(kRejectReasonNames, rejection.reason));
  CommandResult result{ExitCode::kNotInEffect,
                       ReplaceControlCharacters("change " + rejection.id + " was rejected (" +
                                                reason + "): " + rejection.detail) +
                           "\n",
                       {{"result", "rejected"},
                        {"id", rejection.id},
                        {"reason", reason},
                        {"detail", rejection.detail}}};
  if (rejection.reason == RejectReason::kStaleBase) {
    result.text +=
        "The conflicting change is version " + std::to_string(rejection.conflicting_change.version);
    result.text +=
        rejection.conflicting_change.id.empty()
            ? ".\n"
            : ReplaceControlCharacters(", change " + rejection.conflicting_change.id + " by " +
                                       rejection.conflicting_change.author + ".") +
                  "\n";
    result.json["winner"] = {{"version", rejection.conflicting_change.version},
                             {"id", rejection.conflicting_change.id},
                             {"author", rejection.conflicting_change.author}};
  }
  return result;
}

}  // namespace

std::vector<NodeReport> ReportNodes(const SystemReplay& system, int64_t version) {
  std::vector<NodeReport> reports;
  for (const auto& [data_centre, status] : system.statuses()) {
    std::set<std::string> names;
    if (const auto it = system.rosters().find(data_centre); it != system.rosters().end()) {
      names.insert(it->second.nodes.begin(), it->second.nodes.end());
    }
    for (const wire::NodeVersion& behind : status.behind) {
      names.insert(behind.node);
    }
    for (const wire::NodeRefusal& refusal : status.refusals) {
      names.insert(refusal.node);
    }
    for (const std::string& name : names) {
      NodeReport& report = reports.emplace_back();
      report.node = name;
      report.data_centre = data_centre;
      ClassifyNode(status, version, report);
    }
  }
  for (const auto& [data_centre, roster] : system.rosters()) {
    if (!system.statuses().contains(data_centre)) {
      for (const std::string& name : roster.nodes) {
        reports.push_back({name, data_centre, NodeState::kUnknown, "no status record"});
      }
    }
  }
  return reports;
}

CommandResult StatusCommand::Run(std::optional<int64_t> version) {
  LogStreams streams(log_);
  const LogStatus read = streams.Read(log_);
  if (read != LogStatus::kOk) {
    return LogFailure(read);
  }
  const LogReplay& replay = streams.reader.replay();
  const int64_t requested = version.value_or(replay.version());
  if (requested > replay.version()) {
    return NotFound("version " + std::to_string(requested) +
                    " does not exist; the current version is " + std::to_string(replay.version()));
  }
  CommandResult result;
  DescribeChange(replay, requested, result);
  result.json["data_centres"] = Json::array();
  Table table({"DATA CENTRE", "NODES", "AT LEAST THIS VERSION", "BEHIND", "REFUSED"});
  for (const auto& [data_centre, status] : streams.system->statuses()) {
    int holding = 0;
    for (const wire::VersionCount& count : status.counts) {
      holding += count.version >= requested ? count.nodes : 0;
    }
    const auto refused =
        std::ranges::count(status.refusals, requested, &wire::NodeRefusal::version);
    const int behind = status.members - holding;
    table.Add({data_centre, std::to_string(status.members), std::to_string(holding),
               std::to_string(behind), std::to_string(refused)});
    result.json["data_centres"].push_back({{"name", data_centre},
                                           {"nodes", status.members},
                                           {"holding", holding},
                                           {"behind", behind},
                                           {"refused", refused}});
  }
  result.text += streams.system->statuses().empty() ? "no status records yet\n" : table.Render();
  return result;
}

CommandResult InventoryCommand::Run() {
  LogReader reader(log_);
  const LogStatus read = reader.CatchUp();
  if (read != LogStatus::kOk) {
    return LogFailure(read);
  }
  const std::string text = FormatInventory(reader.replay().snapshot()->config());
  return {ExitCode::kOk, text, {{"version", reader.replay().version()}, {"inventory", text}}};
}

CommandResult TraceCommand::Run(const std::string& change) {
  LogStreams streams(log_);
  const LogStatus read = streams.Read(log_);
  if (read != LogStatus::kOk) {
    return LogFailure(read);
  }
  const LogReplay& replay = streams.reader.replay();
  std::optional<int64_t> version = ParseVersion(change);
  if (const auto* accepted = replay.FindAccepted(change)) {
    version = accepted->version;
  } else if (const Rejection* rejection = replay.FindRejection(change)) {
    return DescribeRejection(*rejection);
  }
  if (!version || *version > replay.version()) {
    return NotFound("no change " + change + " among the newest " +
                    std::to_string(LogReplay::kMaxAccepted) +
                    "; give the id that publish printed, or a version up to " +
                    std::to_string(replay.version()));
  }
  CommandResult result;
  DescribeChange(replay, *version, result);
  result.json["nodes"] = Json::array();
  Table table({"NODE", "DATA CENTRE", "STATE", "DETAIL"});
  for (const NodeReport& report : ReportNodes(*streams.system, *version)) {
    const std::string state(EnumName(kNodeStateNames, report.state));
    table.Add({report.node, report.data_centre, state, report.detail});
    result.json["nodes"].push_back({{"node", report.node},
                                    {"data_centre", report.data_centre},
                                    {"state", state},
                                    {"detail", report.detail}});
    if (report.state != NodeState::kInEffect) {
      result.code = ExitCode::kNotInEffect;
    }
  }
  result.text +=
      result.json["nodes"].empty() ? "no roster or status records yet\n" : table.Render();
  return result;
}

}  // namespace limpet
