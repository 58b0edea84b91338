#ifndef LIMPET_NET_TRACER_H_
#define LIMPET_NET_TRACER_H_

#include <mutex>
#include <string>
#include <string_view>

#include "limpet/net/span_exporter.h"
#include "limpet/trace/trace_context.h"

namespace limpet {

/// Starts and ends spans of one node; safe for concurrent use. A span that is not sampled costs no
/// export, but its context is still passed on.
class Tracer {
 public:
  Tracer(double sampling, Random random, SpanExporter& exporter);

  /// A span under `traceparent`, or the first one of a new trace if that is empty or malformed.
  Span Start(std::string name, SpanKind kind, std::string_view traceparent);
  void End(Span span);

 private:
  std::mutex mutex_;
  TraceSampler sampler_;
  SpanExporter& exporter_;
};

}  // namespace limpet

#endif  // LIMPET_NET_TRACER_H_
