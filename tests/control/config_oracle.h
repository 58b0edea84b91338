#ifndef LIMPET_TESTS_CONTROL_CONFIG_ORACLE_H_
#define LIMPET_TESTS_CONTROL_CONFIG_ORACLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "limpet_types.h"

namespace limpet::test {

/// Content of a configuration as plain maps: service name to timeout, route name to service name.
struct Content {
  std::map<std::string, int> services;
  std::map<std::string, std::string> routes;

  bool operator==(const Content&) const = default;
};

struct Change {
  int64_t base = 0;
  bool malformed = false;
  Content set;
  std::optional<std::string> removed_service;
};

/// An independent, simple implementation of the replay rule, to compare nodes with.
class ConfigOracle {
 public:
  void Append(const Change& change) {
    ++end_offset_;
    if (change.malformed || change.base != current_version()) {
      return;
    }
    Content next = accepted_.rbegin()->second;
    if (change.removed_service) {
      next.services.erase(*change.removed_service);
    }
    for (const auto& [name, timeout] : change.set.services) {
      next.services[name] = timeout;
    }
    for (const auto& [name, service] : change.set.routes) {
      next.routes[name] = service;
    }
    for (const auto& [name, service] : next.routes) {
      if (!next.services.contains(service)) {
        return;
      }
    }
    accepted_[end_offset_] = next;
  }

  int64_t current_version() const { return accepted_.rbegin()->first; }
  /// Returns null for a version that was not accepted, which no node may have.
  const Content* Find(int64_t version) const {
    const auto found = accepted_.find(version);
    return found == accepted_.end() ? nullptr : &found->second;
  }

  static Content ToContent(const wire::FullConfig& config) {
    Content content;
    for (const wire::Service& service : config.services) {
      content.services[service.name] = service.timeout_ms;
    }
    for (const wire::Route& route : config.routes) {
      content.routes[route.name] = route.service_name;
    }
    return content;
  }

 private:
  int64_t end_offset_ = 0;
  std::map<int64_t, Content> accepted_ = {{0, {}}};
};

}  // namespace limpet::test

#endif  // LIMPET_TESTS_CONTROL_CONFIG_ORACLE_H_
