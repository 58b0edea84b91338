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

CommandResult NodeFailure(const NodeReply& reply, const std::string& problem) {
  const std::string text = reply.code == 0
                               ? "the node does not answer; check its admin address (http_port)"
                               : problem + " (HTTP status " + std::to_string(reply.code) + ")";
  return {ExitCode::kNodeUnavailable,
          text + "\n",
          {{"result", "node_unavailable"}, {"http_status", reply.code}, {"message", text}}};
}

/// Members as GET /members reports them; fields that are missing are empty.
std::optional<Json> ReadMembers(const NodeReply& reply) {
  Json members = Json::parse(reply.body, nullptr, false);
  if (reply.code != 200 || !members.is_array() ||
      !std::ranges::all_of(members, [](const Json& member) { return member.is_object(); })) {
    return std::nullopt;
  }
  return members;
}

std::string Text(const Json& object, const char* key) {
  const auto it = object.find(key);
  return it == object.end() ? "" : it->is_string() ? it->get<std::string>() : it->dump();
}

std::string Joined(const std::vector<std::string>& items) {
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

CommandResult Explain(const ConfigSnapshot& snapshot, const wire::Route& route) {
  const wire::Service& service = *snapshot.FindService(route.service_name);
  const wire::Rule& rule = *snapshot.FindRule(route.rule);
  CommandResult result;
  result.text =
      "version " + std::to_string(snapshot.version()) + "\nroute " + route.name + ": paths below " +
      route.path_prefix + ", callers " + (route.callers.empty() ? "all" : Joined(route.callers)) +
      "\nservice " + service.name + ": timeout " + std::to_string(service.timeout_ms) + " ms, " +
      std::to_string(service.slots) + " slots and " + std::to_string(service.connections) +
      " connections for each target, idempotent methods " +
      (service.idempotent_methods.empty() ? "none" : Joined(service.idempotent_methods)) +
      "\nrule " + rule.name + ": deadline " + std::to_string(rule.deadline_ms) + " ms, " +
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

CommandResult NoRoute(const std::string& route, const std::string& caller, int64_t version) {
  const std::string text =
      "version " + std::to_string(version) + " has no route " + route +
      (caller.empty() || !route.starts_with('/') ? "" : " for the caller " + caller);
  return {ExitCode::kNotFound, text + "\n", {{"result", "not_found"}, {"message", text}}};
}

void AddEndpoints(const Json& members, const std::string& service, CommandResult& result) {
  Table table({"NODE", "DATA CENTRE", "STATE", "TARGET STATE"});
  result.json["endpoints"] = Json::array();
  for (const Json& member : members) {
    if (Text(member, "service") == service) {
      table.Add({Text(member, "name"), Text(member, "data_centre"), Text(member, "state"),
                 Text(member, "target")});
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
  return route == nullptr ? NoRoute(route_, caller_, snapshot.version())
                          : Explain(snapshot, *route);
}

CommandResult ExplainCommand::RunWithNode(NodeAccess& node) const {
  const NodeReply config = node.Get("/config");
  if (config.code != 200) {
    return NodeFailure(config, "GET /config failed");
  }
  try {
    const ConfigSnapshot snapshot(ParseNodeConfig(config.body));
    const wire::Route* route = FindRoute(snapshot, route_, caller_);
    if (route == nullptr) {
      return NoRoute(route_, caller_, snapshot.version());
    }
    const NodeReply reply = node.Get("/members");
    const auto members = ReadMembers(reply);
    if (!members) {
      return NodeFailure(reply, "GET /members failed");
    }
    CommandResult result = Explain(snapshot, *route);
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
    const std::string state(NameOf(kNodeStateNames, report.state));
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
  const NodeReply reply = node.Get("/members");
  const auto members = ReadMembers(reply);
  if (!members) {
    return NodeFailure(reply, "GET /members failed");
  }
  Table table({"NODE", "DATA CENTRE", "SERVICE", "STATE", "TARGET STATE", "ADDRESS"});
  for (const Json& member : *members) {
    table.Add({Text(member, "name"), Text(member, "data_centre"), Text(member, "service"),
               Text(member, "state"), Text(member, "target"),
               Text(member, "host") + ":" + Text(member, "port")});
  }
  return {ExitCode::kOk, table.Render(), {{"members", *members}}};
}

CommandResult DrainCommand::Run() {
  const NodeReply reply = node_.Post("/drain");
  if (reply.code != 200) {
    return NodeFailure(reply, "POST /drain failed");
  }
  return {ExitCode::kOk,
          "draining: the node announces that it leaves, finishes requests in flight and takes no "
          "new ones\n",
          {{"result", "draining"}}};
}

}  // namespace limpet
