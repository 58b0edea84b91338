#ifndef LIMPET_TRAFFIC_RETRY_POLICY_H_
#define LIMPET_TRAFFIC_RETRY_POLICY_H_

#include <optional>

#include "limpet/core/random.h"
#include "limpet/core/time.h"
#include "limpet_types.h"

namespace limpet {

struct RetryOptions {
  /// Tokens that one call adds; one retry costs one token.
  double tokens_per_call = 0.1;
  /// Most tokens held; also the number at the start, so that a node with few calls can retry.
  double max_tokens = 10;
  Duration base_delay = std::chrono::milliseconds(2);
  Duration max_delay = std::chrono::milliseconds(100);
  /// When false, failures that a lower level has already handled are retried as well. Only for
  /// measuring what the mark is worth.
  bool honour_already_retried = true;
};

/// One attempt that did not end with an answer.
struct FailedAttempt {
  wire::Outcome::type outcome = wire::Outcome::kUnknown;
  wire::RefusalReason::type reason = wire::RefusalReason::kNone;
  /// The level below has handled the failure already.
  bool already_retried = false;
  bool idempotent = false;
  /// Attempts made so far, this one included.
  int attempts = 1;
  int max_attempts = 1;
  /// Time left until the deadline of the call.
  Duration remaining{0};
};

/// Decides on retries for all calls of one node within one token budget. Not safe for concurrent
/// use.
class RetryPolicy {
 public:
  RetryPolicy(RetryOptions options, Random random);

  /// Counts one new call.
  void OnCall();

  /// The delay before the next attempt, or nothing if there must be none. Takes a token.
  std::optional<Duration> Retry(const FailedAttempt& failed);

  double tokens() const { return tokens_; }

 private:
  bool IsAllowed(const FailedAttempt& failed) const;

  RetryOptions options_;
  Random random_;
  double tokens_;
};

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_RETRY_POLICY_H_
