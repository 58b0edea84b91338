#ifndef LIMPET_TESTS_SUPPORT_CHANGES_H_
#define LIMPET_TESTS_SUPPORT_CHANGES_H_

#include <string>

#include "limpet_types.h"

namespace limpet::test {

inline wire::Service MakeService(const std::string& name, int timeout_ms = 100) {
  wire::Service service;
  service.name = name;
  service.timeout_ms = timeout_ms;
  service.slots = 1;
  service.connections = 1;
  return service;
}

inline wire::Rule MakeRule(const std::string& name) {
  wire::Rule rule;
  rule.name = name;
  rule.max_attempts = 1;
  rule.deadline_ms = 100;
  return rule;
}

inline wire::Route MakeRoute(const std::string& name,
                             const std::string& service,
                             const std::string& rule) {
  wire::Route route;
  route.name = name;
  route.path_prefix = "/" + name;
  route.service_name = service;
  route.rule = rule;
  return route;
}

}  // namespace limpet::test

#endif  // LIMPET_TESTS_SUPPORT_CHANGES_H_
