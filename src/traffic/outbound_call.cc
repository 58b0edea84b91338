#include "limpet/traffic/outbound_call.h"

#include <algorithm>

#include "limpet/core/fault.h"

namespace limpet {
namespace {

using Reason = wire::RefusalReason;

bool IsTargetResponse(const wire::CallReply& reply) {
  return reply.outcome == wire::Outcome::kRan && reply.reason == Reason::kNone;
}

}  // namespace

OutboundCall::OutboundCall(OutboundCallOptions options,
                           Balancer& balancer,
                           RetryPolicy& retry_policy,
                           Random& random)
    : options_(std::move(options)),
      balancer_(balancer),
      retry_policy_(retry_policy),
      random_(random),
      request_id_(random.HexId()) {}

CallActions OutboundCall::Start(TimePoint now) {
  deadline_ = now + options_.deadline;
  retry_policy_.OnCall();
  return StartAttempt(now, Duration(0));
}

CallActions OutboundCall::StartAttempt(TimePoint now, Duration delay) {
  std::optional<Endpoint> endpoint = balancer_.Pick(now, options_.service, tried_nodes_);
  if (!endpoint) {
    endpoint = balancer_.Pick(now, options_.service, {});
  }
  if (!endpoint) {
    return Finish({wire::Outcome::kNotRun, Reason::kNoEndpoint, false});
  }
  endpoint_ = *endpoint;
  attempt_id_ = random_.HexId();
  attempt_in_flight_ = true;
  sent_at_ = now + delay;
  tried_nodes_.push_back(endpoint_.node);
  ++attempts_;
  balancer_.OnAttemptStart(now, endpoint_.node);

  SendAttempt send;
  send.endpoint = endpoint_;
  send.attempt_id = attempt_id_;
  send.delay = delay;
  send.timeout = deadline_ - sent_at_;
  if (options_.attempt_timeout > Duration(0)) {
    send.timeout = std::min(send.timeout, options_.attempt_timeout);
  }
  send.deadline_ms =
      static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(send.timeout).count());
  CallActions actions;
  actions.send = send;
  return actions;
}

CallActions OutboundCall::OnReply(TimePoint now, const wire::CallReply& reply) {
  if (!IsCurrent(reply.attempt_id)) {
    return {};
  }
  if (!IsTargetResponse(reply)) {
    const bool not_run = reply.outcome == wire::Outcome::kNotRun;
    const AttemptResult attempt_result{not_run ? wire::Outcome::kNotRun : wire::Outcome::kUnknown,
                                       reply.reason, reply.already_retried};
    EndAttempt(now, attempt_result, reply.load);
    return RetryOrFinish(now, attempt_result);
  }
  EndAttempt(now, {wire::Outcome::kRan, Reason::kNone, false}, reply.load);
  finished_ = true;
  CallActions actions;
  actions.finish = CallResult{wire::Outcome::kRan, Reason::kNone, false, attempts_, reply};
  return actions;
}

CallActions OutboundCall::OnConnectionFailure(TimePoint now,
                                              const std::string& attempt_id,
                                              bool first_byte_sent) {
  if (!IsCurrent(attempt_id)) {
    return {};
  }
  const AttemptResult attempt_result{
      first_byte_sent ? wire::Outcome::kUnknown : wire::Outcome::kNotRun, Reason::kConnectionLost,
      false};
  EndAttempt(now, attempt_result, {});
  return RetryOrFinish(now, attempt_result);
}

CallActions OutboundCall::OnTimeout(TimePoint now, const std::string& attempt_id) {
  if (!IsCurrent(attempt_id)) {
    return {};
  }
  const CancelAttempt cancel{endpoint_, attempt_id_};
  const AttemptResult attempt_result{wire::Outcome::kUnknown, Reason::kTargetTimeout, false};
  EndAttempt(now, attempt_result, {});
  CallActions actions = RetryOrFinish(now, attempt_result);
  actions.cancel = cancel;
  return actions;
}

CallActions OutboundCall::Cancel(TimePoint now) {
  if (finished_) {
    return {};
  }
  CallActions actions;
  AttemptResult attempt_result{wire::Outcome::kNotRun, Reason::kCancelled, false};
  if (attempt_in_flight_) {
    attempt_result.outcome = wire::Outcome::kUnknown;
    EndAttempt(now, attempt_result, {});
    actions.cancel = CancelAttempt{endpoint_, attempt_id_};
  }
  actions.finish = Finish(attempt_result).finish;
  return actions;
}

bool OutboundCall::IsCurrent(const std::string& attempt_id) const {
  if (finished_ || !attempt_in_flight_) {
    return false;
  }
  return attempt_id == attempt_id_ || IsFaultActive(Fault::kSkipAttemptMatch);
}

void OutboundCall::EndAttempt(TimePoint now,
                              const AttemptResult& attempt_result,
                              const wire::LoadReport& load) {
  attempt_in_flight_ = false;
  may_have_run_ = may_have_run_ || attempt_result.outcome == wire::Outcome::kUnknown;
  const Duration latency = std::max(Duration(0), now - sent_at_);
  balancer_.OnAttemptEnd(now, endpoint_.node, attempt_result.outcome, attempt_result.reason,
                         latency, load);
}

CallActions OutboundCall::RetryOrFinish(TimePoint now, const AttemptResult& attempt_result) {
  FailedAttempt failed;
  failed.outcome = attempt_result.outcome;
  failed.reason = attempt_result.reason;
  failed.already_retried = attempt_result.already_retried;
  failed.idempotent = options_.idempotent;
  failed.attempts = attempts_;
  failed.max_attempts = options_.max_attempts;
  failed.remaining = deadline_ - now;
  const std::optional<Duration> delay = retry_policy_.ReserveRetry(failed);
  return delay ? StartAttempt(now, *delay) : Finish(attempt_result);
}

CallActions OutboundCall::Finish(const AttemptResult& attempt_result) {
  finished_ = true;
  CallResult result;
  result.outcome = may_have_run_ && !IsFaultActive(Fault::kFalseNotRun) ? wire::Outcome::kUnknown
                                                                        : wire::Outcome::kNotRun;
  result.reason = attempt_result.reason;
  // This node has used its retries or decided against them (see RetryPolicy). Without this flag the
  // nodes further up would retry as well, and the attempts would multiply with each level.
  result.already_retried = true;
  result.attempts = attempts_;
  CallActions actions;
  actions.finish = result;
  return actions;
}

}  // namespace limpet
