#include "limpet/trace/trace_context.h"

#include <doctest/doctest.h>

namespace limpet {
namespace {

const std::string kTraceId = "4bf92f3577b34da6a3ce929d0e0e4736";
const std::string kSpanId = "00f067aa0ba902b7";

TEST_CASE("a traceparent is parsed and formatted as W3C Trace Context defines it") {
  const std::string text = "00-" + kTraceId + "-" + kSpanId + "-01";
  const auto context = ParseTraceparent(text);
  REQUIRE(context);
  CHECK(*context == TraceContext{kTraceId, kSpanId, true});
  CHECK(FormatTraceparent(*context) == text);
  CHECK(ParseTraceparent("cc-" + kTraceId + "-" + kSpanId + "-00-new")->sampled == false);
}

TEST_CASE("a malformed traceparent is not accepted") {
  // Otherwise the node would propagate ids that a collector does not accept.
  const std::string zeros(32, '0');
  for (const std::string& text :
       {std::string(), std::string("00"), "ff-" + kTraceId + "-" + kSpanId + "-01",
        "00-" + zeros + "-" + kSpanId + "-01", "00-" + kTraceId + "-" + zeros.substr(16) + "-01",
        "00-" + kTraceId + "-" + kSpanId + "-01-extra", "00-" + kTraceId + "-" + kSpanId + "-0g",
        "00_" + kTraceId + "-" + kSpanId + "-01",
        "00-4BF92F3577B34DA6A3CE929D0E0E4736-" + kSpanId + "-01"}) {
    CAPTURE(text);
    CHECK_FALSE(ParseTraceparent(text));
  }
}

TEST_CASE("a span that continues a trace keeps the trace id and the sampling decision") {
  TraceSampler sampler(1.0, Random(1));
  const auto child = sampler.StartOrContinue("00-" + kTraceId + "-" + kSpanId + "-00");
  CHECK(child.trace_id == kTraceId);
  CHECK(child.span_id != kSpanId);
  CHECK_FALSE(child.sampled);
}

TEST_CASE("the fraction of new traces that are sampled is near the configured one") {
  TraceSampler sampler(0.1, Random(2));
  int sampled = 0;
  for (int i = 0; i < 10000; ++i) {
    sampled += sampler.StartOrContinue("").sampled ? 1 : 0;
  }
  CHECK(sampled > 850);
  CHECK(sampled < 1150);
}

}  // namespace
}  // namespace limpet
