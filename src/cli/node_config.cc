#include "cli/node_config.h"

#include <nlohmann/json.hpp>

namespace limpet {
namespace {

using Json = nlohmann::json;

wire::Service ParseService(const Json& json) {
  wire::Service service;
  service.name = json.at("name").get<std::string>();
  service.timeout_ms = json.at("timeout_ms").get<int32_t>();
  service.idempotent_methods = json.at("idempotent_methods").get<std::vector<std::string>>();
  service.slots = json.at("slots").get<int32_t>();
  service.connections = json.at("connections").get<int32_t>();
  return service;
}

wire::Target ParseTarget(const Json& json) {
  wire::Target target;
  target.name = json.at("name").get<std::string>();
  target.service_name = json.at("service").get<std::string>();
  target.data_centre = json.at("data_centre").get<std::string>();
  target.address = json.at("address").get<std::string>();
  return target;
}

wire::Rule ParseRule(const Json& json) {
  wire::Rule rule;
  rule.name = json.at("name").get<std::string>();
  rule.retry_enabled = json.at("retry").get<bool>();
  rule.max_attempts = json.at("max_attempts").get<int32_t>();
  rule.deadline_ms = json.at("deadline_ms").get<int32_t>();
  return rule;
}

wire::Route ParseRoute(const Json& json) {
  wire::Route route;
  route.name = json.at("name").get<std::string>();
  route.path_prefix = json.at("path_prefix").get<std::string>();
  route.service_name = json.at("service").get<std::string>();
  route.rule = json.at("rule").get<std::string>();
  route.callers = json.at("callers").get<std::vector<std::string>>();
  return route;
}

}  // namespace

wire::FullConfig ParseNodeConfig(const std::string& body) {
  try {
    const Json json = Json::parse(body);
    wire::FullConfig config;
    config.version = json.at("version").get<int64_t>();
    for (const Json& item : json.at("services")) {
      config.services.push_back(ParseService(item));
    }
    for (const Json& item : json.at("targets")) {
      config.targets.push_back(ParseTarget(item));
    }
    for (const Json& item : json.at("rules")) {
      config.rules.push_back(ParseRule(item));
    }
    for (const Json& item : json.at("routes")) {
      config.routes.push_back(ParseRoute(item));
    }
    return config;
  } catch (const Json::exception& error) {
    throw DecodeError(std::string("malformed response to GET /config: ") + error.what());
  }
}

}  // namespace limpet
