#ifndef LIMPET_NET_TRACER_H_
#define LIMPET_NET_TRACER_H_

#include <mutex>
#include <string>
#include <string_view>

#include "limpet/net/span_exporter.h"
#include "limpet/trace/trace_context.h"

namespace limpet {

/// Starts and ends the spans of one node. Safe for concurrent use. A span that is not sampled is
/// not exported, but its context is still propagated.
class Tracer {
 public:
  Tracer(double sampling, Random random, SpanExporter& exporter);

  /// Starts a child span of `traceparent`, or the root span of a new trace if `traceparent` is
  /// empty or malformed.
  Span Start(std::string name, SpanKind kind, std::string_view traceparent);
  /// Exports the span if it is sampled.
  void End(Span span);

 private:
  std::mutex mutex_;
  TraceSampler sampler_;
  SpanExporter& exporter_;
};

}  // namespace limpet

#endif  // LIMPET_NET_TRACER_H_
