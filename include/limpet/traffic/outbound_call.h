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
  /// Time for the whole call, retries included.
  Duration deadline = std::chrono::seconds(1);
  /// Maximum time of one attempt; 0 means until the deadline. A timeout shorter than the deadline
  /// leaves time for another attempt of an idempotent call.
  Duration attempt_timeout{0};
  /// 1 means no retries.
  int max_attempts = 1;
};

/// Instruction to send the attempt to `endpoint` after `delay`. If there is neither a reply nor a
/// connection failure within `timeout` after that, OnTimeout must be called.
struct SendAttempt {
  Endpoint endpoint;
  std::string attempt_id;
  Duration delay{0};
  Duration timeout{0};
  /// Value for CallRequest::deadline_ms: `timeout` in milliseconds, rounded down.
  int deadline_ms = 0;
};

/// Instruction to close the connection of an attempt, which cancels the attempt downstream.
struct CancelAttempt {
  Endpoint endpoint;
  std::string attempt_id;
};

struct CallResult {
  wire::Outcome::type outcome = wire::Outcome::kUnknown;
  wire::RefusalReason::type reason = wire::RefusalReason::kNone;
  /// Passed on with a failure, so that the nodes further up do not retry it.
  bool already_retried = false;
  int attempts = 0;
  /// Set only for `kRan`.
  std::optional<wire::CallReply> reply;
};

/// Actions that the owner of an OutboundCall must perform, in the order of the members.
struct CallActions {
  std::optional<CancelAttempt> cancel;
  std::optional<SendAttempt> send;
  std::optional<CallResult> finish;
};

/// State machine of one call at the outbound node: selects endpoints, retries and reports the
/// result. Not safe for concurrent use. `balancer` and `retry_policy` are shared by all calls of
/// the node; they and `random` must outlive the call. Events for an attempt other than the current
/// one, or after the end of the call, have no effect.
class OutboundCall {
 public:
  OutboundCall(OutboundCallOptions options,
               Balancer& balancer,
               RetryPolicy& retry_policy,
               Random& random);

  /// Starts the first attempt. To be called once.
  CallActions Start(TimePoint now);

  /// The reply must be complete. For a truncated one call OnConnectionFailure with
  /// `first_byte_sent` true.
  CallActions OnReply(TimePoint now, const wire::CallReply& reply);

  /// `first_byte_sent` is false only if no byte of the request can have reached the endpoint.
  CallActions OnConnectionFailure(TimePoint now,
                                  const std::string& attempt_id,
                                  bool first_byte_sent);

  CallActions OnTimeout(TimePoint now, const std::string& attempt_id);

  /// To be called when the caller has disconnected.
  CallActions Cancel(TimePoint now);

  /// Value for CallRequest::request_id, the same for all attempts of this call.
  const std::string& request_id() const { return request_id_; }
  bool finished() const { return finished_; }

 private:
  struct AttemptResult {
    wire::Outcome::type outcome = wire::Outcome::kUnknown;
    wire::RefusalReason::type reason = wire::RefusalReason::kNone;
    bool already_retried = false;
  };

  bool IsCurrent(const std::string& attempt_id) const;
  CallActions StartAttempt(TimePoint now, Duration delay);
  CallActions Finish(const AttemptResult& attempt_result);
  CallActions RetryOrFinish(TimePoint now, const AttemptResult& attempt_result);
  void EndAttempt(TimePoint now, const AttemptResult& attempt_result, const wire::LoadReport& load);

  OutboundCallOptions options_;
  Balancer& balancer_;
  RetryPolicy& retry_policy_;
  Random& random_;
  std::string request_id_;
  TimePoint deadline_{};
  Endpoint endpoint_;
  std::string attempt_id_;
  TimePoint sent_at_{};
  std::vector<std::string> tried_nodes_;
  int attempts_ = 0;
  bool attempt_in_flight_ = false;
  /// True after an attempt with an unknown outcome. The call can then no longer end as `not_run`.
  bool may_have_run_ = false;
  bool finished_ = false;
};

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_OUTBOUND_CALL_H_
