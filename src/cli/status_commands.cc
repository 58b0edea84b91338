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

/// Range of the versions of the nodes that a status record does not list as behind.
struct VersionRange {
  int64_t low = -1;
  int64_t high = -1;
};

/// The nodes that are not listed hold at least the version of the status holder, which is above
/// every listed one.
VersionRange UnlistedVersions(const wire::StatusRecord& status) {
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

void Judge(const wire::StatusRecord& status, int64_t version, NodeReport& report) {
  VersionRange held = UnlistedVersions(status);
  for (const wire::NodeVersion& behind : status.behind) {
    if (behind.node == report.node) {
      held = {behind.version, behind.version};
    }
  }
  if (held.low >= version) {
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
  if (held.high >= version) {
    report.detail = "holds version " + std::to_string(held.low) + " or later";
    return;
  }
  report.state = NodeState::kBehind;
  report.detail =
      held.high < 0 ? "has not reported yet" : "holds version " + std::to_string(held.high);
}

std::optional<int64_t> ParseVersion(const std::string& text) {
  int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  // An id has 32 digits and letters, so a short number is a version.
  return error == std::errc() && stop == end && value >= 0 ? std::optional(value) : std::nullopt;
}

const wire::AcceptedChange* FindVersion(const LogReplay& replay, int64_t version) {
  const auto it = std::ranges::find(replay.accepted(), version, &wire::AcceptedChange::version);
  return it == replay.accepted().end() ? nullptr : &*it;
}

/// Both streams; the first failure wins.
struct LogView {
  LogReader reader;
  std::optional<SystemReplay> system;

  explicit LogView(LogAccess& log) : reader(log) {}

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
    result.text += OneLine("change " + change->record.id + " by " + change->record.author + ": " +
                           change->record.comment) +
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
  const std::string reason(NameOf(kRejectReasonNames, rejection.reason));
  CommandResult result{
      ExitCode::kNotInEffect,
      OneLine("change " + rejection.id + " was rejected (" + reason + "): " + rejection.detail) +
          "\n",
      {{"result", "rejected"},
       {"id", rejection.id},
       {"reason", reason},
       {"detail", rejection.detail}}};
  if (rejection.reason == RejectReason::kStaleBase) {
    result.text += "The winner is version " + std::to_string(rejection.conflicting_change.version);
    result.text += rejection.conflicting_change.id.empty()
                       ? ".\n"
                       : OneLine(", change " + rejection.conflicting_change.id + " by " +
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
      Judge(status, version, report);
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
  LogView view(log_);
  const LogStatus read = view.Read(log_);
  if (read != LogStatus::kOk) {
    return LogFailure(read);
  }
  const LogReplay& replay = view.reader.replay();
  const int64_t wanted = version.value_or(replay.version());
  if (wanted > replay.version()) {
    return NotFound("version " + std::to_string(wanted) + " does not exist; the current one is " +
                    std::to_string(replay.version()));
  }
  CommandResult result;
  DescribeChange(replay, wanted, result);
  result.json["data_centres"] = Json::array();
  Table table({"DATA CENTRE", "NODES", "AT LEAST THIS VERSION", "BEHIND", "REFUSED"});
  for (const auto& [data_centre, status] : view.system->statuses()) {
    int holding = 0;
    for (const wire::VersionCount& count : status.counts) {
      holding += count.version >= wanted ? count.nodes : 0;
    }
    const auto refused = std::ranges::count(status.refusals, wanted, &wire::NodeRefusal::version);
    const int behind = status.members - holding;
    table.Add({data_centre, std::to_string(status.members), std::to_string(holding),
               std::to_string(behind), std::to_string(refused)});
    result.json["data_centres"].push_back({{"name", data_centre},
                                           {"nodes", status.members},
                                           {"holding", holding},
                                           {"behind", behind},
                                           {"refused", refused}});
  }
  result.text += view.system->statuses().empty() ? "no status records yet\n" : table.Render();
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
  LogView view(log_);
  const LogStatus read = view.Read(log_);
  if (read != LogStatus::kOk) {
    return LogFailure(read);
  }
  const LogReplay& replay = view.reader.replay();
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
  for (const NodeReport& report : ReportNodes(*view.system, *version)) {
    const std::string state(NameOf(kNodeStateNames, report.state));
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
