#ifndef LIMPET_TRAFFIC_RETRY_POLICY_H_
#define LIMPET_TRAFFIC_RETRY_POLICY_H_

#include <optional>

#include "limpet/core/random.h"
#include "limpet/core/time.h"
#include "limpet_types.h"

namespace limpet {

struct RetryOptions {
  /// Tokens added by each call. Each retry costs one token.
  double tokens_per_call = 0.1;
  /// Maximum number of tokens. The budget starts with this number, so that a node with few calls
  /// can retry.
  double max_tokens = 10;
  Duration base_delay = std::chrono::milliseconds(2);
  Duration max_delay = std::chrono::milliseconds(100);
  /// If false, failures with `already_retried` are retried as well. Only for measurements of the
  /// effect of `already_retried`.
  bool honour_already_retried = true;
};

/// One attempt that ended without a response of the target.
struct FailedAttempt {
  wire::Outcome::type outcome = wire::Outcome::kUnknown;
  wire::RefusalReason::type reason = wire::RefusalReason::kNone;
  /// A node further down has already retried, or decided against it.
  bool already_retried = false;
  bool idempotent = false;
  /// Attempts of the call so far, this one included.
  int attempts = 1;
  int max_attempts = 1;
  /// Time left until the deadline of the call.
  Duration remaining{0};
};

/// Decides on the retries of all calls of one node, which share one token budget. Not safe for
/// concurrent use.
class RetryPolicy {
 public:
  RetryPolicy(RetryOptions options, Random random);

  /// Adds the tokens of one new call.
  void OnCall();

  /// Returns the delay before the next attempt and spends a token, or returns nothing if there must
  /// be no retry.
  std::optional<Duration> ReserveRetry(const FailedAttempt& failed);

  double tokens() const { return tokens_; }

 private:
  bool IsAllowed(const FailedAttempt& failed) const;

  RetryOptions options_;
  Random random_;
  double tokens_;
};

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_RETRY_POLICY_H_
