#include "limpet/edge/inbound_proxy.h"

#include <algorithm>
#include <utility>

#include "exchange_outcome.h"
#include "limpet/core/fault.h"
#include "limpet/edge/event_log.h"
#include "limpet/net/clock.h"
#include "limpet/wire/names.h"

namespace limpet::edge {

namespace {

using Reason = wire::RefusalReason;

/// Connecting to the target on the same VM normally takes well under a millisecond.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
/// The target stops by itself at the deadline sent with the request; this is the extra time allowed
/// for its response.
constexpr Duration kDeadlineGrace = std::chrono::milliseconds(30);
/// A target may close an idle connection at any time. A request that must not be sent twice uses
/// only connections that were idle for less than this.
constexpr Duration kMaxIdleForNonIdempotent = std::chrono::milliseconds(1000);
/// How long a reply is kept for a node whose link was lost and that may reconnect.
constexpr Duration kReplyLifetime = std::chrono::seconds(3);
/// How long copies of a withdrawn call are refused. Longer than a call is sent again after its link
/// was lost, because a copy may have waited at a paused node.
constexpr Duration kWithdrawnLifetime = std::chrono::seconds(10);
/// How long an idempotent request continues after the link of its caller was lost.
constexpr Duration kOrphanLifetime = std::chrono::seconds(1);
/// A connection that becomes idle is closed if this many idle ones exist.
constexpr std::size_t kMaxIdleConnections = 64;
/// A load change of at least this share of the slots is reported to other nodes.
constexpr double kReportedLoadChange = 0.25;

std::optional<PeerAddress> ParsePeerAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  const int port =
      colon == std::string::npos ? -1 : ParseNonNegative(address.substr(colon + 1), -1);
  if (port <= 0 || port > 65535) {
    return std::nullopt;
  }
  return PeerAddress{address.substr(0, colon), port};
}

}  // namespace

InboundProxy::InboundProxy(const Executor& executor,
                           const HttpHeaderNames& header_names,
                           TargetGate& gate,
                           Counters& counters,
                           VmLink vm_link,
                           std::function<void()> on_status)
    : executor_(executor),
      header_names_(header_names),
      gate_(gate),
      counters_(counters),
      vm_link_(std::move(vm_link)),
      on_status_(std::move(on_status)) {}

InboundProxy::~InboundProxy() {
  for (auto& [key, pending] : pending_) {
    if (pending.connection) {
      pending.connection->Close();
    }
  }
  for (const HttpConnectionPtr& connection : idle_connections_) {
    connection->Close();
  }
}

void InboundProxy::Call(const std::string& key,
                        wire::LinkCall call,
                        std::string body,
                        ReplySinkPtr sink,
                        bool may_be_forgotten) {
  counters_.Get("inbound_calls").Add();
  if (const auto finished = finished_replies_.find(key); finished != finished_replies_.end()) {
    sink->Deliver(std::move(finished->second.reply), std::move(finished->second.body));
    finished_replies_.erase(finished);
    return;
  }
  if (withdrawn_until_.contains(key)) {
    wire::LinkReply reply;
    reply.call_id = call.call_id;
    reply.outcome = wire::Outcome::kNotRun;
    reply.reason = Reason::kCancelled;
    reply.target = Status();
    sink->Deliver(std::move(reply), {});
    return;
  }
  const TimePoint now = MonotonicNow();
  GateCall gate_call;
  gate_call.key = key;
  gate_call.request_id = call.request_id;
  gate_call.service = call.service_name;
  gate_call.instance = call.instance;
  gate_call.route = call.route;
  gate_call.idempotent = call.idempotent;
  gate_call.may_be_forgotten = may_be_forgotten;
  gate_call.priority = call.priority;
  gate_call.account = call.account;
  gate_call.typical_service_time = Duration(call.usual_run_us);
  gate_call.deadline = now + std::chrono::milliseconds(call.deadline_ms);
  gate_call.latency_target = now + std::chrono::milliseconds(call.latency_target_ms);
  gate_call.accepts_late = call.accepts_late;
  gate_call.free_slot_only = call.free_slot_only;
  const std::size_t paced_bytes = PacedBytes(call);
  if (paced_bytes > 0) {
    gate_call.link_queueing_delay =
        vm_link_.egress->QueueingDelay() + vm_link_.egress->TransmissionTime(admitted_bytes_);
    gate_call.link_transmission_time = vm_link_.egress->TransmissionTime(paced_bytes);
  }
  const bool awaiting_body = body.empty() && call.body_bytes > 0;
  gate_call.body_pending = awaiting_body;
  if (awaiting_body && vm_link_.ingress) {
    gate_call.body_delay =
        vm_link_.ingress->QueueingDelay() +
        vm_link_.ingress->TransmissionTime(static_cast<std::size_t>(call.body_bytes));
  }
  const GateDecision decision = gate_.Admit(now, gate_call);
  if (decision.verdict == GateVerdict::kAttach) {
    PendingCall& pending = pending_.at(key);
    pending.sink = std::move(sink);
    pending.orphaned_since = {};
    if (pending.awaiting_body) {
      // The new link sends the body from its start.
      pending.body.clear();
    }
    return;
  }
  PendingCall pending;
  pending.call = std::move(call);
  pending.body = std::move(body);
  pending.awaiting_body = awaiting_body;
  pending.sink = std::move(sink);
  pending.arrived = now;
  pending.deadline = gate_call.deadline;
  admitted_bytes_ += paced_bytes;
  const auto [entry, inserted] = pending_.emplace(key, std::move(pending));
  if (decision.verdict == GateVerdict::kRefuse) {
    Refuse(key, decision);
  } else if (decision.verdict == GateVerdict::kStart) {
    SendToTarget(key, entry->second);
  }
  ReportStatusChange();
}

bool InboundProxy::IsAwaitingBody(const std::string& key) const {
  const auto found = pending_.find(key);
  return found != pending_.end() && found->second.awaiting_body;
}

void InboundProxy::AddBody(const std::string& key,
                           const Link& link,
                           int64_t offset,
                           std::string_view bytes) {
  const auto found = pending_.find(key);
  if (found == pending_.end() || !found->second.awaiting_body) {
    return;
  }
  PendingCall& pending = found->second;
  const bool checked = !IsFaultActive(Fault::kAcceptMisplacedBody);
  if (checked && (!pending.sink || !pending.sink->IsFor(link))) {
    return;
  }
  const auto expected = static_cast<std::size_t>(pending.call.body_bytes);
  const auto received = static_cast<int64_t>(pending.body.size());
  if ((checked && offset != received) || pending.body.size() + bytes.size() > expected) {
    LogEvent("body_part_misplaced")
        .Add("request", pending.call.request_id)
        .Add("offset", offset)
        .Add("received", received)
        .Add("bytes", static_cast<int64_t>(bytes.size()));
    gate_.RemoveQueued(key);
    Refuse(key, {.reason = Reason::kTargetUnavailable});
    return;
  }
  pending.body += bytes;
  if (pending.body.size() < expected) {
    return;
  }
  pending.awaiting_body = false;
  HandleGateEvents(gate_.OnBody(MonotonicNow(), key));
  ReportStatusChange();
}

std::size_t InboundProxy::PacedBytes(const wire::LinkCall& call) const {
  const auto bytes = static_cast<std::size_t>(std::max(0, call.expected_response_bytes));
  return vm_link_.egress && bytes >= kLargeBodyBytes ? bytes : 0;
}

InboundProxy::PendingCall InboundProxy::TakePending(PendingCallMap::iterator call) {
  PendingCall pending = std::move(call->second);
  pending_.erase(call);
  admitted_bytes_ -= PacedBytes(pending.call);
  return pending;
}

void InboundProxy::Refuse(const std::string& key, const GateDecision& decision) {
  const auto found = pending_.find(key);
  wire::LinkReply reply;
  reply.outcome = decision.outcome;
  reply.reason = decision.reason;
  reply.retry_after_ms = static_cast<int32_t>(decision.retry_after.count() / 1000);
  if (found->second.call.free_slot_only) {
    // Immediate-only attempt: the caller's node logs the final result of the request.
    counters_.Get("inbound_full").Add();
  } else {
    LogRefusal(found->second, decision);
  }
  PendingCall pending = TakePending(found);
  Reply(pending, key, std::move(reply), {});
}

void InboundProxy::LogRefusal(const PendingCall& pending, const GateDecision& decision) {
  counters_.Get("inbound_refusals").Add();
  LogEvent("inbound_refused")
      .Add("request", pending.call.request_id)
      .Add("reason", EnumName(kRefusalReasonNames, decision.reason))
      .Add("running", gate_.running())
      .Add("queued", static_cast<int64_t>(gate_.queued()))
      .Add("waited_ms", MonotonicNow() - pending.arrived)
      .Add("retry_after_ms", decision.retry_after);
}

void InboundProxy::Reply(PendingCall& pending,
                         const std::string& key,
                         wire::LinkReply reply,
                         std::string body) {
  reply.call_id = pending.call.call_id;
  reply.target = Status();
  if (pending.sink && pending.sink->IsOpen()) {
    pending.sink->Deliver(std::move(reply), std::move(body));
  } else if (pending.sink) {
    finished_replies_[key] = {std::move(reply), std::move(body), MonotonicNow() + kReplyLifetime};
  }
}

HttpRequest InboundProxy::MakeRequest(const PendingCall& pending, TimePoint now) const {
  HttpRequest request;
  request.method = pending.call.method;
  request.target = pending.call.path;
  request.headers = pending.call.headers;
  request.body = pending.body;
  const auto remaining_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(pending.deadline - now).count();
  SetHeader(request.headers, header_names_.deadline_ms,
            std::to_string(std::max<int64_t>(1, remaining_ms)));
  SetHeader(request.headers, header_names_.expected_instance, pending.call.instance);
  return request;
}

HttpConnectionPtr InboundProxy::AcquireConnection(TimePoint now, bool idempotent, bool& reused) {
  std::erase_if(idle_connections_,
                [now](const HttpConnectionPtr& c) { return !c->IsReusable(now); });
  while (!idle_connections_.empty() && idle_connections_.back()->HasPeerEnded()) {
    idle_connections_.pop_back();
  }
  reused = !idle_connections_.empty() &&
           (idempotent || now - idle_connections_.back()->idle_since() < kMaxIdleForNonIdempotent);
  if (reused) {
    HttpConnectionPtr connection = std::move(idle_connections_.back());
    idle_connections_.pop_back();
    return connection;
  }
  counters_.Get("target_connections_opened").Add();
  HttpConnectionOptions options;
  options.peer = target_address_;
  options.connect_timeout = kConnectTimeout;
  return std::make_shared<HttpConnection>(executor_, options);
}

void InboundProxy::SendToTarget(const std::string& key, PendingCall& pending) {
  const TimePoint now = MonotonicNow();
  pending.started = now;
  pending.connection = AcquireConnection(now, pending.call.idempotent, pending.reused_connection);
  // Only the first response on a connection may lack the id: on a kept connection, it may be the
  // copy of an earlier response.
  auto matches = [id = pending.call.request_id, name = &header_names_.request_id,
                  first =
                      !pending.reused_connection ||
                      IsFaultActive(Fault::kAcceptResponseWithoutId)](const HttpHeaders& headers) {
    const std::string_view echoed = FindHeader(headers, *name);
    return echoed == id || (first && echoed.empty());
  };
  pending.connection->Send(
      MakeRequest(pending, now), pending.deadline - now + kDeadlineGrace, std::move(matches),
      [this, key](ExchangeResult result) { OnExchange(key, std::move(result)); });
}

void InboundProxy::OnExchange(const std::string& key, ExchangeResult result) {
  const auto found = pending_.find(key);
  if (found == pending_.end()) {
    return;
  }
  PendingCall& pending = found->second;
  HttpConnectionPtr connection = std::move(pending.connection);
  const bool echoes_id = !result.response.Header(header_names_.request_id).empty();
  if (echoes_id && connection->IsReusable(MonotonicNow()) &&
      idle_connections_.size() < kMaxIdleConnections) {
    idle_connections_.push_back(std::move(connection));
  } else {
    connection->Close();
  }
  if (result.status == ExchangeStatus::kBroken && pending.reused_connection) {
    // If the target has closed its idle connections, the others are of no use either. The request
    // may have run all the same, so the caller's node decides whether it is sent again.
    idle_connections_.clear();
    if (IsFaultActive(Fault::kRepeatLostRequest) && pending.call.idempotent) {
      SendToTarget(key, pending);
      return;
    }
  }
  ExchangeOutcome outcome = ClassifyExchange(result, header_names_);
  if (result.status == ExchangeStatus::kBroken && pending.reused_connection &&
      !result.response_begun) {
    outcome.result = TargetResult::kConnectionClosed;
  }
  if (outcome.result != TargetResult::kSucceeded) {
    LogEvent("target_failed")
        .Add("request", pending.call.request_id)
        .Add("instance", pending.call.instance)
        .Add("exchange", EnumName(kExchangeStatusNames, result.status))
        .Add("status", result.response.status)
        .Add("ran_ms", MonotonicNow() - pending.arrived)
        .Add("error", result.error.message());
  }
  if (outcome.reply.outcome == wire::Outcome::kRan) {
    outcome.reply.headers = std::move(result.response.headers);
  }
  Finish(key, std::move(outcome), std::move(result.response.body));
}

void InboundProxy::Finish(const std::string& key, ExchangeOutcome outcome, std::string body) {
  const auto found = pending_.find(key);
  PendingCall pending = TakePending(found);
  const TimePoint now = MonotonicNow();
  latency_.Record(now - pending.arrived);
  outcome.reply.run_us = static_cast<int32_t>((now - pending.started).count());
  const auto events = gate_.Finish(now, key, outcome.result);
  if (outcome.reply.outcome != wire::Outcome::kRan) {
    body.clear();
  }
  Reply(pending, key, std::move(outcome.reply), std::move(body));
  HandleGateEvents(events);
  ReportStatusChange();
}

void InboundProxy::HandleGateEvents(const std::vector<GateEvent>& events) {
  for (const GateEvent& event : events) {
    const auto found = pending_.find(event.key);
    if (found == pending_.end()) {
      continue;
    }
    if (event.starts) {
      SendToTarget(event.key, found->second);
    } else {
      Refuse(event.key, {.reason = event.reason});
    }
  }
}

void InboundProxy::Cancel(const std::string& key) {
  finished_replies_.erase(key);
  const auto found = pending_.find(key);
  if (found == pending_.end()) {
    return;
  }
  if (gate_.RemoveQueued(key)) {
    TakePending(found);
    return;
  }
  if (!found->second.call.idempotent) {
    found->second.sink = nullptr;
    return;
  }
  if (found->second.connection) {
    found->second.connection->Close();
  }
  TakePending(found);
  HandleGateEvents(gate_.Finish(MonotonicNow(), key, TargetResult::kCancelled));
  ReportStatusChange();
}

void InboundProxy::Withdraw(const std::string& key) {
  if (!gate_.RemoveQueued(key)) {
    return;
  }
  withdrawn_until_[key] = MonotonicNow() + kWithdrawnLifetime;
  Refuse(key, {.reason = Reason::kCancelled});
  ReportStatusChange();
}

void InboundProxy::SetTarget(const TargetAnnouncement* target) {
  if (target != nullptr && target->instance != target_instance_) {
    idle_connections_.clear();
    target_instance_ = target->instance;
    if (const auto address = ParsePeerAddress(target->address)) {
      target_address_ = *address;
    }
  }
  HandleGateEvents(gate_.SetTarget(MonotonicNow(), target));
  ReportStatusChange();
}

void InboundProxy::StartDraining() {
  HandleGateEvents(gate_.StartDraining(MonotonicNow()));
  ReportStatusChange();
}

void InboundProxy::SetClosed(bool closed) {
  HandleGateEvents(gate_.SetClosed(closed));
  ReportStatusChange();
}

void InboundProxy::Tick() {
  const TimePoint now = MonotonicNow();
  HandleGateEvents(gate_.Tick(now));
  std::erase_if(finished_replies_, [now](const auto& entry) { return now >= entry.second.expiry; });
  std::erase_if(withdrawn_until_, [now](const auto& entry) { return now >= entry.second; });
  std::vector<std::string> abandoned;
  for (auto& [key, pending] : pending_) {
    if (!pending.sink || pending.sink->IsOpen()) {
      continue;
    }
    if (pending.orphaned_since == TimePoint{}) {
      pending.orphaned_since = now;
    } else if (now - pending.orphaned_since > kOrphanLifetime && pending.call.idempotent) {
      abandoned.push_back(key);
    }
  }
  for (const std::string& key : abandoned) {
    Cancel(key);
  }
  ReportStatusChange();
}

wire::TargetStatus InboundProxy::Status() const {
  wire::TargetStatus status = gate_.Status(MonotonicNow());
  if (vm_link_.egress) {
    status.egress_wait_us = static_cast<int32_t>(vm_link_.egress->QueueingDelay().count());
    status.egress_us_per_kib =
        static_cast<int32_t>(vm_link_.egress->TransmissionTime(1024).count());
  }
  if (vm_link_.ingress) {
    status.ingress_wait_us = static_cast<int32_t>(vm_link_.ingress->QueueingDelay().count());
  }
  return status;
}

void InboundProxy::ReportStatusChange() {
  const wire::TargetStatus status = Status();
  const int load = status.load.in_flight + status.load.queued;
  const int reported_load = reported_status_.load.in_flight + reported_status_.load.queued;
  const bool load_changed =
      std::abs(load - reported_load) >= std::max(1.0, kReportedLoadChange * status.slots);
  if (status.state != reported_status_.state) {
    const TimePoint now = MonotonicNow();
    LogEvent("target_state")
        .Add("instance", status.instance)
        .Add("state", wire::_TargetState_VALUES_TO_NAMES.at(status.state))
        .Add("down_ms", gate_.down_since() == TimePoint{} ? Duration(0) : now - gate_.down_since())
        .Add("next_trial_ms", static_cast<int64_t>(status.next_trial_ms));
  }
  if (status.state != reported_status_.state || status.instance != reported_status_.instance ||
      load_changed) {
    reported_status_ = status;
    on_status_();
  }
}

}  // namespace limpet::edge
