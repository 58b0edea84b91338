#include "limpet/trace/trace_context.h"

#include <algorithm>

namespace limpet {

namespace {

constexpr size_t kTraceIdDigits = 32;
constexpr size_t kSpanIdDigits = 16;
/// Offsets of the fields in "00-" trace id "-" span id "-" flags.
constexpr size_t kTraceIdStart = 3;
constexpr size_t kSpanIdStart = kTraceIdStart + kTraceIdDigits + 1;
constexpr size_t kFlagsStart = kSpanIdStart + kSpanIdDigits + 1;
constexpr size_t kLength = kFlagsStart + 2;
constexpr int kSampledFlag = 1;

int HexDigitValue(char digit) {
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  return digit >= 'a' && digit <= 'f' ? digit - 'a' + 10 : -1;
}

bool IsHex(std::string_view text) {
  return std::all_of(text.begin(), text.end(),
                     [](char digit) { return HexDigitValue(digit) >= 0; });
}

bool IsValidId(std::string_view text) {
  return IsHex(text) && text.find_first_not_of('0') != std::string_view::npos;
}

bool HasValidLength(std::string_view text, std::string_view version) {
  return text.size() == kLength ||
         (version != "00" && text.size() > kLength && text[kLength] == '-');
}

}  // namespace

std::optional<TraceContext> ParseTraceparent(std::string_view text) {
  if (text.size() < kLength) {
    return std::nullopt;
  }
  const std::string_view version = text.substr(0, 2);
  const std::string_view trace_id = text.substr(kTraceIdStart, kTraceIdDigits);
  const std::string_view span_id = text.substr(kSpanIdStart, kSpanIdDigits);
  const std::string_view flags = text.substr(kFlagsStart, 2);
  const bool has_separators = text[kTraceIdStart - 1] == '-' && text[kSpanIdStart - 1] == '-' &&
                              text[kFlagsStart - 1] == '-';
  if (!has_separators || !HasValidLength(text, version) || !IsHex(version) || version == "ff" ||
      !IsValidId(trace_id) || !IsValidId(span_id) || !IsHex(flags)) {
    return std::nullopt;
  }
  return TraceContext{std::string(trace_id), std::string(span_id),
                      (HexDigitValue(flags[1]) & kSampledFlag) != 0};
}

std::string FormatTraceparent(const TraceContext& context) {
  return "00-" + context.trace_id + "-" + context.span_id + (context.sampled ? "-01" : "-00");
}

TraceContext TraceSampler::StartOrContinue(std::string_view traceparent) {
  if (auto parent = ParseTraceparent(traceparent)) {
    return MakeChild(*parent);
  }
  return {random_.HexId(), NewSpanId(), random_.NextFraction() < fraction_};
}

TraceContext TraceSampler::MakeChild(const TraceContext& parent) {
  return {parent.trace_id, NewSpanId(), parent.sampled};
}

std::string TraceSampler::NewSpanId() {
  return random_.HexId().substr(0, kSpanIdDigits);
}

}  // namespace limpet
