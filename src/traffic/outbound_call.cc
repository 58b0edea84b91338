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
  return Send(now, Duration(0));
}

CallActions OutboundCall::Send(TimePoint now, Duration delay) {
  std::optional<Endpoint> endpoint = balancer_.Pick(now, options_.service, tried_);
  if (!endpoint) {
    endpoint = balancer_.Pick(now, options_.service, {});
  }
  if (!endpoint) {
    return Finish({wire::Outcome::kNotRun, Reason::kNoEndpoint, false});
  }
  endpoint_ = *endpoint;
  attempt_id_ = random_.HexId();
  attempt_open_ = true;
  sent_ = now + delay;
  tried_.push_back(endpoint_.node);
  ++attempts_;
  balancer_.OnStart(now, endpoint_.node);

  SendAttempt send;
  send.endpoint = endpoint_;
  send.attempt_id = attempt_id_;
  send.delay = delay;
  send.timeout = deadline_ - sent_;
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
    const AttemptEnd end{not_run ? wire::Outcome::kNotRun : wire::Outcome::kUnknown, reply.reason,
                         reply.already_retried};
    EndAttempt(now, end, reply.load);
    return RetryOrFinish(now, end);
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
  const AttemptEnd end{first_byte_sent ? wire::Outcome::kUnknown : wire::Outcome::kNotRun,
                       Reason::kConnectionLost, false};
  EndAttempt(now, end, {});
  return RetryOrFinish(now, end);
}

CallActions OutboundCall::OnTimeout(TimePoint now, const std::string& attempt_id) {
  if (!IsCurrent(attempt_id)) {
    return {};
  }
  const CancelAttempt cancel{endpoint_, attempt_id_};
  const AttemptEnd end{wire::Outcome::kUnknown, Reason::kTargetTimeout, false};
  EndAttempt(now, end, {});
  CallActions actions = RetryOrFinish(now, end);
  actions.cancel = cancel;
  return actions;
}

CallActions OutboundCall::Cancel(TimePoint now) {
  if (finished_) {
    return {};
  }
  CallActions actions;
  AttemptEnd end{wire::Outcome::kNotRun, Reason::kCancelled, false};
  if (attempt_open_) {
    end.outcome = wire::Outcome::kUnknown;
    EndAttempt(now, end, {});
    actions.cancel = CancelAttempt{endpoint_, attempt_id_};
  }
  actions.finish = Finish(end).finish;
  return actions;
}

bool OutboundCall::IsCurrent(const std::string& attempt_id) const {
  if (finished_ || !attempt_open_) {
    return false;
  }
  return attempt_id == attempt_id_ || IsFaultActive(Fault::kSkipAttemptMatch);
}

void OutboundCall::EndAttempt(TimePoint now, const AttemptEnd& end, const wire::LoadReport& load) {
  attempt_open_ = false;
  may_have_run_ = may_have_run_ || end.outcome == wire::Outcome::kUnknown;
  const Duration latency = std::max(Duration(0), now - sent_);
  balancer_.OnReply(now, endpoint_.node, end.outcome, end.reason, latency, load);
}

CallActions OutboundCall::RetryOrFinish(TimePoint now, const AttemptEnd& end) {
  FailedAttempt failed;
  failed.outcome = end.outcome;
  failed.reason = end.reason;
  failed.already_retried = end.already_retried;
  failed.idempotent = options_.idempotent;
  failed.attempts = attempts_;
  failed.max_attempts = options_.max_attempts;
  failed.remaining = deadline_ - now;
  const std::optional<Duration> delay = retry_policy_.Retry(failed);
  return delay ? Send(now, *delay) : Finish(end);
}

CallActions OutboundCall::Finish(const AttemptEnd& end) {
  finished_ = true;
  CallResult result;
  result.outcome = may_have_run_ && !IsFaultActive(Fault::kFalseNotRun) ? wire::Outcome::kUnknown
                                                                        : wire::Outcome::kNotRun;
  result.reason = end.reason;
  // This level has spent its retries, or decided against them; see RetryPolicy.
  result.already_retried = true;
  result.attempts = attempts_;
  CallActions actions;
  actions.finish = result;
  return actions;
}

}  // namespace limpet
