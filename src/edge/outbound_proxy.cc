#include "limpet/edge/outbound_proxy.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <utility>

#include "limpet/core/fault.h"
#include "limpet/edge/event_log.h"
#include "limpet/net/clock.h"
#include "limpet/wire/names.h"

namespace limpet::edge {

namespace {

using Reason = wire::RefusalReason;

/// The deadline sent with an attempt is this much earlier than the caller's, so that a response
/// that the target sends at its deadline still arrives in time.
constexpr Duration kDeadlineMargin = std::chrono::milliseconds(5);
/// Used if the caller sends no deadline.
constexpr int kDefaultDeadlineMs = 60'000;
/// Retry-After value of a node without a configuration, which usually receives one within this
/// time.
constexpr Duration kRetryAfterNotReady = std::chrono::milliseconds(300);
/// Retry-After value of a request whose deadline passed while this process was paused.
constexpr Duration kRetryAfterPause = std::chrono::milliseconds(50);
/// Time from the end of a process until its successor accepts requests.
constexpr Duration kRestartTime = std::chrono::milliseconds(500);
/// A stopping node withdraws a queued call when this time and a margin on its service time are
/// left: the reply comes from another node, and the response has to be sent.
constexpr Duration kWithdrawTime = std::chrono::milliseconds(250);
constexpr double kServiceTimeMargin = 1.25;
/// Weight of a new sample in the moving average of response sizes.
constexpr double kResponseBytesWeight = 0.1;

/// Sizes assumed before the first response of a route. A download that is assumed to be small would
/// be taken from another data centre, where its bytes are charged.
constexpr std::size_t kAssumedDownloadBytes = std::size_t{64} << 10;
constexpr std::size_t kAssumedResponseBytes = 1024;

std::size_t AssumedResponseBytes(RequestKind kind) {
  return kind == RequestKind::kDownload ? kAssumedDownloadBytes : kAssumedResponseBytes;
}

/// Formats a Retry-After value in seconds with three decimals, which the callers of this mesh
/// accept.
std::string FormatRetryAfter(Duration retry) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(retry).count());
  return text.data();
}

}  // namespace

/// One pending request of a caller.
class OutboundProxy::ActiveCall : public std::enable_shared_from_this<ActiveCall> {
 public:
  ActiveCall(OutboundProxy& proxy,
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

  void Start() {
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

  /// Ends attempts that wait in queues. The call ends with the promise that it has not run once all
  /// of them are confirmed.
  void Withdraw() {
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
  /// Responds now, without a promise unless no attempt is open.
  void EndWithNode() { Apply(call_.OnNodeEnds(), {}, {}); }
  Duration typical_service_time() const { return call_.options().typical_service_time; }

 private:
  /// Receives the replies of the local target to calls of this node.
  class LocalReplySink final : public ReplySink {
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
  struct Attempt {
    std::string node;
    TimePoint started{};
    /// Id of a call over a link; 0 for a call to the local target.
    int64_t link_call = 0;
    std::string local_key;
  };

  void Apply(CallStep step, wire::LinkReply reply, std::string body) {
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

  wire::LinkCall MakeLinkCall(const PlacedTarget& target, TimePoint now) const {
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

  void Send(const AttemptToSend& send, std::optional<Duration> hedge_delay) {
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

  void OnReply(int id, wire::LinkReply reply, std::string body) {
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

  void OnFailure(int id, LinkFailure failure) {
    if (finished_ || attempts_.erase(id) == 0) {
      return;
    }
    const TimePoint now = MonotonicNow();
    Apply(failure == LinkFailure::kNotSent ? call_.OnNotSent(now, id)
                                           : call_.OnConnectionLost(now, id),
          {}, {});
  }

  void CancelAttempts() {
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

  void OnCallerDisconnected() {
    if (finished_) {
      return;
    }
    const auto self = shared_from_this();
    proxy_.counters_.Get("outbound_callers_gone").Add();
    call_.OnCallerDisconnected();
    End();
  }

  void Finish(const CallCompletion& finish, wire::LinkReply reply, std::string body) {
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

  /// A stopping node accepts the request again only if enough time is left then.
  Duration RetryAfter(Duration suggested) const {
    const TimePoint now = MonotonicNow();
    const bool too_late = withdrawn_ || proxy_.IsTooLate(now + suggested, typical_service_time());
    return too_late ? proxy_.UntilSuccessor(now) : suggested;
  }

  HttpResponse MakeResponse(wire::LinkReply reply, std::string body) const {
    if (IsNotRunStatus(reply.http_status)) {
      return TextResponse(502, "the target's answer would promise that nothing ran\n");
    }
    HttpResponse response;
    response.status = reply.http_status;
    response.headers = std::move(reply.headers);
    response.body = std::move(body);
    return response;
  }

  void Log(const CallCompletion& finish, int status) const {
    proxy_.counters_
        .Get("outbound_ends_" + std::string(EnumName(kCompletionKindNames, finish.kind)))
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

  void End() {
    finished_ = true;
    deadline_timer_.cancel();
    hedge_timer_.cancel();
    CancelAttempts();
    proxy_.calls_.erase(shared_from_this());
  }

  OutboundProxy& proxy_;
  HttpSessionPtr session_;
  std::string route_;
  TimePoint started_;
  MeshCall call_;
  /// Returns the token of the account; empty if the request has none.
  std::function<void()> on_not_run_;
  Timer deadline_timer_;
  Timer hedge_timer_;
  std::string method_;
  std::string path_;
  std::string request_id_;
  HttpHeaders headers_;
  SharedBody body_;
  std::map<int, Attempt> attempts_;
  std::string last_node_;
  bool withdrawn_ = false;
  bool finished_ = false;
  wire::LinkReply saved_reply_;
  std::string saved_body_;
};

OutboundProxy::OutboundProxy(const Executor& executor,
                             OutboundProxyOptions options,
                             const HttpHeaderNames& header_names,
                             std::function<RouteTablePtr()> routes,
                             TargetPlacement& placement,
                             SharedRetryBudget& budget,
                             PeerLinks& links,
                             InboundProxy& inbound,
                             QuotaAgent& quota,
                             Counters& counters,
                             AccessPolicy& access,
                             Random random)
    : executor_(executor),
      options_(std::move(options)),
      header_names_(header_names),
      routes_(std::move(routes)),
      placement_(placement),
      budget_(budget),
      links_(links),
      inbound_(inbound),
      quota_(quota),
      counters_(counters),
      access_(access),
      traffic_splitter_(random) {}

OutboundProxy::~OutboundProxy() = default;

void OutboundProxy::Respond(const HttpSessionPtr& session,
                            int status,
                            std::string_view reason,
                            Duration retry) {
  LogEvent("request_refused")
      .Add("request", session->request().Header(header_names_.request_id))
      .Add("status", status)
      .Add("reason", reason);
  HttpResponse response = TextResponse(status, std::string(reason) + "\n");
  if (retry > Duration(0)) {
    response.headers.push_back(MakeHeader("Retry-After", FormatRetryAfter(retry)));
  }
  session->Respond(std::move(response));
}

void OutboundProxy::Refuse(const HttpSessionPtr& session,
                           std::string_view reason,
                           Duration retry_after) {
  Respond(session, 503, reason, retry_after);
}

void OutboundProxy::ReplaceCredentials(HttpHeaders& headers, const std::string& account) const {
  for (const std::string* name : {&header_names_.api_key, &header_names_.account}) {
    if (!name->empty() &&
        !(name == &header_names_.account && IsFaultActive(Fault::kKeepCallersAccount))) {
      RemoveHeader(headers, *name);
    }
  }
  if (!header_names_.account.empty() && !account.empty()) {
    headers.push_back(MakeHeader(header_names_.account, account));
  }
}

MeshCallOptions OutboundProxy::MakeCallOptions(const MeshRoute& route, const HttpRequest& request) {
  const TimePoint now = MonotonicNow();
  const Duration caller_timeout =
      std::chrono::milliseconds(
          ParseNonNegative(request.Header(header_names_.deadline_ms), kDefaultDeadlineMs)) -
      options_.max_input_age();
  MeshCallOptions options;
  options.service = traffic_splitter_.Pick(route);
  options.idempotent = route.IsIdempotent();
  options.max_attempts = route.max_attempts;
  options.deadline = now + std::min(caller_timeout, route.timeout);
  if (answer_by_) {
    // The gates of other nodes refuse what cannot be finished by then.
    options.deadline = std::min(options.deadline, *answer_by_);
  }
  const Duration target_latency =
      route.target_latency > Duration(0) ? route.target_latency : route.timeout;
  options.latency_target = std::min(options.deadline, now + target_latency);
  const auto bytes = response_bytes_.find(route.name);
  options.request_bytes = request.body.size();
  options.expected_response_bytes = bytes == response_bytes_.end()
                                        ? AssumedResponseBytes(route.kind)
                                        : static_cast<size_t>(bytes->second);
  options.typical_latency = route_latencies_.Estimate(route.name);
  options.typical_service_time = service_times_.AverageOfRoute(route.name);
  return options;
}

bool OutboundProxy::IsTooLate(TimePoint now, Duration typical_service_time) const {
  return answer_by_ &&
         now + kWithdrawTime + Scale(typical_service_time, kServiceTimeMargin) >= *answer_by_;
}

Duration OutboundProxy::UntilSuccessor(TimePoint now) const {
  return std::max(Duration(0), answer_by_.value_or(now) - now) + kRestartTime;
}

void OutboundProxy::TickStopping(TimePoint now) {
  if (!answer_by_) {
    return;
  }
  const auto calls = calls_;
  for (const std::shared_ptr<ActiveCall>& call : calls) {
    if (now >= *answer_by_) {
      call->EndWithNode();
    } else if (IsTooLate(now, call->typical_service_time())) {
      call->Withdraw();
    }
  }
}

void OutboundProxy::Handle(const HttpSessionPtr& session) {
  counters_.Get("outbound_requests").Add();
  const RouteTablePtr routes = routes_();
  if (!routes) {
    Refuse(session, "no configuration yet", kRetryAfterNotReady);
    return;
  }
  const HttpRequest& request = session->request();
  const MeshRoute* route = routes->Match(request.Header("Host"), request.target);
  if (route == nullptr) {
    Respond(session, 404, "no route", Duration(0));
    return;
  }
  // The whole request has been received, so it was sent before the time that is read here.
  AccessDecision access = access_.Decide(MonotonicNow(), *routes, *route, request.headers);
  if (access.result != AccessResult::kAllowed) {
    counters_.Get("access_" + std::string(EnumName(kAccessResultNames, access.result))).Add();
    const bool unauthorized = access.result == AccessResult::kUnauthorized;
    Respond(session, unauthorized ? 401 : 503,
            unauthorized ? "no valid key" : "the configuration may be outdated",
            access.retry_after);
    return;
  }
  MeshCallOptions call_options = MakeCallOptions(*route, request);
  call_options.account = std::move(access.account);
  call_options.priority = access.priority;
  if (const TimePoint now = MonotonicNow(); IsTooLate(now, call_options.typical_service_time)) {
    Refuse(session, "stopping", UntilSuccessor(now));
    return;
  }
  if (call_options.deadline <= MonotonicNow()) {
    Refuse(session, "the deadline has passed", kRetryAfterPause);
    return;
  }
  if (call_options.account.empty()) {
    StartCall(session, *route, std::move(call_options), nullptr);
  } else {
    AdmitByQuota(session, routes, *route, call_options);
  }
}

void OutboundProxy::AdmitByQuota(const HttpSessionPtr& session,
                                 const RouteTablePtr& routes,
                                 const MeshRoute& route,
                                 const MeshCallOptions& options) {
  // The route is part of `routes`, which the callback keeps.
  const auto on_decision = [this, session, routes, &route, options](const QuotaDecision& decision) {
    session->SetDisconnectHandler(nullptr);
    if (decision.verdict != QuotaVerdict::kGranted) {
      // Not logged for each request: a caller may exceed its limit many times over.
      const bool limited = decision.verdict == QuotaVerdict::kLimited;
      HttpResponse response = limited ? TextResponse(429, "the limit of the account is reached\n")
                                      : TextResponse(503, "no token for the account\n");
      response.headers.push_back(MakeHeader("Retry-After", FormatRetryAfter(decision.retry_after)));
      session->Respond(std::move(response));
      return;
    }
    if (const TimePoint now = MonotonicNow(); IsTooLate(now, options.typical_service_time)) {
      quota_.Return(options.account, decision);
      Refuse(session, "stopping", UntilSuccessor(now));
      return;
    }
    if (options.deadline <= MonotonicNow()) {
      quota_.Return(options.account, decision);
      Refuse(session, "the deadline has passed", kRetryAfterPause);
      return;
    }
    StartCall(session, route, options,
              [this, account = options.account, decision] { quota_.Return(account, decision); });
  };
  // The continuation may be called from within `Admit`, so the handler is set before it.
  const auto request_id = std::make_shared<int64_t>(0);
  session->SetDisconnectHandler([this, request_id] { quota_.Cancel(*request_id); });
  *request_id = quota_.Admit(options.account, on_decision);
}

void OutboundProxy::StartCall(const HttpSessionPtr& session,
                              const MeshRoute& route,
                              MeshCallOptions options,
                              std::function<void()> on_not_run) {
  const auto call = std::make_shared<ActiveCall>(*this, session, route, std::move(options),
                                                 std::move(on_not_run));
  calls_.insert(call);
  call->Start();
}

}  // namespace limpet::edge
