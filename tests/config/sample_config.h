#ifndef LIMPET_TESTS_CONFIG_SAMPLE_CONFIG_H_
#define LIMPET_TESTS_CONFIG_SAMPLE_CONFIG_H_

#include <string>
#include <vector>

#include "limpet_types.h"

namespace limpet {

inline wire::Service MakeService(const std::string& name) {
  wire::Service service;
  service.name = name;
  service.timeout_ms = 1000;
  service.idempotent_methods = {"GET"};
  service.slots = 12;
  service.connections = 130;
  return service;
}

inline wire::Target MakeTarget(const std::string& name, const std::string& service) {
  wire::Target target;
  target.name = name;
  target.service_name = service;
  target.data_centre = "munster-1";
  target.address = "10.0.0.1:8080";
  return target;
}

inline wire::Rule MakeRule(const std::string& name) {
  wire::Rule rule;
  rule.name = name;
  rule.retry_enabled = true;
  rule.max_attempts = 2;
  rule.deadline_ms = 2000;
  return rule;
}

inline wire::Route MakeRoute(const std::string& name,
                             const std::string& prefix,
                             const std::vector<std::string>& callers = {}) {
  wire::Route route;
  route.name = name;
  route.path_prefix = prefix;
  route.service_name = "ticket-desk";
  route.rule = "strict";
  route.callers = callers;
  return route;
}

/// Returns a valid configuration with one service, one target, one rule and one route.
inline wire::FullConfig SampleConfig() {
  wire::FullConfig config;
  config.services = {MakeService("ticket-desk")};
  config.targets = {MakeTarget("t1", "ticket-desk")};
  config.rules = {MakeRule("strict")};
  config.routes = {MakeRoute("desk", "/desk")};
  return config;
}

}  // namespace limpet

#endif  // LIMPET_TESTS_CONFIG_SAMPLE_CONFIG_H_
