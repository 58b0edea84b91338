#ifndef LIMPET_TRAFFIC_OUTBOUND_CALL_H_
#define LIMPET_TRAFFIC_OUTBOUND_CALL_H_

#include <optional>
#include <string>
#include <vector>

#include "limpet/core/random.h"
#include "limpet/core/time.h"
#include "limpet/traffic/balancer.h"
#include "limpet/traffic/retry_policy.h"
#include "limpet_types.h"

namespace limpet {

struct OutboundCallOptions {
  std::string service;
  bool idempotent = false;
  /// Whole time of the call, retries included.
  Duration deadline = std::chrono::seconds(1);
  /// Longest time of one attempt; 0 means up to the deadline. Shorter than the deadline it leaves
  /// an idempotent call time for another attempt.
  Duration attempt_timeout{0};
  /// 1 means no retries.
  int max_attempts = 1;
};

/// Send the attempt to `endpoint` after `delay`. If neither a reply nor a connection failure has
/// come when `timeout` has passed since the send, call OnTimeout.
struct SendAttempt {
  Endpoint endpoint;
  std::string attempt_id;
  Duration delay{0};
  Duration timeout{0};
  /// For CallRequest::deadline_ms; what is left of the attempt's time at the moment of the send.
  int deadline_ms = 0;
};

/// Abandon an attempt: close its connection, which cancels it downstream.
struct CancelAttempt {
  Endpoint endpoint;
  std::string attempt_id;
};

struct CallResult {
  wire::Outcome::type outcome = wire::Outcome::kUnknown;
  wire::RefusalReason::type reason = wire::RefusalReason::kNone;
  /// To be passed on with a failure, so that the levels above do not retry it.
  bool already_retried = false;
  int attempts = 0;
  /// Set only for `kRan`.
  std::optional<wire::CallReply> reply;
};

/// What the caller of the state machine does next, in the order of the members.
struct CallActions {
  std::optional<CancelAttempt> cancel;
  std::optional<SendAttempt> send;
  std::optional<CallResult> finish;
};

/// Life of one call at the outbound node. Not safe for concurrent use; `balancer` and
/// `retry_policy` are shared by all calls of the node and must outlive it. Events for an attempt
/// other than the current one, or after the end, have no effect.
class OutboundCall {
 public:
  OutboundCall(OutboundCallOptions options,
               Balancer& balancer,
               RetryPolicy& retry_policy,
               Random& random);

  /// Sends the first attempt. Call it once.
  CallActions Start(TimePoint now);

  /// The reply must be whole; a truncated one is a connection failure after the first byte.
  CallActions OnReply(TimePoint now, const wire::CallReply& reply);

  /// `first_byte_sent` is false only if no byte of the request can have reached the endpoint.
  CallActions OnConnectionFailure(TimePoint now,
                                  const std::string& attempt_id,
                                  bool first_byte_sent);

  CallActions OnTimeout(TimePoint now, const std::string& attempt_id);

  /// The caller has disconnected.
  CallActions Cancel(TimePoint now);

  /// The same for all attempts of this call; for CallRequest::request_id.
  const std::string& request_id() const { return request_id_; }
  bool finished() const { return finished_; }

 private:
  struct AttemptEnd {
    wire::Outcome::type outcome = wire::Outcome::kUnknown;
    wire::RefusalReason::type reason = wire::RefusalReason::kNone;
    bool already_retried = false;
  };

  bool IsCurrent(const std::string& attempt_id) const;
  CallActions Send(TimePoint now, Duration delay);
  CallActions Finish(const AttemptEnd& end);
  CallActions RetryOrFinish(TimePoint now, const AttemptEnd& end);
  void EndAttempt(TimePoint now, const AttemptEnd& end, const wire::LoadReport& load);

  OutboundCallOptions options_;
  Balancer& balancer_;
  RetryPolicy& retry_policy_;
  Random& random_;
  std::string request_id_;
  TimePoint deadline_{};
  Endpoint endpoint_;
  std::string attempt_id_;
  TimePoint sent_{};
  std::vector<std::string> tried_;
  int attempts_ = 0;
  bool attempt_open_ = false;
  /// An attempt with an unknown outcome was made; the call can no longer end as `not_run`.
  bool may_have_run_ = false;
  bool finished_ = false;
};

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_OUTBOUND_CALL_H_
