#include "limpet/traffic/retry_policy.h"

#include <algorithm>

#include "limpet/core/fault.h"

namespace limpet {
namespace {

using Reason = wire::RefusalReason;

constexpr double kDelayJitter = 0.5;
/// An attempt with less time than this could not complete before the deadline.
constexpr Duration kMinAttemptTime = std::chrono::milliseconds(1);

bool IsPermanent(Reason::type reason) {
  return reason == Reason::kDeadlinePassed || reason == Reason::kCancelled ||
         reason == Reason::kNoRoute || reason == Reason::kNoEndpoint;
}

}  // namespace

RetryPolicy::RetryPolicy(RetryOptions options, Random random)
    : options_(options), random_(random), tokens_(options.max_tokens) {}

void RetryPolicy::OnCall() {
  tokens_ = std::min(options_.max_tokens, tokens_ + options_.tokens_per_call);
}

std::optional<Duration> RetryPolicy::ReserveRetry(const FailedAttempt& failed) {
  constexpr int kMaxDoublings = 10;
  if (!IsAllowed(failed) || tokens_ < 1) {
    return std::nullopt;
  }
  const int doublings = std::clamp(failed.attempts - 1, 0, kMaxDoublings);
  const Duration delay = random_.Jitter(
      std::min(options_.max_delay, options_.base_delay * (1 << doublings)), kDelayJitter);
  if (delay + kMinAttemptTime >= failed.remaining) {
    return std::nullopt;
  }
  tokens_ -= 1;
  return delay;
}

bool RetryPolicy::IsAllowed(const FailedAttempt& failed) const {
  if (failed.attempts >= failed.max_attempts || IsPermanent(failed.reason)) {
    return false;
  }
  if (failed.already_retried && options_.honour_already_retried) {
    return false;
  }
  switch (failed.outcome) {
    case wire::Outcome::kNotRun:
      return true;
    case wire::Outcome::kUnknown:
      return failed.idempotent || IsFaultActive(Fault::kRetryUnknown);
    case wire::Outcome::kRan:
      break;
  }
  return false;
}

}  // namespace limpet
