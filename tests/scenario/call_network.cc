#include "scenario/call_network.h"

#include <utility>

namespace limpet::scenario {
namespace {

constexpr Duration kHopLatency = std::chrono::milliseconds(1);
constexpr int kSlots = 12;
constexpr int kMaxAttempts = 3;

}  // namespace

void CallNetwork::Start(const std::string& node,
                        const std::string& data_centre,
                        int64_t incarnation) {
  ResetNode(node);
  Node& state = nodes_[node];
  state.balancer =
      std::make_unique<Balancer>(BalancerOptions{}, node, data_centre, Random(random_.Next()));
  state.retry_policy = std::make_unique<RetryPolicy>(RetryOptions{}, Random(random_.Next()));
  state.gate = std::make_unique<InboundGate>(GateOptions{}, incarnation,
                                             MakeLimitStrategy(LimitKind::kFixed, kSlots));
}

void CallNetwork::Kill(const std::string& node) {
  ResetNode(node);
}

void CallNetwork::ResetNode(const std::string& node) {
  std::erase_if(pending_calls_, [&node](const auto& entry) { return entry.second.node == node; });
  Node& state = nodes_[node];
  const int64_t generation = state.generation + 1;
  state = Node{};
  state.generation = generation;
}

void CallNetwork::Drain(TimePoint now, const std::string& node) {
  HandleQueueEvents(now, node, nodes_[node].gate->StartDraining(now));
}

void CallNetwork::UpdateView(TimePoint now, const std::string& node, const EndpointView& view) {
  if (nodes_[node].balancer) {
    nodes_[node].balancer->Update(now, view);
  }
}

std::size_t CallNetwork::StartCall(TimePoint now,
                                   const std::string& node,
                                   const std::string& service,
                                   bool idempotent) {
  OutboundCallOptions options;
  options.service = service;
  options.idempotent = idempotent;
  options.deadline = std::chrono::seconds(1);
  options.max_attempts = kMaxAttempts;
  options.attempt_timeout = std::chrono::milliseconds(300);
  const std::size_t index = calls_.size();
  auto call = std::make_unique<OutboundCall>(options, *nodes_[node].balancer,
                                             *nodes_[node].retry_policy, random_);
  calls_.push_back({call->request_id(), idempotent, std::nullopt});
  OutboundCall& started = *call;
  pending_calls_[index] = {node, std::move(call)};
  ApplyActions(now, index, node, started.Start(now));
  return index;
}

void CallNetwork::Step(TimePoint now) {
  while (!events_.empty() && events_.begin()->first <= now) {
    auto event = events_.extract(events_.begin());
    event.mapped()(event.key());
  }
  for (auto& [name, state] : nodes_) {
    if (state.gate) {
      HandleQueueEvents(now, name, state.gate->Expire(now));
    }
  }
}

int CallNetwork::CountExecutions(const std::string& request_id) const {
  const auto it = executions_.find(request_id);
  return it == executions_.end() ? 0 : it->second;
}

int CallNetwork::CountStartedExecutions(const std::string& node) const {
  const auto it = started_executions_.find(node);
  return it == started_executions_.end() ? 0 : it->second;
}

int CallNetwork::InFlight(const std::string& node) const {
  const auto it = nodes_.find(node);
  return it == nodes_.end() || !it->second.gate ? 0 : it->second.gate->in_flight();
}

void CallNetwork::Schedule(TimePoint time, std::function<void(TimePoint)> action) {
  events_.emplace(time, std::move(action));
}

bool CallNetwork::IsBlocked(const std::string& from, const std::string& to) const {
  return is_blocked_ && is_blocked_(from, to);
}

void CallNetwork::ApplyActions(TimePoint now,
                               std::size_t call,
                               const std::string& from,
                               const CallActions& actions) {
  if (actions.finish) {
    FinishCall(call, *actions.finish);
  }
  if (!actions.send) {
    return;
  }
  const SendAttempt& send = *actions.send;
  Attempt attempt;
  attempt.call = call;
  attempt.from = from;
  attempt.to = send.endpoint.node;
  attempt.request.attempt_id = send.attempt_id;
  attempt.request.request_id = calls_[call].request_id;
  attempt.request.target_incarnation = send.endpoint.incarnation;
  attempt.request.idempotent = calls_[call].idempotent;
  attempt.request.deadline_ms = send.deadline_ms;
  attempt.request.body = calls_[call].request_id;
  const TimePoint sent = now + send.delay;
  Schedule(sent + kHopLatency, [this, attempt](TimePoint at) { Deliver(at, attempt); });
  if (faults_[attempt.to].duplicate_requests) {
    Schedule(sent + 20 * kHopLatency, [this, attempt](TimePoint at) { Deliver(at, attempt); });
  }
  Schedule(sent + send.timeout, [this, attempt](TimePoint at) {
    const auto pending = pending_calls_.find(attempt.call);
    if (pending != pending_calls_.end()) {
      ApplyActions(at, attempt.call, attempt.from,
                   pending->second.call->OnTimeout(at, attempt.request.attempt_id));
    }
  });
}

void CallNetwork::Deliver(TimePoint now, const Attempt& attempt) {
  const bool is_down = !nodes_[attempt.to].gate;
  if (!is_down && !IsBlocked(attempt.from, attempt.to)) {
    DeliverRequest(now, attempt);
    return;
  }
  const auto pending = pending_calls_.find(attempt.call);
  // A stopped process refuses the connection at once. In a partition the caller gets no reply and
  // waits for the timeout.
  if (is_down && pending != pending_calls_.end()) {
    ApplyActions(now, attempt.call, attempt.from,
                 pending->second.call->OnConnectionFailure(now, attempt.request.attempt_id, false));
  }
}

void CallNetwork::DeliverRequest(TimePoint now, const Attempt& attempt) {
  attempts_[attempt.request.attempt_id] = attempt;
  const AdmissionDecision decision = nodes_[attempt.to].gate->Admit(now, attempt.request);
  HandleQueueEvents(now, attempt.to, decision.events);
  if (decision.admission == Admission::kAdmitted) {
    Execute(now, attempt.to, attempt.request);
  }
  if (decision.admission == Admission::kRefused) {
    wire::CallReply reply;
    reply.attempt_id = attempt.request.attempt_id;
    reply.outcome = decision.outcome;
    reply.reason = decision.reason;
    SendReply(now, attempt, std::move(reply));
  }
}

void CallNetwork::HandleQueueEvents(TimePoint now,
                                    const std::string& node,
                                    const std::vector<QueueEvent>& events) {
  for (const QueueEvent& event : events) {
    const Attempt attempt = attempts_[event.attempt_id];
    if (event.starts) {
      Execute(now, node, attempt.request);
      continue;
    }
    wire::CallReply reply;
    reply.attempt_id = event.attempt_id;
    reply.outcome = wire::Outcome::kNotRun;
    reply.reason = event.reason;
    SendReply(now, attempt, std::move(reply));
  }
}

void CallNetwork::Execute(TimePoint now,
                          const std::string& node,
                          const wire::CallRequest& request) {
  ++executions_[request.request_id];
  ++started_executions_[node];
  const Duration service_time = faults_[node].service_time;
  const int64_t generation = nodes_[node].generation;
  Schedule(now + service_time, [this, node, request, service_time, generation](TimePoint at) {
    if (nodes_[node].generation != generation) {
      return;
    }
    wire::CallReply reply;
    reply.attempt_id = request.attempt_id;
    reply.outcome = wire::Outcome::kRan;
    reply.body = request.body;
    HandleQueueEvents(
        at, node,
        nodes_[node].gate->Finish(at, request.attempt_id, wire::Outcome::kRan, service_time));
    reply.load = nodes_[node].gate->load();
    SendReply(at, attempts_[request.attempt_id], std::move(reply));
  });
}

void CallNetwork::SendReply(TimePoint now, const Attempt& attempt, wire::CallReply reply) {
  const CallFaults& faults = faults_[attempt.to];
  if (faults.lose_replies || IsBlocked(attempt.to, attempt.from)) {
    return;
  }
  if (faults.cross_replies) {
    std::swap(reply, last_reply_[attempt.to]);
  }
  Schedule(now + kHopLatency + faults.reply_delay, [this, attempt, reply](TimePoint at) {
    const auto pending = pending_calls_.find(attempt.call);
    if (pending != pending_calls_.end()) {
      ApplyActions(at, attempt.call, attempt.from, pending->second.call->OnReply(at, reply));
    }
  });
}

void CallNetwork::FinishCall(std::size_t call, const CallResult& result) {
  calls_[call].result = result;
  pending_calls_.erase(call);
}

}  // namespace limpet::scenario
