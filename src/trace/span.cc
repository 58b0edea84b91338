#include "limpet/trace/span.h"

#include <nlohmann/json.hpp>

namespace limpet {

namespace {

/// OTLP status codes: 0 is unset, 2 is error.
constexpr int kStatusUnset = 0;
constexpr int kStatusError = 2;

nlohmann::json Attribute(const std::string& key, const std::string& value) {
  return {{"key", key}, {"value", {{"stringValue", value}}}};
}

/// OTLP/JSON writes 64-bit numbers as strings.
std::string UnixNanos(std::chrono::system_clock::time_point time) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
}

nlohmann::json ToJson(const Span& span) {
  nlohmann::json attributes = nlohmann::json::array();
  for (const auto& [key, value] : span.attributes) {
    attributes.push_back(Attribute(key, value));
  }
  return {{"traceId", span.context.trace_id},
          {"spanId", span.context.span_id},
          {"parentSpanId", span.parent_span_id},
          {"name", span.name},
          {"kind", static_cast<int>(span.kind)},
          {"startTimeUnixNano", UnixNanos(span.start)},
          {"endTimeUnixNano", UnixNanos(span.end)},
          {"attributes", attributes},
          {"status", {{"code", span.failed ? kStatusError : kStatusUnset}}}};
}

}  // namespace

std::string ToOtlpJson(const std::string& service_name, const std::vector<Span>& spans) {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& span : spans) {
    list.push_back(ToJson(span));
  }
  nlohmann::json scope;
  scope["scope"] = {{"name", "limpetgrade"}};
  scope["spans"] = std::move(list);
  nlohmann::json resource;
  resource["resource"]["attributes"] =
      nlohmann::json::array({Attribute("service.name", service_name)});
  resource["scopeSpans"] = nlohmann::json::array({std::move(scope)});
  nlohmann::json document;
  document["resourceSpans"] = nlohmann::json::array({std::move(resource)});
  return document.dump();
}

}  // namespace limpet
