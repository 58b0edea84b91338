#include "limpet/net/outbound_service.h"

#include <algorithm>
#include <array>
#include <thread>
#include <utility>

#include "limpet/core/enum_names.h"
#include "limpet/net/clock.h"
#include "limpet/wire/names.h"

namespace limpet {

namespace {

constexpr EnumNames<wire::Outcome::type, 3> kOutcomeNames = {{
    {wire::Outcome::kRan, "ran"},
    {wire::Outcome::kNotRun, "not_run"},
    {wire::Outcome::kUnknown, "unknown"},
}};

struct ReasonStatus {
  wire::RefusalReason::type reason;
  int status;
};

/// HTTP statuses of refusals, where other than 503.
constexpr std::array<ReasonStatus, 7> kReasonStatuses = {{
    {wire::RefusalReason::kNone, 502},
    {wire::RefusalReason::kDeadlinePassed, 504},
    {wire::RefusalReason::kNoRoute, 404},
    {wire::RefusalReason::kTruncatedReply, 502},
    {wire::RefusalReason::kTargetTimeout, 504},
    {wire::RefusalReason::kConnectionLost, 502},
    {wire::RefusalReason::kCancelled, 499},
}};

int FindStatus(wire::RefusalReason::type reason) {
  const auto* found =
      std::find_if(kReasonStatuses.begin(), kReasonStatuses.end(),
                   [&](const ReasonStatus& entry) { return entry.reason == reason; });
  return found == kReasonStatuses.end() ? 503 : found->status;
}

/// Returns true for headers that the outbound side reads and that are not forwarded, because the
/// outbound or the inbound side writes them again.
bool IsReplacedHeader(std::string_view name) {
  return !FindHeader({MakeHeader(kDeadlineHeader, "1"), MakeHeader(kDepthHeader, "1"),
                      MakeHeader(kTraceparentHeader, "1"), MakeHeader(kRequestIdHeader, "1")},
                     name)
              .empty();
}

}  // namespace

struct OutboundService::Call {
  OutboundCall state_machine;
  wire::CallRequest request;
  /// Trace context of the span that covers the whole call.
  std::string traceparent;
};

namespace {

BalancerOptions MakeBalancerOptions(SelectionKind selection) {
  BalancerOptions options;
  options.selection = selection;
  return options;
}

}  // namespace

OutboundService::OutboundService(std::string node,
                                 std::string data_centre,
                                 SelectionKind selection,
                                 Random random,
                                 PeerClient& peers,
                                 SnapshotSource snapshots,
                                 Tracer& tracer,
                                 Counters& counters)
    : calls_(counters.Get("outbound_calls")),
      attempts_(counters.Get("outbound_attempts")),
      refusals_(counters.Get("outbound_refusals")),
      peers_(peers),
      snapshots_(std::move(snapshots)),
      tracer_(tracer),
      random_(random),
      balancer_(MakeBalancerOptions(selection),
                std::move(node),
                std::move(data_centre),
                Random(random_.Next())),
      retry_policy_(RetryOptions(), Random(random_.Next())) {}

HttpResponse OutboundService::Handle(const HttpRequest& request, const ConnectionWatch& caller) {
  calls_.Add();
  const ConfigSnapshotPtr snapshot = snapshots_();
  const wire::Route* route = snapshot->FindRoute(request.path, request.Header(kCallerHeader));
  if (route == nullptr) {
    refusals_.Add();
    return MakeRefusal(wire::Outcome::kNotRun, wire::RefusalReason::kNoRoute);
  }
  Span span = tracer_.Start("outbound", SpanKind::kServer, request.Header(kTraceparentHeader));
  CallResult result = RunCall(MakeOptions(*snapshot, *route, request), request,
                              FormatTraceparent(span.context), caller);
  span.failed = result.outcome != wire::Outcome::kRan;
  span.attributes = {{"limpet.route", route->name},
                     {"limpet.outcome", std::string(EnumName(kOutcomeNames, result.outcome))},
                     {"limpet.attempts", std::to_string(result.attempts)}};
  tracer_.End(std::move(span));
  return ToHttpResponse(std::move(result));
}

OutboundService::Call OutboundService::MakeCall(const OutboundCallOptions& options,
                                                const HttpRequest& request) {
  wire::CallRequest call_request = MakeCallRequest(request);
  // The constructor draws the request id from the shared random generator.
  const std::lock_guard lock(mutex_);
  return {OutboundCall(options, balancer_, retry_policy_, random_), std::move(call_request), ""};
}

CallResult OutboundService::RunCall(const OutboundCallOptions& options,
                                    const HttpRequest& request,
                                    const std::string& traceparent,
                                    const ConnectionWatch& caller) {
  Call call = MakeCall(options, request);
  call.traceparent = traceparent;
  call.request.service_name = options.service;
  call.request.idempotent = options.idempotent;
  CallActions actions;
  {
    const std::lock_guard lock(mutex_);
    actions = call.state_machine.Start(MonotonicNow());
  }
  call.request.request_id = call.state_machine.request_id();
  const std::string_view caller_request_id = request.Header(kRequestIdHeader);
  call.request.headers.push_back(MakeHeader(
      kRequestIdHeader,
      caller_request_id.empty() ? std::string_view(call.request.request_id) : caller_request_id));
  while (!actions.finish && actions.send) {
    actions = RunAttempt(call, *actions.send, caller);
  }
  return actions.finish.value_or(CallResult());
}

OutboundCallOptions OutboundService::MakeOptions(const ConfigSnapshot& snapshot,
                                                 const wire::Route& route,
                                                 const HttpRequest& request) const {
  // Both exist, because a snapshot is validated as a whole.
  const wire::Service& service = *snapshot.FindService(route.service_name);
  const wire::Rule& rule = *snapshot.FindRule(route.rule);
  const auto& methods = service.idempotent_methods;
  OutboundCallOptions options;
  options.service = service.name;
  options.idempotent = std::find(methods.begin(), methods.end(), request.method) != methods.end();
  const int requested_deadline_ms =
      ParseNonNegative(request.Header(kDeadlineHeader), rule.deadline_ms);
  options.deadline = std::chrono::milliseconds(std::min(requested_deadline_ms, rule.deadline_ms));
  options.attempt_timeout = std::chrono::milliseconds(service.timeout_ms);
  options.max_attempts = rule.retry_enabled ? rule.max_attempts : 1;
  return options;
}

wire::CallRequest OutboundService::MakeCallRequest(const HttpRequest& request) const {
  wire::CallRequest call;
  call.method = request.method;
  call.path = request.query.empty() ? request.path : request.path + "?" + request.query;
  for (const auto& header : request.headers) {
    if (!IsConnectionHeader(header.name) && !IsReplacedHeader(header.name)) {
      call.headers.push_back(header);
    }
  }
  call.body = request.body;
  call.caller = request.Header(kCallerHeader);
  call.depth = ParseNonNegative(request.Header(kDepthHeader), 0) + 1;
  return call;
}

CallActions OutboundService::RunAttempt(Call& call,
                                        const SendAttempt& send,
                                        const ConnectionWatch& caller) {
  if (send.delay > Duration(0)) {
    std::this_thread::sleep_for(send.delay);
  }
  if (caller.IsClosed()) {
    const std::lock_guard lock(mutex_);
    return call.state_machine.Cancel(MonotonicNow());
  }
  attempts_.Add();
  Span span = tracer_.Start("attempt", SpanKind::kClient, call.traceparent);
  span.attributes = {{"limpet.node", send.endpoint.node}, {"limpet.attempt_id", send.attempt_id}};
  call.request.traceparent = FormatTraceparent(span.context);
  CallActions actions = Send(call, send, caller);
  span.failed = !actions.finish || actions.finish->outcome != wire::Outcome::kRan;
  tracer_.End(std::move(span));
  return actions;
}

CallActions OutboundService::Send(Call& call,
                                  const SendAttempt& send,
                                  const ConnectionWatch& caller) {
  call.request.attempt_id = send.attempt_id;
  call.request.target_incarnation = send.endpoint.incarnation;
  call.request.deadline_ms = send.deadline_ms;
  PeerFailure failure;
  try {
    const wire::CallReply reply =
        peers_.Call({send.endpoint.host, send.endpoint.port}, call.request, send.timeout, caller);
    const std::lock_guard lock(mutex_);
    return call.state_machine.OnReply(MonotonicNow(), reply);
  } catch (const PeerError& error) {
    failure = error.failure();
  }
  const std::lock_guard lock(mutex_);
  const TimePoint now = MonotonicNow();
  if (failure == PeerFailure::kTimeout) {
    return call.state_machine.OnTimeout(now, send.attempt_id);
  }
  if (failure == PeerFailure::kCallerClosed) {
    return call.state_machine.Cancel(now);
  }
  return call.state_machine.OnConnectionFailure(now, send.attempt_id,
                                                failure == PeerFailure::kConnectionLost);
}

HttpResponse OutboundService::ToHttpResponse(CallResult result) const {
  if (result.outcome != wire::Outcome::kRan || !result.reply) {
    refusals_.Add();
    HttpResponse response = MakeRefusal(result.outcome, result.reason);
    if (result.already_retried) {
      response.headers.push_back(MakeHeader(kRetriedHeader, "1"));
    }
    return response;
  }
  HttpResponse response;
  response.status = result.reply->http_status;
  for (auto& header : result.reply->headers) {
    if (!IsConnectionHeader(header.name)) {
      response.headers.push_back(std::move(header));
    }
  }
  SetHeader(response.headers, kOutcomeHeader, EnumName(kOutcomeNames, result.outcome));
  response.body = std::move(result.reply->body);
  return response;
}

void OutboundService::UpdateEndpoints(const EndpointView& view) {
  const std::lock_guard lock(mutex_);
  balancer_.Update(MonotonicNow(), view);
}

HttpResponse MakeRefusal(wire::Outcome::type outcome, wire::RefusalReason::type reason) {
  const std::string name(EnumName(kRefusalReasonNames, reason));
  HttpResponse response = TextResponse(
      FindStatus(reason), std::string(EnumName(kOutcomeNames, outcome)) + ": " + name + "\n");
  response.headers.push_back(MakeHeader(kOutcomeHeader, EnumName(kOutcomeNames, outcome)));
  response.headers.push_back(MakeHeader(kReasonHeader, name));
  return response;
}

}  // namespace limpet
