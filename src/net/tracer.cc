#include "limpet/net/tracer.h"

#include <utility>

namespace limpet {

Tracer::Tracer(double sampling, Random random, SpanExporter& exporter)
    : sampler_(sampling, random), exporter_(exporter) {}

Span Tracer::Start(std::string name, SpanKind kind, std::string_view traceparent) {
  Span span;
  span.name = std::move(name);
  span.kind = kind;
  span.start = std::chrono::system_clock::now();
  if (const auto parent = ParseTraceparent(traceparent)) {
    span.parent_span_id = parent->span_id;
  }
  const std::lock_guard lock(mutex_);
  span.context = sampler_.StartOrContinue(traceparent);
  return span;
}

void Tracer::End(Span span) {
  if (span.context.sampled) {
    span.end = std::chrono::system_clock::now();
    exporter_.Export(std::move(span));
  }
}

}  // namespace limpet
