#include "cli/inventory_commands.h"

#include <utility>
#include <variant>

#include "cli/table.h"
#include "limpet/config/config.h"
#include "limpet/configlog/log_reader.h"
#include "limpet/core/enum_names.h"

namespace limpet {
namespace {

using Json = nlohmann::json;

template <typename Resource>
void AddChanges(const std::string& kind,
                const std::vector<Resource>& set,
                const std::vector<std::string>& removed,
                Table& table,
                Json& json) {
  Json set_names = Json::array();
  for (const Resource& resource : set) {
    table.Add({"set", kind, resource.name});
    set_names.push_back(resource.name);
  }
  for (const std::string& name : removed) {
    table.Add({"remove", kind, name});
  }
  json[kind] = {{"set", set_names}, {"removed", removed}};
}

/// Returns the changes as a table and as JSON.
std::pair<std::string, Json> DescribeDelta(const wire::ConfigDelta& delta) {
  Table table({"CHANGE", "KIND", "NAME"});
  Json json = Json::object();
  AddChanges("service", delta.set_services, delta.removed_services, table, json);
  AddChanges("target", delta.set_targets, delta.removed_targets, table, json);
  AddChanges("rule", delta.set_rules, delta.removed_rules, table, json);
  AddChanges("route", delta.set_routes, delta.removed_routes, table, json);
  return {table.Render(), json};
}

/// Converts the result of a publish to text, JSON and an exit code.
struct PublishResultConverter {
  CommandResult operator()(const Published& published) const {
    const auto [table, json] = DescribeDelta(published.delta);
    return {ExitCode::kOk,
            "published as version " + std::to_string(published.version) + ", change " +
                published.id + "\n" + table,
            {{"result", "published"},
             {"version", published.version},
             {"id", published.id},
             {"changes", json}}};
  }
  CommandResult operator()(const NothingToPublish& nothing) const {
    return {ExitCode::kOk,
            "nothing to publish: version " + std::to_string(nothing.version) +
                " already has this content\n",
            {{"result", "nothing_to_publish"}, {"version", nothing.version}}};
  }
  CommandResult operator()(const PublishConflict& conflict) const {
    const Json json = {{"result", "lost_race"},
                       {"base", conflict.base},
                       {"id", conflict.id},
                       {"winner",
                        {{"version", conflict.conflicting_change.version},
                         {"id", conflict.conflicting_change.id},
                         {"author", conflict.conflicting_change.author}}}};
    std::string text =
        "not published: the file was edited from version " + std::to_string(conflict.base) + ", ";
    if (conflict.base > conflict.conflicting_change.version) {
      text += "but this log has only reached version " +
              std::to_string(conflict.conflicting_change.version) + "; check --log\n";
    } else if (conflict.conflicting_change.id.empty()) {
      text +=
          "but version " + std::to_string(conflict.conflicting_change.version) + " is in effect\n";
    } else {
      text += ReplaceControlCharacters(
                  "but " + conflict.conflicting_change.author + " published version " +
                  std::to_string(conflict.conflicting_change.version) + " (change " +
                  conflict.conflicting_change.id + ") on it first") +
              "\n";
    }
    text +=
        "Get the current inventory with `limpetctl status --inventory`, repeat the edit there and "
        "publish again.\n";
    return {ExitCode::kPublishConflict, text, json};
  }
  CommandResult operator()(const InvalidChange& invalid) const {
    std::string text;
    for (const std::string& problem : invalid.problems) {
      text += problem + "\n";
    }
    return {ExitCode::kInvalid, text, {{"result", "invalid"}, {"problems", invalid.problems}}};
  }
  CommandResult operator()(const UnknownResult& unknown) const {
    const std::string status(EnumName(kLogStatusNames, unknown.status));
    return {ExitCode::kUnknownOutcome,
            "the result of the publish is unknown (" + status + "): change " + unknown.id +
                " may or may not be in effect\nCheck with `limpetctl trace " + unknown.id +
                "`; publishing the same file again is safe.\n",
            {{"result", "unknown"}, {"id", unknown.id}, {"log_status", status}}};
  }
  CommandResult operator()(const ChangeTooLarge& large) const {
    return {ExitCode::kInvalid,
            "not published: the change has " + std::to_string(large.bytes) +
                " bytes, which exceeds the maximum size of a log record\nPublish it in several "
                "steps.\n",
            {{"result", "too_large"}, {"bytes", large.bytes}}};
  }
  CommandResult operator()(const LogUnavailable& unavailable) const {
    CommandResult result = LogFailure(unavailable.status);
    result.text = "not published: " + result.text;
    return result;
  }
};

}  // namespace

CommandResult InvalidInventory(const std::string& message) {
  return {ExitCode::kInvalid, message + "\n", {{"result", "invalid"}, {"problems", {message}}}};
}

CommandResult LogFailure(LogStatus status) {
  const std::string name(EnumName(kLogStatusNames, status));
  std::string text = "the log cannot be used (" + name + ")";
  text += status == LogStatus::kOffsetExpired
              ? "; its first records have expired and no checkpoint covers them\n"
              : "; check --log and try again later\n";
  return {ExitCode::kLogUnavailable, text, {{"result", "log_unavailable"}, {"log_status", name}}};
}

CommandResult ValidateCommand::Run() const {
  Table table({"SERVICES", "TARGETS", "RULES", "ROUTES"});
  table.Add({std::to_string(config_.services.size()), std::to_string(config_.targets.size()),
             std::to_string(config_.rules.size()), std::to_string(config_.routes.size())});
  return {ExitCode::kOk,
          "valid\n" + table.Render(),
          {{"result", "valid"},
           {"services", config_.services.size()},
           {"targets", config_.targets.size()},
           {"rules", config_.rules.size()},
           {"routes", config_.routes.size()}}};
}

CommandResult DiffCommand::Run() {
  LogReader reader(log_);
  const LogStatus status = reader.CatchUp();
  if (status != LogStatus::kOk) {
    return LogFailure(status);
  }
  const ConfigSnapshot& current = *reader.replay().snapshot();
  const wire::ConfigDelta delta = Diff(current.config(), config_);
  const auto [table, changes] = DescribeDelta(delta);
  const std::string version = std::to_string(current.version());
  std::string text = IsEmpty(delta) ? "no difference from version " + version + "\n"
                                    : "changes from version " + version + "\n" + table;
  if (config_.version != current.version()) {
    text += "The file was edited from version " + std::to_string(config_.version) +
            "; publishing it will be refused.\n";
  }
  return {ExitCode::kOk,
          text,
          {{"result", IsEmpty(delta) ? "equal" : "different"},
           {"version", current.version()},
           {"base", config_.version},
           {"changes", changes}}};
}

CommandResult PublishCommand::Run(const PublishRequest& request) {
  return std::visit(PublishResultConverter(), publisher_.Publish(request));
}

}  // namespace limpet
