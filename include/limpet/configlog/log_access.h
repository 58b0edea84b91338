#ifndef LIMPET_CONFIGLOG_LOG_ACCESS_H_
#define LIMPET_CONFIGLOG_LOG_ACCESS_H_

#include "limpet/control/control_output.h"
#include "limpet/core/enum_names.h"

namespace limpet {

inline constexpr EnumNames<LogStatus, 7> kLogStatusNames = {{
    {LogStatus::kOk, "ok"},
    {LogStatus::kUnavailable, "unavailable"},
    {LogStatus::kUnknownOutcome, "unknown_outcome"},
    {LogStatus::kThrottled, "throttled"},
    {LogStatus::kTooLarge, "too_large"},
    {LogStatus::kOffsetExpired, "offset_expired"},
    {LogStatus::kMalformedResponse, "malformed_answer"},
}};

/// Blocking access to the platform's log. Implementations report every failure as a `LogStatus` and
/// never throw.
class LogAccess {
 public:
  virtual ~LogAccess() = default;

  virtual LogResult Append(const LogAppend& request) = 0;
  virtual LogResult Read(const LogRead& request) = 0;
};

}  // namespace limpet

#endif  // LIMPET_CONFIGLOG_LOG_ACCESS_H_
