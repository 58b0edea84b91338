#include "active_call.h"

#include <algorithm>
#include <utility>

#include "limpet/edge/event_log.h"
#include "limpet/net/clock.h"
#include "limpet/wire/names.h"

namespace limpet::edge {

namespace {

/// The deadline sent with an attempt is this much earlier than the caller's, so that a response
/// that the target sends at its deadline still arrives in time.
constexpr Duration kDeadlineMargin = std::chrono::milliseconds(5);
/// Weight of a new sample in the moving average of response sizes.
constexpr double kResponseBytesWeight = 0.1;

}  // namespace

/// Receives the replies of the local target to calls of this node.
class OutboundProxy::ActiveCall::LocalReplySink final : public ReplySink {
 public:
  LocalReplySink(std::weak_ptr<ActiveCall> call, int attempt)
      : call_(std::move(call)), attempt_(attempt) {}
  bool IsOpen() const override { return !call_.expired(); }
  void Deliver(wire::LinkReply reply, std::string body) override {
    if (const auto call = call_.lock()) {
      call->proxy_.placement_.Update(MonotonicNow(), call->proxy_.options_.node,
                                     call->proxy_.options_.data_centre, reply.target);
      call->OnReply(attempt_, std::move(reply), std::move(body));
    }
  }

 private:
  std::weak_ptr<ActiveCall> call_;
  int attempt_;
};

OutboundProxy::ActiveCall::ActiveCall(OutboundProxy& proxy,
                                      HttpSessionPtr session,
                                      const MeshRoute& route,
                                      MeshCallOptions options,
                                      std::function<void()> on_not_run)
    : proxy_(proxy),
      session_(std::move(session)),
      route_(route.name),
      started_(MonotonicNow()),
      call_(std::move(options), proxy.placement_, proxy.budget_),
      on_not_run_(std::move(on_not_run)),
      deadline_timer_(proxy.executor_),
      hedge_timer_(proxy.executor_) {}

void OutboundProxy::ActiveCall::Start() {
  const HttpRequest& request = session_->request();
  method_ = request.method;
  path_ = request.target;
  request_id_ = std::string(request.Header(proxy_.header_names_.request_id));
  headers_ = request.headers;
  proxy_.ReplaceCredentials(headers_, call_.options().account);
  SetHeader(headers_, proxy_.header_names_.caller_service, proxy_.options_.service);
  body_ = std::make_shared<const std::string>(session_->TakeBody());
  session_->SetDisconnectHandler([self = shared_from_this()] { self->OnCallerDisconnected(); });
  deadline_timer_.expires_after(call_.options().deadline - started_);
  deadline_timer_.async_wait([self = weak_from_this()](ErrorCode error) {
    const auto active = self.lock();
    if (!error && active) {
      active->Apply(active->call_.OnDeadline(MonotonicNow()), {}, {});
    }
  });
  Apply(call_.Start(started_), {}, {});
}

void OutboundProxy::ActiveCall::Withdraw() {
  if (std::exchange(withdrawn_, true)) {
    return;
  }
  call_.StopSending();
  const auto self = shared_from_this();
  // The reply of the local target comes at once and changes `attempts_`.
  const auto attempts = attempts_;
  for (const auto& [id, attempt] : attempts) {
    if (attempt.link_call != 0) {
      proxy_.links_.Withdraw(attempt.node, attempt.link_call);
    }
    if (!attempt.local_key.empty()) {
      proxy_.inbound_.Withdraw(attempt.local_key);
    }
  }
}

void OutboundProxy::ActiveCall::Apply(CallStep step, wire::LinkReply reply, std::string body) {
  if (finished_) {
    return;
  }
  if (step.save_reply) {
    saved_reply_ = std::exchange(reply, {});
    saved_body_ = std::exchange(body, {});
  }
  if (step.finish) {
    Finish(*step.finish, std::move(reply), std::move(body));
  } else if (step.send) {
    Send(*step.send, step.hedge_delay);
  }
}

wire::LinkCall OutboundProxy::ActiveCall::MakeLinkCall(const PlacedTarget& target,
                                                       TimePoint now) const {
  const auto remaining_ms = [now](TimePoint end) {
    return static_cast<int32_t>(std::max<int64_t>(0, (end - now).count() / 1000));
  };
  wire::LinkCall call;
  call.request_id = request_id_;
  call.service_name = call_.options().service;
  call.instance = target.instance;
  call.method = method_;
  call.path = path_;
  call.headers = headers_;
  call.route = route_;
  call.idempotent = call_.options().idempotent;
  call.priority = call_.options().priority;
  call.account = call_.options().account;
  call.deadline_ms = remaining_ms(call_.options().deadline - kDeadlineMargin);
  call.accepts_late = target.wait_beyond_latency_target;
  call.latency_target_ms = remaining_ms(call_.options().latency_target);
  call.usual_run_us = static_cast<int32_t>(call_.options().typical_service_time.count());
  call.expected_response_bytes = static_cast<int32_t>(call_.options().expected_response_bytes);
  return call;
}

void OutboundProxy::ActiveCall::Send(const AttemptToSend& send,
                                     std::optional<Duration> hedge_delay) {
  const TimePoint now = MonotonicNow();
  const std::string& node = send.target.node;
  last_node_ = node;
  proxy_.counters_.Get(send.hedge ? "outbound_hedges" : "outbound_attempts").Add();
  if (hedge_delay) {
    hedge_timer_.expires_after(*hedge_delay);
    hedge_timer_.async_wait([self = weak_from_this()](ErrorCode error) {
      const auto active = self.lock();
      if (!error && active) {
        active->Apply(active->call_.OnHedgeTimer(MonotonicNow()), {}, {});
      }
    });
  }
  wire::LinkCall call = MakeLinkCall(send.target, now);
  call.free_slot_only = send.free_slot_only;
  Attempt& attempt = attempts_[send.attempt];
  attempt.node = node;
  attempt.started = now;
  if (node == proxy_.options_.node) {
    attempt.local_key = "local/" + std::to_string(proxy_.next_local_call_++);
    proxy_.inbound_.Call(attempt.local_key, std::move(call), *body_,
                         std::make_shared<LocalReplySink>(weak_from_this(), send.attempt));
    return;
  }
  const auto self = shared_from_this();
  PeerLinks::CallHandlers handlers;
  handlers.on_reply = [self, id = send.attempt](wire::LinkReply reply, std::string body) {
    self->OnReply(id, std::move(reply), std::move(body));
  };
  handlers.on_failure = [self, id = send.attempt](LinkFailure failure) {
    self->OnFailure(id, failure);
  };
  handlers.on_transfer = [self, id = send.attempt] { self->call_.OnTransfer(id); };
  attempt.link_call = proxy_.links_.Call(node, std::move(call), body_, std::move(handlers));
}

void OutboundProxy::ActiveCall::OnReply(int id, wire::LinkReply reply, std::string body) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end() || finished_) {
    return;
  }
  const TimePoint now = MonotonicNow();
  if (reply.outcome == wire::Outcome::kRan && reply.http_status < 500) {
    proxy_.route_latencies_.Record(now, route_, now - found->second.started);
    proxy_.service_times_.Record(now, route_, Duration(reply.run_us));
    const auto bytes = static_cast<double>(body.size());
    double& average = proxy_.response_bytes_.try_emplace(route_, bytes).first->second;
    average += kResponseBytesWeight * (bytes - average);
  }
  attempts_.erase(found);
  CallStep step = call_.OnReply(now, id, reply);
  Apply(std::move(step), std::move(reply), std::move(body));
}

void OutboundProxy::ActiveCall::OnFailure(int id, LinkFailure failure) {
  if (finished_ || attempts_.erase(id) == 0) {
    return;
  }
  const TimePoint now = MonotonicNow();
  Apply(
      failure == LinkFailure::kNotSent ? call_.OnNotSent(now, id) : call_.OnConnectionLost(now, id),
      {}, {});
}

void OutboundProxy::ActiveCall::CancelAttempts() {
  const auto attempts = std::exchange(attempts_, {});
  for (const auto& [id, attempt] : attempts) {
    if (attempt.link_call != 0) {
      proxy_.links_.Cancel(attempt.node, attempt.link_call);
    }
    if (!attempt.local_key.empty()) {
      proxy_.inbound_.Cancel(attempt.local_key);
    }
  }
}

void OutboundProxy::ActiveCall::OnCallerDisconnected() {
  if (finished_) {
    return;
  }
  const auto self = shared_from_this();
  proxy_.counters_.Get("outbound_callers_gone").Add();
  call_.OnCallerDisconnected();
  End();
}

void OutboundProxy::ActiveCall::Finish(const CallCompletion& finish,
                                       wire::LinkReply reply,
                                       std::string body) {
  const auto self = shared_from_this();
  HttpResponse response;
  switch (finish.kind) {
    case CompletionKind::kForward:
      response = MakeResponse(std::move(reply), std::move(body));
      break;
    case CompletionKind::kForwardSaved:
      response = MakeResponse(std::move(saved_reply_), std::move(saved_body_));
      break;
    case CompletionKind::kNotRun:
      if (on_not_run_) {
        on_not_run_();
      }
      response = TextResponse(503, "not run\n");
      response.headers.push_back(
          MakeHeader("Retry-After", FormatRetryAfter(RetryAfter(finish.retry_after))));
      break;
    case CompletionKind::kUnknown:
      response = TextResponse(502, "outcome unknown\n");
      break;
    case CompletionKind::kTimedOut:
      response = TextResponse(504, "timed out\n");
      break;
  }
  proxy_.latency_.Record(MonotonicNow() - started_);
  Log(finish, response.status);
  HttpSessionPtr session = session_;
  End();
  session->Respond(std::move(response));
}

Duration OutboundProxy::ActiveCall::RetryAfter(Duration suggested) const {
  const TimePoint now = MonotonicNow();
  const bool too_late = withdrawn_ || proxy_.IsTooLate(now + suggested, typical_service_time());
  return too_late ? proxy_.UntilSuccessor(now) : suggested;
}

HttpResponse OutboundProxy::ActiveCall::MakeResponse(wire::LinkReply reply,
                                                     std::string body) const {
  if (IsNotRunStatus(reply.http_status)) {
    return TextResponse(502, "the target's answer would promise that nothing ran\n");
  }
  HttpResponse response;
  response.status = reply.http_status;
  response.headers = std::move(reply.headers);
  response.body = std::move(body);
  return response;
}

void OutboundProxy::ActiveCall::Log(const CallCompletion& finish, int status) const {
  proxy_.counters_.Get("outbound_ends_" + std::string(EnumName(kCompletionKindNames, finish.kind)))
      .Add();
  const bool ordinary = finish.kind == CompletionKind::kForward && status < 500 &&
                        call_.attempts_reached_target() <= 1;
  if (ordinary) {
    return;
  }
  LogEvent("call_ended")
      .Add("request", request_id_)
      .Add("route", route_)
      .Add("service", call_.options().service)
      .Add("end", EnumName(kCompletionKindNames, finish.kind))
      .Add("status", status)
      .Add("reason", EnumName(kRefusalReasonNames, finish.reason))
      .Add("last_node", last_node_)
      .Add("arrivals", call_.attempts_reached_target())
      .Add("took_ms", MonotonicNow() - started_)
      .Add("deadline_ms", call_.options().deadline - started_)
      .Add("retry_after_ms", finish.retry_after);
}

void OutboundProxy::ActiveCall::End() {
  finished_ = true;
  deadline_timer_.cancel();
  hedge_timer_.cancel();
  CancelAttempts();
  proxy_.calls_.erase(shared_from_this());
}

}  // namespace limpet::edge
