#include "scenario/call_network.h"

#include <utility>

namespace limpet::scenario {
namespace {

constexpr Duration kHop = std::chrono::milliseconds(1);
constexpr int kSlots = 12;
constexpr int kMaxAttempts = 3;

}  // namespace

void CallNetwork::Start(const std::string& node,
                        const std::string& data_centre,
                        int64_t incarnation) {
  Stop(node);
  Node& state = nodes_[node];
  state.balancer =
      std::make_unique<Balancer>(BalancerOptions{}, node, data_centre, Random(random_.Next()));
  state.retry_policy = std::make_unique<RetryPolicy>(RetryOptions{}, Random(random_.Next()));
  state.gate = std::make_unique<InboundGate>(GateOptions{}, incarnation,
                                             MakeLimitStrategy(LimitKind::kFixed, kSlots));
}

void CallNetwork::Kill(const std::string& node) {
  Stop(node);
}

void CallNetwork::Stop(const std::string& node) {
  std::erase_if(open_, [&node](const auto& entry) { return entry.second.node == node; });
  Node& state = nodes_[node];
  const int64_t life = state.life + 1;
  state = Node{};
  state.life = life;
}

void CallNetwork::Drain(TimePoint now, const std::string& node) {
  Handle(now, node, nodes_[node].gate->StartDraining(now));
}

void CallNetwork::UpdateView(TimePoint now, const std::string& node, const EndpointView& view) {
  if (nodes_[node].balancer) {
    nodes_[node].balancer->Update(now, view);
  }
}

std::size_t CallNetwork::Call(TimePoint now,
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
  open_[index] = {node, std::move(call)};
  Perform(now, index, node, started.Start(now));
  return index;
}

void CallNetwork::Step(TimePoint now) {
  while (!events_.empty() && events_.begin()->first <= now) {
    auto event = events_.extract(events_.begin());
    event.mapped()(event.key());
  }
  for (auto& [name, state] : nodes_) {
    if (state.gate) {
      Handle(now, name, state.gate->Expire(now));
    }
  }
}

int CallNetwork::Executions(const std::string& request_id) const {
  const auto it = executions_.find(request_id);
  return it == executions_.end() ? 0 : it->second;
}

int CallNetwork::Started(const std::string& node) const {
  const auto it = started_.find(node);
  return it == started_.end() ? 0 : it->second;
}

int CallNetwork::InFlight(const std::string& node) const {
  const auto it = nodes_.find(node);
  return it == nodes_.end() || !it->second.gate ? 0 : it->second.gate->in_flight();
}

void CallNetwork::At(TimePoint time, std::function<void(TimePoint)> action) {
  events_.emplace(time, std::move(action));
}

bool CallNetwork::IsBlocked(const std::string& from, const std::string& to) const {
  return blocked_ && blocked_(from, to);
}

void CallNetwork::Perform(TimePoint now,
                          std::size_t call,
                          const std::string& from,
                          const CallActions& actions) {
  if (actions.finish) {
    Finish(call, *actions.finish);
  }
  if (!actions.send) {
    return;
  }
  const SendAttempt& send = *actions.send;
  Exchange exchange;
  exchange.call = call;
  exchange.from = from;
  exchange.to = send.endpoint.node;
  exchange.request.attempt_id = send.attempt_id;
  exchange.request.request_id = calls_[call].request_id;
  exchange.request.target_incarnation = send.endpoint.incarnation;
  exchange.request.idempotent = calls_[call].idempotent;
  exchange.request.deadline_ms = send.deadline_ms;
  exchange.request.body = calls_[call].request_id;
  const TimePoint sent = now + send.delay;
  At(sent + kHop, [this, exchange](TimePoint at) { Deliver(at, exchange); });
  if (faults_[exchange.to].duplicate_requests) {
    At(sent + 20 * kHop, [this, exchange](TimePoint at) { Deliver(at, exchange); });
  }
  At(sent + send.timeout, [this, exchange](TimePoint at) {
    const auto open = open_.find(exchange.call);
    if (open != open_.end()) {
      Perform(at, exchange.call, exchange.from,
              open->second.call->OnTimeout(at, exchange.request.attempt_id));
    }
  });
}

void CallNetwork::Deliver(TimePoint now, const Exchange& exchange) {
  const bool is_dead = !nodes_[exchange.to].gate;
  if (!is_dead && !IsBlocked(exchange.from, exchange.to)) {
    DeliverRequest(now, exchange);
    return;
  }
  const auto open = open_.find(exchange.call);
  // A dead process refuses the connection; a partition is silent until the timeout.
  if (is_dead && open != open_.end()) {
    Perform(now, exchange.call, exchange.from,
            open->second.call->OnConnectionFailure(now, exchange.request.attempt_id, false));
  }
}

void CallNetwork::DeliverRequest(TimePoint now, const Exchange& exchange) {
  exchanges_[exchange.request.attempt_id] = exchange;
  const AdmissionDecision decision = nodes_[exchange.to].gate->Admit(now, exchange.request);
  Handle(now, exchange.to, decision.events);
  if (decision.admission == Admission::kAdmitted) {
    Execute(now, exchange.to, exchange.request);
  }
  if (decision.admission == Admission::kRefused) {
    wire::CallReply reply;
    reply.attempt_id = exchange.request.attempt_id;
    reply.outcome = decision.outcome;
    reply.reason = decision.reason;
    Reply(now, exchange, std::move(reply));
  }
}

void CallNetwork::Handle(TimePoint now,
                         const std::string& node,
                         const std::vector<QueueEvent>& events) {
  for (const QueueEvent& event : events) {
    const Exchange exchange = exchanges_[event.attempt_id];
    if (event.starts) {
      Execute(now, node, exchange.request);
      continue;
    }
    wire::CallReply reply;
    reply.attempt_id = event.attempt_id;
    reply.outcome = wire::Outcome::kNotRun;
    reply.reason = event.reason;
    Reply(now, exchange, std::move(reply));
  }
}

void CallNetwork::Execute(TimePoint now,
                          const std::string& node,
                          const wire::CallRequest& request) {
  ++executions_[request.request_id];
  ++started_[node];
  const Duration service_time = faults_[node].service_time;
  const int64_t life = nodes_[node].life;
  At(now + service_time, [this, node, request, service_time, life](TimePoint at) {
    if (nodes_[node].life != life) {
      return;
    }
    wire::CallReply reply;
    reply.attempt_id = request.attempt_id;
    reply.outcome = wire::Outcome::kRan;
    reply.body = request.body;
    Handle(at, node,
           nodes_[node].gate->Finish(at, request.attempt_id, wire::Outcome::kRan, service_time));
    reply.load = nodes_[node].gate->load();
    Reply(at, exchanges_[request.attempt_id], std::move(reply));
  });
}

void CallNetwork::Reply(TimePoint now, const Exchange& exchange, wire::CallReply reply) {
  const CallFaults& faults = faults_[exchange.to];
  if (faults.lose_replies || IsBlocked(exchange.to, exchange.from)) {
    return;
  }
  if (faults.cross_replies) {
    std::swap(reply, last_reply_[exchange.to]);
  }
  At(now + kHop + faults.reply_delay, [this, exchange, reply](TimePoint at) {
    const auto open = open_.find(exchange.call);
    if (open != open_.end()) {
      Perform(at, exchange.call, exchange.from, open->second.call->OnReply(at, reply));
    }
  });
}

void CallNetwork::Finish(std::size_t call, const CallResult& result) {
  calls_[call].result = result;
  open_.erase(call);
}

}  // namespace limpet::scenario
