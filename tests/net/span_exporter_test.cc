#include "limpet/net/span_exporter.h"

#include <doctest/doctest.h>

#include <atomic>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "limpet/core/error.h"

namespace limpet {
namespace {

Span MakeSpan() {
  Span span;
  span.context = {std::string(32, 'a'), std::string(16, 'b'), true};
  span.name = "inbound";
  span.kind = SpanKind::kServer;
  span.end = span.start + std::chrono::milliseconds(2);
  span.attributes = {{"limpet.caller", "desk"}};
  return span;
}

TEST_CASE("spans are written as OTLP/JSON documents") {
  Counters counters;
  std::string text;
  {
    SpanExporter exporter(
        "limpetd/a", [&](const std::string& document) { text = document; }, counters);
    exporter.Export(MakeSpan());
  }
  const auto json = nlohmann::json::parse(text);
  const auto& resource = json["resourceSpans"][0];
  CHECK(resource["resource"]["attributes"][0]["value"]["stringValue"] == "limpetd/a");
  const auto& span = resource["scopeSpans"][0]["spans"][0];
  CHECK(span["traceId"] == std::string(32, 'a'));
  CHECK(span["kind"] == 2);
  CHECK(span["endTimeUnixNano"] == "2000000");
  CHECK(span["attributes"][0]["key"] == "limpet.caller");
  CHECK(counters.Get("spans_exported").value() == 1);
}

TEST_CASE(
    "a stalled collector never blocks Export; spans beyond the queue are dropped and counted") {
  Counters counters;
  std::atomic<bool> release{false};
  {
    SpanExporter exporter(
        "limpetd/a",
        [&](const std::string&) {
          while (!release) {
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
          }
          throw Error("collector down");
        },
        counters);
    // Up to two batches can be outside the queue. Export returns although the sink is blocked.
    for (size_t i = 0; i < 2 * SpanExporter::kQueueLength; ++i) {
      exporter.Export(MakeSpan());
    }
    CHECK(counters.Get("spans_dropped").value() >=
          static_cast<int64_t>(SpanExporter::kQueueLength - 2 * SpanExporter::kBatchLength));
    release = true;
  }
  CHECK(counters.Get("spans_exported").value() == 0);
  CHECK(counters.Get("spans_failed").value() + counters.Get("spans_dropped").value() ==
        2 * static_cast<int64_t>(SpanExporter::kQueueLength));
}

}  // namespace
}  // namespace limpet
