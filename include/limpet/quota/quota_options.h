#ifndef LIMPET_QUOTA_QUOTA_OPTIONS_H_
#define LIMPET_QUOTA_QUOTA_OPTIONS_H_

#include "limpet/core/time.h"

namespace limpet {

/// Requests of one account that all nodes together may pass to targets.
struct AccountLimit {
  /// 0 means no limit.
  double requests_per_s = 0;
  double burst = 0;

  bool operator==(const AccountLimit&) const = default;
};

struct QuotaOptions {
  /// In each window, at most (limit in the window) * (1 + `overshoot`) + `slack` requests pass.
  Duration window = std::chrono::seconds(5);
  double overshoot = 0.1;
  double slack = 20;
  /// Time from the sending of a request for tokens for which they may be used. A window may contain
  /// tokens granted up to this long before it, so a longer term leaves a lower rate.
  Duration term = std::chrono::milliseconds(250);
  /// Refill time for which unused tokens are kept beyond the burst of the account. Requests for
  /// tokens arrive at intervals, and the tokens of an interval must not be lost.
  Duration kept_refill = std::chrono::milliseconds(100);
  /// A request of a caller waits this long for its token.
  Duration reply_timeout = std::chrono::milliseconds(150);
  /// Time after which another node decides if the process of the holder is gone: the TTL of
  /// `DecisionLease`.
  Duration takeover_time = std::chrono::seconds(3);
};

/// Shares of the permitted excess (overshoot and slack). The fallback allowance of all nodes gets
/// the first; the others cover the term of grants and the refill that a bucket keeps. The remaining
/// tenth of the slack covers rounding.
inline constexpr double kFallbackShare = 0.5;
inline constexpr double kTermShare = 0.5;
inline constexpr double kKeptSlackShare = 0.4;

}  // namespace limpet

#endif  // LIMPET_QUOTA_QUOTA_OPTIONS_H_
