#include "limpet/trace/span.h"

#include <nlohmann/json.hpp>

namespace limpet {

namespace {

/// Status codes of OTLP.
constexpr int kStatusUnset = 0;
constexpr int kStatusError = 2;

nlohmann::json MakeAttribute(const std::string& key, const std::string& value) {
  return {{"key", key}, {"value", {{"stringValue", value}}}};
}

/// Returns nanoseconds since the Unix epoch as text: OTLP/JSON writes 64-bit numbers as strings.
std::string FormatUnixNanos(std::chrono::system_clock::time_point time) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::nanoseconds>(time.time_since_epoch()).count());
}

nlohmann::json ToJson(const Span& span) {
  nlohmann::json attributes = nlohmann::json::array();
  for (const auto& [key, value] : span.attributes) {
    attributes.push_back(MakeAttribute(key, value));
  }
  return {{"traceId", span.context.trace_id},
          {"spanId", span.context.span_id},
          {"parentSpanId", span.parent_span_id},
          {"name", span.name},
          {"kind", static_cast<int>(span.kind)},
          {"startTimeUnixNano", FormatUnixNanos(span.start)},
          {"endTimeUnixNano", FormatUnixNanos(span.end)},
          {"attributes", attributes},
          {"status", {{"code", span.failed ? kStatusError : kStatusUnset}}}};
}

}  // namespace

std::string ToOtlpJson(const std::string& service_name, const std::vector<Span>& spans) {
  nlohmann::json span_list = nlohmann::json::array();
  for (const auto& span : spans) {
    span_list.push_back(ToJson(span));
  }
  nlohmann::json scope;
  scope["scope"] = {{"name", "limpetgrade"}};
  scope["spans"] = std::move(span_list);
  nlohmann::json resource;
  resource["resource"]["attributes"] =
      nlohmann::json::array({MakeAttribute("service.name", service_name)});
  resource["scopeSpans"] = nlohmann::json::array({std::move(scope)});
  nlohmann::json document;
  document["resourceSpans"] = nlohmann::json::array({std::move(resource)});
  return document.dump();
}

}  // namespace limpet
