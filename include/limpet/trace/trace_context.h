#ifndef LIMPET_TRACE_TRACE_CONTEXT_H_
#define LIMPET_TRACE_TRACE_CONTEXT_H_

#include <optional>
#include <string>
#include <string_view>

#include "limpet/core/random.h"

namespace limpet {

/// Identifies a span within a trace, as in the header `traceparent` (W3C Trace Context).
struct TraceContext {
  /// 32 lower-case hexadecimal digits, not all zero.
  std::string trace_id;
  /// 16 lower-case hexadecimal digits, not all zero.
  std::string span_id;
  bool sampled = false;

  bool operator==(const TraceContext&) const = default;
};

/// Returns nothing if the text is not a valid traceparent. Accepts further fields after the flags
/// only in versions above 00.
std::optional<TraceContext> ParseTraceparent(std::string_view text);

/// Formats a traceparent of version 00.
std::string FormatTraceparent(const TraceContext& context);

/// Creates span ids and decides which calls without a traceparent are sampled. Not safe for
/// concurrent use.
class TraceSampler {
 public:
  /// `fraction` (0 to 1) is the fraction of the new traces that are sampled.
  TraceSampler(double fraction, Random random) : fraction_(fraction), random_(random) {}

  /// Returns a new span that continues the trace of a valid `traceparent` with its sampling
  /// decision. Otherwise starts a new trace.
  TraceContext StartOrContinue(std::string_view traceparent);

  /// Returns a new span of the same trace.
  TraceContext MakeChild(const TraceContext& parent);

 private:
  std::string NewSpanId();

  double fraction_;
  Random random_;
};

}  // namespace limpet

#endif  // LIMPET_TRACE_TRACE_CONTEXT_H_
