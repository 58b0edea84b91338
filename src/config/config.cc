#include "limpet/config/config.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "config/prefix_conflicts.h"
#include "config/resource_text.h"
#include "limpet/config/limits.h"
#include "limpet/core/fault.h"

namespace limpet {
namespace {

using NameSet = std::unordered_set<std::string_view>;

std::string SummariseProblems(const std::vector<std::string>& problems) {
  std::string text = "invalid configuration";
  if (!problems.empty()) {
    text += ": " + problems.front();
  }
  if (problems.size() > 1) {
    text += " (and " + std::to_string(problems.size() - 1) + " more)";
  }
  return text;
}

/// Collects the problems of one configuration.
class ConfigChecker {
 public:
  std::vector<std::string> Run(const wire::FullConfig& config) {
    const NameSet services = CheckNames("service", config.services);
    CheckNames("target", config.targets);
    const NameSet rules = CheckNames("rule", config.rules);
    CheckNames("route", config.routes);
    CheckServices(config.services);
    CheckRules(config.rules);
    CheckTargets(config.targets);
    CheckRoutes(config.routes);
    if (!IsFaultActive(Fault::kSkipClosureCheck)) {
      CheckReferences(config, services, rules);
    }
    CheckPrefixes(config.routes);
    return std::move(problems_);
  }

 private:
  void AddProblem(std::string_view kind, const std::string& name, const std::string& problem) {
    problems_.push_back(std::string(kind) + " " + Quote(name) + " " + problem);
  }

  template <typename Resource>
  NameSet CheckNames(std::string_view kind, const std::vector<Resource>& resources) {
    NameSet names;
    names.reserve(resources.size());
    for (const Resource& resource : resources) {
      if (!IsValidName(resource.name)) {
        AddProblem(kind, resource.name, "has an invalid name; " + std::string(kNameRule));
      }
      if (!names.insert(resource.name).second) {
        AddProblem(kind, resource.name, "is defined more than once");
      }
    }
    return names;
  }

  void CheckRange(std::string_view kind,
                  const std::string& name,
                  std::string_view key,
                  int32_t value,
                  Range range) {
    if (!range.Contains(value)) {
      AddProblem(kind, name,
                 "has " + std::string(key) + " = " + std::to_string(value) + "; allowed is " +
                     range.ToString());
    }
  }

  void CheckServices(const std::vector<wire::Service>& services) {
    for (const wire::Service& service : services) {
      CheckRange("service", service.name, "timeout_ms", service.timeout_ms, kTimeoutMsRange);
      CheckRange("service", service.name, "slots", service.slots, kSlotsRange);
      CheckRange("service", service.name, "connections", service.connections, kConnectionsRange);
      for (const std::string& method : service.idempotent_methods) {
        if (!IsValidMethod(method)) {
          AddProblem("service", service.name,
                     "has the invalid idempotent method " + Quote(method) + "; " +
                         std::string(kMethodRule));
        }
      }
    }
  }

  void CheckRules(const std::vector<wire::Rule>& rules) {
    for (const wire::Rule& rule : rules) {
      CheckRange("rule", rule.name, "max_attempts", rule.max_attempts, kMaxAttemptsRange);
      CheckRange("rule", rule.name, "deadline_ms", rule.deadline_ms, kDeadlineMsRange);
    }
  }

  void CheckTargets(const std::vector<wire::Target>& targets) {
    for (const wire::Target& target : targets) {
      if (!IsValidName(target.data_centre)) {
        AddProblem("target", target.name,
                   "has the invalid data_centre " + Quote(target.data_centre) + "; " +
                       std::string(kNameRule));
      }
      if (!IsValidAddress(target.address)) {
        AddProblem(
            "target", target.name,
            "has the invalid address " + Quote(target.address) + "; " + std::string(kAddressRule));
      }
    }
  }

  void CheckRoutes(const std::vector<wire::Route>& routes) {
    for (const wire::Route& route : routes) {
      if (!IsValidPrefix(route.path_prefix)) {
        AddProblem("route", route.name,
                   "has the invalid path_prefix " + Quote(route.path_prefix) + "; " +
                       std::string(kPrefixRule));
      }
      for (const std::string& caller : route.callers) {
        if (!IsValidName(caller)) {
          AddProblem("route", route.name,
                     "has the invalid caller " + Quote(caller) + "; " + std::string(kNameRule));
        }
      }
    }
  }

  void CheckReferences(const wire::FullConfig& config,
                       const NameSet& services,
                       const NameSet& rules) {
    for (const wire::Target& target : config.targets) {
      if (!services.contains(target.service_name)) {
        AddProblem("target", target.name,
                   "refers to the unknown service " + Quote(target.service_name));
      }
    }
    for (const wire::Route& route : config.routes) {
      if (!services.contains(route.service_name)) {
        AddProblem("route", route.name,
                   "refers to the unknown service " + Quote(route.service_name));
      }
      if (!rules.contains(route.rule)) {
        AddProblem("route", route.name, "refers to the unknown rule " + Quote(route.rule));
      }
    }
  }

  void CheckPrefixes(const std::vector<wire::Route>& routes) {
    for (const PrefixConflict& conflict : FindPrefixConflicts(routes)) {
      AddProblem("route", conflict.route->name, DescribeConflict(conflict));
    }
  }

  std::vector<std::string> problems_;
};

template <typename Resource>
std::unordered_map<std::string_view, const Resource*> IndexByName(
    const std::vector<Resource>& resources) {
  std::unordered_map<std::string_view, const Resource*> index;
  index.reserve(resources.size());
  for (const Resource& resource : resources) {
    index[resource.name] = &resource;
  }
  return index;
}

template <typename Resource>
void DiffResources(const std::vector<Resource>& from,
                   const std::vector<Resource>& to,
                   std::vector<Resource>& set,
                   std::vector<std::string>& removed) {
  const auto old_index = IndexByName(from);
  const auto new_index = IndexByName(to);
  for (const Resource& resource : to) {
    const auto it = old_index.find(resource.name);
    if (it == old_index.end() || !(*it->second == resource)) {
      set.push_back(resource);
    }
  }
  for (const Resource& resource : from) {
    if (!new_index.contains(resource.name)) {
      removed.push_back(resource.name);
    }
  }
  std::ranges::stable_sort(set, {}, &Resource::name);
  std::ranges::sort(removed);
}

template <typename Resource>
void ApplyResources(const std::vector<Resource>& set,
                    const std::vector<std::string>& removed,
                    std::vector<Resource>& resources) {
  NameSet replaced(removed.begin(), removed.end());
  for (const Resource& resource : set) {
    replaced.insert(resource.name);
  }
  std::erase_if(resources, [&](const Resource& old) { return replaced.contains(old.name); });
  // A name that the delta sets twice is kept twice, so that the result does not validate.
  resources.insert(resources.end(), set.begin(), set.end());
  std::ranges::stable_sort(resources, {}, &Resource::name);
}

}  // namespace

ValidationError::ValidationError(std::vector<std::string> problems)
    : Error(SummariseProblems(problems)), problems_(std::move(problems)) {}

std::vector<std::string> FindProblems(const wire::FullConfig& config) {
  return ConfigChecker().Run(config);
}

void Validate(const wire::FullConfig& config) {
  std::vector<std::string> problems = FindProblems(config);
  if (!problems.empty()) {
    throw ValidationError(std::move(problems));
  }
}

wire::ConfigDelta Diff(const wire::FullConfig& from, const wire::FullConfig& to) {
  wire::ConfigDelta delta;
  DiffResources(from.services, to.services, delta.set_services, delta.removed_services);
  DiffResources(from.targets, to.targets, delta.set_targets, delta.removed_targets);
  DiffResources(from.rules, to.rules, delta.set_rules, delta.removed_rules);
  DiffResources(from.routes, to.routes, delta.set_routes, delta.removed_routes);
  return delta;
}

bool IsEmpty(const wire::ConfigDelta& delta) {
  return delta.set_services.empty() && delta.set_targets.empty() && delta.set_rules.empty() &&
         delta.set_routes.empty() && delta.removed_services.empty() &&
         delta.removed_targets.empty() && delta.removed_rules.empty() &&
         delta.removed_routes.empty();
}

wire::FullConfig ApplyDelta(const wire::FullConfig& base, const wire::ConfigDelta& delta) {
  wire::FullConfig result = base;
  ApplyResources(delta.set_services, delta.removed_services, result.services);
  ApplyResources(delta.set_targets, delta.removed_targets, result.targets);
  ApplyResources(delta.set_rules, delta.removed_rules, result.rules);
  ApplyResources(delta.set_routes, delta.removed_routes, result.routes);
  return result;
}

}  // namespace limpet
