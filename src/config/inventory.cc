#include "limpet/config/inventory.h"

#include <algorithm>
#include <charconv>
#include <span>
#include <unordered_map>
#include <variant>
#include <vector>

#include "config/prefix_conflicts.h"
#include "config/resource_text.h"
#include "limpet/config/config.h"
#include "limpet/config/ini_reader.h"
#include "limpet/config/limits.h"

namespace limpet {
namespace {

/// One key that a section kind allows.
template <typename Resource>
struct Field {
  std::string_view key;
  std::variant<std::string Resource::*,
               int32_t Resource::*,
               bool Resource::*,
               std::vector<std::string> Resource::*>
      member;
  Range range = {};
  bool (*is_valid)(std::string_view) = nullptr;
  std::string_view rule = {};
  bool required = true;
};

const Field<wire::Service> kServiceFields[] = {
    {"timeout_ms", &wire::Service::timeout_ms, kTimeoutMsRange},
    {"idempotent_methods",
     &wire::Service::idempotent_methods,
     {},
     IsValidMethod,
     kMethodRule,
     false},
    {"slots", &wire::Service::slots, kSlotsRange},
    {"connections", &wire::Service::connections, kConnectionsRange},
};
const Field<wire::Target> kTargetFields[] = {
    {"service", &wire::Target::service_name, {}, IsValidName, kNameRule},
    {"data_centre", &wire::Target::data_centre, {}, IsValidName, kNameRule},
    {"address", &wire::Target::address, {}, IsValidAddress, kAddressRule},
};
const Field<wire::Rule> kRuleFields[] = {
    {"retry", &wire::Rule::retry_enabled},
    {"max_attempts", &wire::Rule::max_attempts, kMaxAttemptsRange},
    {"deadline_ms", &wire::Rule::deadline_ms, kDeadlineMsRange},
};
const Field<wire::Route> kRouteFields[] = {
    {"path_prefix", &wire::Route::path_prefix, {}, IsValidPrefix, kPrefixRule},
    {"service", &wire::Route::service_name, {}, IsValidName, kNameRule},
    {"rule", &wire::Route::rule, {}, IsValidName, kNameRule},
    {"callers", &wire::Route::callers, {}, IsValidName, kNameRule, false},
};

template <typename Number>
bool ParseNumber(std::string_view text, Number& number) {
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  return error == std::errc() && stop == end;
}

std::string_view Trim(std::string_view text) {
  text.remove_prefix(std::min(text.find_first_not_of(" \t"), text.size()));
  return text.substr(0, text.find_last_not_of(" \t") + 1);
}

/// Returns the items between commas; none for empty text.
std::vector<std::string> SplitList(std::string_view text) {
  std::vector<std::string> items;
  while (!text.empty()) {
    const std::size_t comma = std::min(text.find(','), text.size());
    items.emplace_back(Trim(text.substr(0, comma)));
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return items;
}

/// Sets a member from text. Returns an empty string, or the allowed values if the text is invalid.
template <typename Resource>
struct FieldSetter {
  const Field<Resource>& field;
  std::string_view text;
  Resource& resource;

  std::string operator()(std::string Resource::*member) const {
    resource.*member = text;
    return field.is_valid(text) ? "" : std::string(field.rule);
  }
  std::string operator()(int32_t Resource::*member) const {
    const bool allowed =
        ParseNumber(text, resource.*member) && field.range.Contains(resource.*member);
    return allowed ? "" : "allowed is a whole number from " + field.range.ToString();
  }
  std::string operator()(bool Resource::*member) const {
    resource.*member = text == "yes";
    return text == "yes" || text == "no" ? "" : "allowed is yes or no";
  }
  std::string operator()(std::vector<std::string> Resource::*member) const {
    resource.*member = SplitList(text);
    const bool allowed = std::ranges::all_of(
        resource.*member, [this](const std::string& item) { return field.is_valid(item); });
    return allowed ? "" : "allowed is a list separated by commas; " + std::string(field.rule);
  }
};

std::string EscapeBackslashes(const std::string& text) {
  std::string result;
  for (const char c : text) {
    result += c == '\\' ? "\\\\" : std::string(1, c);
  }
  return result;
}

template <typename Resource>
struct FieldFormatter {
  const Resource& resource;

  std::string operator()(std::string Resource::*member) const {
    return EscapeBackslashes(resource.*member);
  }
  std::string operator()(int32_t Resource::*member) const {
    return std::to_string(resource.*member);
  }
  std::string operator()(bool Resource::*member) const { return resource.*member ? "yes" : "no"; }
  std::string operator()(std::vector<std::string> Resource::*member) const {
    std::string text;
    for (const std::string& item : resource.*member) {
      text += (text.empty() ? "" : ", ") + item;
    }
    return text;
  }
};

using Locations = std::unordered_map<std::string, SourceLocation>;

class InventoryParser {
 public:
  explicit InventoryParser(std::string file) : file_(std::move(file)) {}

  wire::FullConfig Parse(const std::string& text) {
    for (const IniSection& section : ReadIni(text, file_)) {
      const std::size_t space = std::min(section.name.find(' '), section.name.size());
      const std::string kind = section.name.substr(0, space);
      const std::string name(Trim(std::string_view(section.name).substr(space)));
      if (kind == "service") {
        AddResource<wire::Service>(section, kind, name, kServiceFields, config_.services);
      } else if (kind == "target") {
        AddResource<wire::Target>(section, kind, name, kTargetFields, config_.targets);
      } else if (kind == "rule") {
        AddResource<wire::Rule>(section, kind, name, kRuleFields, config_.rules);
      } else if (kind == "route") {
        AddResource<wire::Route>(section, kind, name, kRouteFields, config_.routes);
      } else if (section.name == "inventory") {
        ReadInventorySection(section);
      } else {
        throw FileError(section.location,
                        "unknown kind of section [" + section.name +
                            "]; known are [service NAME], [target NAME], [rule NAME], [route "
                            "NAME] and [inventory]");
      }
    }
    CheckReferences();
    SortAndValidate();
    return std::move(config_);
  }

 private:
  void ReadInventorySection(const IniSection& section) {
    if (!locations_.try_emplace("inventory", section.location).second) {
      throw FileError(section.location, "[inventory] is given twice; remove one");
    }
    for (const IniEntry& entry : section.entries) {
      if (entry.key != "version") {
        throw FileError(entry.location, "unknown key " + Quote(entry.key) +
                                            " in [inventory]; the only key is version");
      }
      if (!ParseNumber(entry.value, config_.version) || config_.version < 0) {
        throw FileError(entry.location,
                        "version = " + Quote(entry.value) +
                            " is not allowed; give the version that the file is based on, a "
                            "whole number from 0");
      }
    }
  }

  template <typename Resource>
  void AddResource(const IniSection& section,
                   const std::string& kind,
                   const std::string& name,
                   std::span<const Field<Resource>> fields,
                   std::vector<Resource>& resources) {
    if (!IsValidName(name)) {
      throw FileError(section.location, "the section [" + section.name +
                                            "] has no valid name; write [" + kind + " NAME], " +
                                            std::string(kNameRule));
    }
    const auto [it, inserted] = locations_.try_emplace(kind + " " + name, section.location);
    if (!inserted) {
      throw FileError(section.location, kind + " " + name + " is defined twice, first in line " +
                                            std::to_string(it->second.line) +
                                            "; remove or rename one");
    }
    Resource resource;
    resource.name = name;
    for (const IniEntry& entry : section.entries) {
      SetField(section, entry, fields, resource);
      locations_.try_emplace(section.name + " " + entry.key, entry.location);
    }
    for (const Field<Resource>& field : fields) {
      if (field.required && std::ranges::none_of(section.entries, [&](const IniEntry& entry) {
            return entry.key == field.key;
          })) {
        throw FileError(section.location, "[" + section.name + "] lacks the key " +
                                              std::string(field.key) + "; add a line \"" +
                                              std::string(field.key) + " = VALUE\"");
      }
    }
    resources.push_back(std::move(resource));
  }

  template <typename Resource>
  void SetField(const IniSection& section,
                const IniEntry& entry,
                std::span<const Field<Resource>> fields,
                Resource& resource) {
    std::string known;
    for (const Field<Resource>& field : fields) {
      if (field.key == entry.key) {
        const std::string allowed =
            std::visit(FieldSetter<Resource>{field, entry.value, resource}, field.member);
        if (!allowed.empty()) {
          throw FileError(entry.location, entry.key + " = " + Quote(entry.value) + " in [" +
                                              section.name + "] is not allowed; " + allowed);
        }
        return;
      }
      known += (known.empty() ? "" : ", ") + std::string(field.key);
    }
    throw FileError(entry.location, "unknown key " + Quote(entry.key) + " in [" + section.name +
                                        "]; known keys are " + known);
  }

  void CheckReference(const std::string& section,
                      const std::string& key,
                      const std::string& kind,
                      const std::string& name) {
    if (!locations_.contains(kind + " " + name)) {
      throw FileError(FindKeyLocation(section, key), section + " refers to the unknown " + kind +
                                                         " " + name + "; define [" + kind + " " +
                                                         name + "] or correct " + key);
    }
  }

  void CheckReferences() {
    for (const wire::Target& target : config_.targets) {
      CheckReference("target " + target.name, "service", "service", target.service_name);
    }
    for (const wire::Route& route : config_.routes) {
      CheckReference("route " + route.name, "service", "service", route.service_name);
      CheckReference("route " + route.name, "rule", "rule", route.rule);
    }
    for (const PrefixConflict& conflict : FindPrefixConflicts(config_.routes)) {
      const std::string section = "route " + conflict.route->name;
      throw FileError(FindKeyLocation(section, "path_prefix"),
                      section + " " + DescribeConflict(conflict) +
                          "; change one prefix or give the routes different callers");
    }
  }

  /// Sorts the resources and validates the configuration as every node does.
  void SortAndValidate() {
    const int64_t version = config_.version;
    config_ = ApplyDelta(wire::FullConfig(), Diff(wire::FullConfig(), config_));
    config_.version = version;
    for (const std::string& problem : FindProblems(config_)) {
      throw FileError({file_, 0}, problem);
    }
  }

  SourceLocation FindKeyLocation(const std::string& section, const std::string& key) const {
    const auto it = locations_.find(section + " " + key);
    return it == locations_.end() ? SourceLocation{file_, 0} : it->second;
  }

  std::string file_;
  wire::FullConfig config_;
  /// Keys are "kind name" for sections and "kind name key" for keys of a section.
  Locations locations_;
};

template <typename Resource>
void FormatSections(std::string_view kind,
                    std::span<const Field<Resource>> fields,
                    const std::vector<Resource>& resources,
                    std::string& text) {
  for (const Resource& resource : resources) {
    text += "\n[" + std::string(kind) + " " + resource.name + "]\n";
    for (const Field<Resource>& field : fields) {
      text += std::string(field.key) + " = " +
              std::visit(FieldFormatter<Resource>{resource}, field.member) + "\n";
    }
  }
}

}  // namespace

wire::FullConfig ParseInventory(std::string_view text, const std::string& file) {
  return InventoryParser(file).Parse(std::string(text));
}

std::string FormatInventory(const wire::FullConfig& config) {
  std::string text = "[inventory]\nversion = " + std::to_string(config.version) + "\n";
  FormatSections<wire::Service>("service", kServiceFields, config.services, text);
  FormatSections<wire::Target>("target", kTargetFields, config.targets, text);
  FormatSections<wire::Rule>("rule", kRuleFields, config.rules, text);
  FormatSections<wire::Route>("route", kRouteFields, config.routes, text);
  return text;
}

}  // namespace limpet
