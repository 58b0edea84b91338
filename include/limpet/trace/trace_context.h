#ifndef LIMPET_TRACE_TRACE_CONTEXT_H_
#define LIMPET_TRACE_TRACE_CONTEXT_H_

#include <optional>
#include <string>
#include <string_view>

#include "limpet/core/random.h"

namespace limpet {

/// Identity of a span within a trace, as carried by the header `traceparent` (W3C Trace Context).
struct TraceContext {
  /// 32 lower-case hexadecimal digits, not all zero.
  std::string trace_id;
  /// 16 lower-case hexadecimal digits, not all zero.
  std::string span_id;
  bool sampled = false;

  bool operator==(const TraceContext&) const = default;
};

/// Nothing if the text is not a valid traceparent. A version above 00 may have further fields.
std::optional<TraceContext> ParseTraceparent(std::string_view text);

/// Version 00.
std::string FormatTraceparent(const TraceContext& context);

/// Starts traces for a fraction of the calls that come without a traceparent. Not safe for
/// concurrent use.
class TraceSampler {
 public:
  /// `fraction` is between 0 and 1.
  TraceSampler(double fraction, Random random) : fraction_(fraction), random_(random) {}

  /// Continues the trace of a valid `traceparent` with its sampling decision, otherwise starts a
  /// new trace.
  TraceContext StartOrContinue(std::string_view traceparent);

  /// A new span of the same trace.
  TraceContext MakeChild(const TraceContext& parent);

 private:
  std::string NewSpanId();

  double fraction_;
  Random random_;
};

}  // namespace limpet

#endif  // LIMPET_TRACE_TRACE_CONTEXT_H_
