#ifndef LIMPET_TRACE_SPAN_H_
#define LIMPET_TRACE_SPAN_H_

#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "limpet/core/enum_names.h"
#include "limpet/trace/trace_context.h"

namespace limpet {

/// The numeric values are those of OTLP.
enum class SpanKind { kInternal = 1, kServer = 2, kClient = 3 };

/// A finished span, which covers one hop of a call.
struct Span {
  TraceContext context;
  /// Empty for the root span of a trace.
  std::string parent_span_id;
  std::string name;
  SpanKind kind = SpanKind::kInternal;
  /// Wall-clock time, because the spans of several nodes are shown on one time axis.
  std::chrono::system_clock::time_point start;
  std::chrono::system_clock::time_point end;
  bool failed = false;
  std::vector<std::pair<std::string, std::string>> attributes;
};

/// Returns an OTLP/JSON document (ExportTraceServiceRequest) with the spans of one service, on one
/// line.
std::string ToOtlpJson(const std::string& service_name, const std::vector<Span>& spans);

}  // namespace limpet

#endif  // LIMPET_TRACE_SPAN_H_
