#include "limpet/edge/outbound_proxy.h"

#include <algorithm>
#include <utility>

#include "active_call.h"
#include "limpet/core/fault.h"
#include "limpet/edge/event_log.h"
#include "limpet/net/clock.h"
#include "limpet/wire/names.h"

namespace limpet::edge {

namespace {

using Reason = wire::RefusalReason;

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

/// Sizes assumed before the first response of a route. A download that is assumed to be small would
/// be taken from another data centre, where its bytes are charged.
constexpr std::size_t kAssumedDownloadBytes = std::size_t{64} << 10;
constexpr std::size_t kAssumedResponseBytes = 1024;

std::size_t AssumedResponseBytes(RequestKind kind) {
  return kind == RequestKind::kDownload ? kAssumedDownloadBytes : kAssumedResponseBytes;
}

}  // namespace

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
