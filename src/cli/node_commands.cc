#include "cli/node_commands.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "cli/inventory_commands.h"
#include "cli/node_config.h"
#include "cli/status_commands.h"
#include "cli/table.h"
#include "limpet/config/config.h"
#include "limpet/config/snapshot.h"
#include "limpet/configlog/log_reader.h"

namespace limpet {
namespace {

using Json = nlohmann::json;

CommandResult NodeFailure(const NodeResponse& response, const std::string& problem) {
  const std::string text = response.code == 0
                               ? "no response from the node; check its admin address (http_port)"
                               : problem + " (HTTP status " + std::to_string(response.code) + ")";
  return {ExitCode::kNodeUnavailable,
          text + "\n",
          {{"result", "node_unavailable"}, {"http_status", response.code}, {"message", text}}};
}

/// Parses the response to GET /members. Returns nothing unless it is a list of objects; their
/// fields are not checked.
std::optional<Json> ParseMembers(const NodeResponse& response) {
  Json members = Json::parse(response.body, nullptr, false);
  if (response.code != 200 || !members.is_array() ||
      !std::ranges::all_of(members, [](const Json& member) { return member.is_object(); })) {
    return std::nullopt;
  }
  return members;
}

std::string GetText(const Json& object, const char* key) {
  const auto it = object.find(key);
  return it == object.end() ? "" : it->is_string() ? it->get<std::string>() : it->dump();
}

std::string Join(const std::vector<std::string>& items) {
  std::string text;
  for (const std::string& item : items) {
    text += (text.empty() ? "" : ", ") + item;
  }
  return text;
}

const wire::Route* FindRoute(const ConfigSnapshot& snapshot,
                             const std::string& route,
                             const std::string& caller) {
  if (route.starts_with('/')) {
    return snapshot.FindRoute(route, caller);
  }
  const auto& routes = snapshot.config().routes;
  const auto it = std::ranges::find(routes, route, &wire::Route::name);
  return it == routes.end() ? nullptr : &*it;
}

CommandResult DescribeRoute(const ConfigSnapshot& snapshot, const wire::Route& route) {
  const wire::Service& service = *snapshot.FindService(route.service_name);
  const wire::Rule& rule = *snapshot.FindRule(route.rule);
  CommandResult result;
  result.text =
      "version " + std::to_string(snapshot.version()) + "\nroute " + route.name + ": paths below " +
      route.path_prefix + ", callers " + (route.callers.empty() ? "all" : Join(route.callers)) +
      "\nservice " + service.name + ": timeout " + std::to_string(service.timeout_ms) + " ms, " +
      std::to_string(service.slots) + " slots and " + std::to_string(service.connections) +
      " connections for each target, idempotent methods " +
      (service.idempotent_methods.empty() ? "none" : Join(service.idempotent_methods)) + "\nrule " +
      rule.name + ": deadline " + std::to_string(rule.deadline_ms) + " ms, " +
      (rule.retry_enabled ? "at most " + std::to_string(rule.max_attempts) + " attempts"
                          : "no retry") +
      "\n";
  result.json = {{"version", snapshot.version()},
                 {"route", route.name},
                 {"path_prefix", route.path_prefix},
                 {"callers", route.callers},
                 {"service", service.name},
                 {"timeout_ms", service.timeout_ms},
                 {"idempotent_methods", service.idempotent_methods},
                 {"rule", rule.name},
                 {"deadline_ms", rule.deadline_ms},
                 {"retry", rule.retry_enabled},
                 {"max_attempts", rule.max_attempts},
                 {"targets", Json::array()}};
  Table table({"TARGET", "DATA CENTRE", "ADDRESS"});
  for (const wire::Target& target : snapshot.config().targets) {
    if (target.service_name == service.name) {
      table.Add({target.name, target.data_centre, target.address});
      result.json["targets"].push_back({{"name", target.name},
                                        {"data_centre", target.data_centre},
                                        {"address", target.address}});
    }
  }
  result.text += result.json["targets"].empty() ? "no targets\n" : table.Render();
  return result;
}

CommandResult RouteNotFound(const std::string& route, const std::string& caller, int64_t version) {
  const std::string text =
      "version " + std::to_string(version) + " has no route " + route +
      (caller.empty() || !route.starts_with('/') ? "" : " for the caller " + caller);
  return {ExitCode::kNotFound, text + "\n", {{"result", "not_found"}, {"message", text}}};
}

void AddEndpoints(const Json& members, const std::string& service, CommandResult& result) {
  Table table({"NODE", "DATA CENTRE", "STATE", "TARGET STATE"});
  result.json["endpoints"] = Json::array();
  for (const Json& member : members) {
    if (GetText(member, "service") == service) {
      table.Add({GetText(member, "name"), GetText(member, "data_centre"), GetText(member, "state"),
                 GetText(member, "target")});
      result.json["endpoints"].push_back(member);
    }
  }
  result.text += result.json["endpoints"].empty()
                     ? "no node has announced a target of this service\n"
                     : table.Render();
}

}  // namespace

CommandResult ExplainCommand::RunWithLog(LogAccess& log) const {
  LogReader reader(log);
  const LogStatus status = reader.CatchUp();
  if (status != LogStatus::kOk) {
    return LogFailure(status);
  }
  const ConfigSnapshot& snapshot = *reader.replay().snapshot();
  const wire::Route* route = FindRoute(snapshot, route_, caller_);
  return route == nullptr ? RouteNotFound(route_, caller_, snapshot.version())
                          : DescribeRoute(snapshot, *route);
}

CommandResult ExplainCommand::RunWithNode(NodeAccess& node) const {
  const NodeResponse config = node.Get("/config");
  if (config.code != 200) {
    return NodeFailure(config, "GET /config failed");
  }
  try {
    const ConfigSnapshot snapshot(ParseNodeConfig(config.body));
    const wire::Route* route = FindRoute(snapshot, route_, caller_);
    if (route == nullptr) {
      return RouteNotFound(route_, caller_, snapshot.version());
    }
    const NodeResponse response = node.Get("/members");
    const auto members = ParseMembers(response);
    if (!members) {
      return NodeFailure(response, "GET /members failed");
    }
    CommandResult result = DescribeRoute(snapshot, *route);
    AddEndpoints(*members, route->service_name, result);
    return result;
  } catch (const Error& error) {
    return NodeFailure(config, error.what());
  }
}

CommandResult NodesCommand::RunWithLog(LogAccess& log) const {
  LogReader reader(log);
  std::optional<SystemReplay> system;
  LogStatus status = reader.CatchUp();
  status = status == LogStatus::kOk ? ReadSystemStream(log, TimePoint(), system) : status;
  if (status != LogStatus::kOk) {
    return LogFailure(status);
  }
  CommandResult result;
  result.json["current_version"] = reader.replay().version();
  result.json["nodes"] = Json::array();
  Table table({"NODE", "DATA CENTRE", "CURRENT VERSION", "DETAIL"});
  for (const NodeReport& report : ReportNodes(*system, reader.replay().version())) {
    const std::string state(EnumName(kNodeStateNames, report.state));
    table.Add({report.node, report.data_centre, state, report.detail});
    result.json["nodes"].push_back({{"node", report.node},
                                    {"data_centre", report.data_centre},
                                    {"state", state},
                                    {"detail", report.detail}});
  }
  result.text = result.json["nodes"].empty() ? "no roster or status records yet\n" : table.Render();
  return result;
}

CommandResult NodesCommand::RunWithNode(NodeAccess& node) const {
  const NodeResponse response = node.Get("/members");
  const auto members = ParseMembers(response);
  if (!members) {
    return NodeFailure(response, "GET /members failed");
  }
  Table table({"NODE", "DATA CENTRE", "SERVICE", "STATE", "TARGET STATE", "ADDRESS"});
  for (const Json& member : *members) {
    table.Add({GetText(member, "name"), GetText(member, "data_centre"), GetText(member, "service"),
               GetText(member, "state"), GetText(member, "target"),
               GetText(member, "host") + ":" + GetText(member, "port")});
  }
  return {ExitCode::kOk, table.Render(), {{"members", *members}}};
}

CommandResult DrainCommand::Run() {
  const NodeResponse response = node_.Post("/drain");
  if (response.code != 200) {
    return NodeFailure(response, "POST /drain failed");
  }
  return {ExitCode::kOk,
          "draining: the node announces that it leaves, finishes requests in flight and refuses "
          "new ones\n",
          {{"result", "draining"}}};
}

}  // namespace limpet
