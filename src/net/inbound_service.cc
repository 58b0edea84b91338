#include "limpet/net/inbound_service.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "limpet/net/clock.h"

namespace limpet {

namespace {

/// Interval at which a queued attempt checks for a cancellation and for expiry in the queue.
constexpr Duration kQueuePollInterval = std::chrono::milliseconds(10);

wire::CallReply MakeReply(wire::Outcome::type outcome, wire::RefusalReason::type reason) {
  wire::CallReply reply;
  reply.outcome = outcome;
  reply.reason = reason;
  return reply;
}

HttpRequest ToHttpRequest(const wire::CallRequest& call,
                          const std::string& traceparent,
                          Duration remaining) {
  HttpRequest request;
  request.method = call.method;
  const size_t query_start = call.path.find('?');
  request.path = call.path.substr(0, query_start);
  request.query = query_start == std::string::npos ? "" : call.path.substr(query_start + 1);
  request.headers = call.headers;
  SetHeader(request.headers, kDeadlineHeader, std::to_string(remaining.count() / 1000));
  SetHeader(request.headers, kDepthHeader, std::to_string(call.depth));
  SetHeader(request.headers, kTraceparentHeader, traceparent);
  request.body = call.body;
  return request;
}

wire::CallReply ToCallReply(HttpResponse response) {
  if (response.status == 503 && !response.Header(kTargetNotRunHeader).empty()) {
    return MakeReply(wire::Outcome::kNotRun, wire::RefusalReason::kOverloaded);
  }
  wire::CallReply reply = MakeReply(wire::Outcome::kRan, wire::RefusalReason::kNone);
  reply.already_retried = !response.Header(kRetriedHeader).empty();
  reply.http_status = response.status;
  reply.headers = std::move(response.headers);
  reply.body = std::move(response.body);
  return reply;
}

wire::CallReply ToErrorReply(const ExchangeError& error) {
  using enum ExchangeFailure;
  switch (error.failure()) {
    case kNotConnected:
    case kRequestTooLarge:
      return MakeReply(wire::Outcome::kNotRun, wire::RefusalReason::kTargetUnavailable);
    case kTimeout:
      return MakeReply(wire::Outcome::kUnknown, wire::RefusalReason::kTargetTimeout);
    case kTruncatedReply:
      return MakeReply(wire::Outcome::kUnknown, wire::RefusalReason::kTruncatedReply);
    case kCancelled:
      return MakeReply(wire::Outcome::kUnknown, wire::RefusalReason::kCancelled);
    case kConnectionLost:
      break;
  }
  return MakeReply(wire::Outcome::kUnknown, wire::RefusalReason::kConnectionLost);
}

}  // namespace

InboundService::InboundService(InboundGate gate,
                               TargetClient& target,
                               Tracer& tracer,
                               Counters& counters)
    : gate_(std::move(gate)),
      target_(target),
      tracer_(tracer),
      calls_(counters.Get("inbound_calls")),
      refusals_(counters.Get("inbound_refusals")),
      cancelled_(counters.Get("inbound_cancelled")) {}

wire::CallReply InboundService::OnCall(const wire::CallRequest& request,
                                       const ConnectionWatch& caller) {
  calls_.Add();
  Span span = tracer_.Start("inbound", SpanKind::kServer, request.traceparent);
  wire::CallReply reply = Serve(request, FormatTraceparent(span.context), caller);
  span.failed = reply.outcome != wire::Outcome::kRan;
  span.attributes = {{"limpet.attempt_id", request.attempt_id},
                     {"limpet.caller", request.caller},
                     {"http.response.status_code", std::to_string(reply.http_status)}};
  tracer_.End(std::move(span));
  return reply;
}

wire::CallReply InboundService::Serve(const wire::CallRequest& request,
                                      const std::string& traceparent,
                                      const ConnectionWatch& caller) {
  const TimePoint now = MonotonicNow();
  {
    std::unique_lock lock(mutex_);
    const AdmissionDecision decision = gate_.Admit(now, request);
    HandleQueueEvents(decision.events);
    if (decision.admission == Admission::kRefused) {
      lock.unlock();
      return Complete(MakeReply(decision.outcome, decision.reason), request);
    }
    if (decision.admission == Admission::kQueued) {
      const auto reason = WaitInQueue(lock, request, caller);
      if (reason != wire::RefusalReason::kNone) {
        lock.unlock();
        return Complete(MakeReply(wire::Outcome::kNotRun, reason), request);
      }
    }
  }
  return Complete(
      Run(request, traceparent, now + std::chrono::milliseconds(request.deadline_ms), caller),
      request);
}

wire::RefusalReason::type InboundService::WaitInQueue(std::unique_lock<std::mutex>& lock,
                                                      const wire::CallRequest& request,
                                                      const ConnectionWatch& caller) {
  Waiter waiter;
  waiters_[request.attempt_id] = &waiter;
  while (!waiter.decided) {
    waiter.changed.wait_for(lock, kQueuePollInterval);
    if (waiter.decided) {
      break;
    }
    if (caller.IsClosed() &&
        gate_.Cancel(MonotonicNow(), request.attempt_id) == CancelResult::kRemoved) {
      waiter.decided = true;
      waiter.reason = wire::RefusalReason::kCancelled;
      cancelled_.Add();
      break;
    }
    HandleQueueEvents(gate_.Expire(MonotonicNow()));
  }
  waiters_.erase(request.attempt_id);
  return waiter.starts ? wire::RefusalReason::kNone : waiter.reason;
}

void InboundService::HandleQueueEvents(const std::vector<QueueEvent>& events) {
  for (const auto& event : events) {
    const auto found = waiters_.find(event.attempt_id);
    if (found == waiters_.end()) {
      spdlog::error("[inbound] queue event for attempt {}, for which no thread waits",
                    event.attempt_id);
      continue;
    }
    found->second->decided = true;
    found->second->starts = event.starts;
    found->second->reason = event.reason;
    found->second->changed.notify_one();
  }
}

wire::CallReply InboundService::Run(const wire::CallRequest& request,
                                    const std::string& traceparent,
                                    TimePoint deadline,
                                    const ConnectionWatch& caller) {
  const TimePoint start = MonotonicNow();
  wire::CallReply reply = SendToTarget(request, traceparent, deadline, caller);
  const TimePoint end = MonotonicNow();
  const std::lock_guard lock(mutex_);
  HandleQueueEvents(gate_.Finish(end, request.attempt_id, reply.outcome, end - start));
  return reply;
}

wire::CallReply InboundService::SendToTarget(const wire::CallRequest& request,
                                             const std::string& traceparent,
                                             TimePoint deadline,
                                             const ConnectionWatch& caller) {
  const Duration remaining = deadline - MonotonicNow();
  if (remaining <= Duration(0)) {
    return MakeReply(wire::Outcome::kNotRun, wire::RefusalReason::kDeadlinePassed);
  }
  try {
    return ToCallReply(target_.Exchange(ToHttpRequest(request, traceparent, remaining),
                                        request.idempotent, remaining,
                                        [&] { return caller.IsClosed(); }));
  } catch (const ExchangeError& error) {
    if (error.failure() == ExchangeFailure::kCancelled) {
      cancelled_.Add();
    }
    spdlog::debug("[inbound] attempt {} failed at the target: {}", request.attempt_id,
                  error.what());
    return ToErrorReply(error);
  }
}

wire::CallReply InboundService::Complete(wire::CallReply reply, const wire::CallRequest& request) {
  if (reply.outcome != wire::Outcome::kRan) {
    refusals_.Add();
  }
  reply.attempt_id = request.attempt_id;
  const std::lock_guard lock(mutex_);
  reply.load = gate_.load();
  return reply;
}

void InboundService::RaiseIncarnation(int64_t incarnation) {
  const std::lock_guard lock(mutex_);
  gate_.RaiseIncarnation(incarnation);
}

void InboundService::SetTargetState(wire::TargetState::type state) {
  const std::lock_guard lock(mutex_);
  gate_.SetTargetDraining(state == wire::TargetState::kDraining);
}

void InboundService::StartDraining() {
  const std::lock_guard lock(mutex_);
  HandleQueueEvents(gate_.StartDraining(MonotonicNow()));
}

int InboundService::in_flight() const {
  const std::lock_guard lock(mutex_);
  return gate_.in_flight();
}

}  // namespace limpet
