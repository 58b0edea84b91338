#include "traffic/fake_network.h"

namespace limpet::test {

using std::chrono::milliseconds;

FakeNetwork::FakeNetwork(uint64_t seed) : random_(seed) {
  for (size_t i = 0; i < kTargets; ++i) {
    Target target;
    target.node = "t" + std::to_string(i);
    target.gate = MakeGate(target.incarnation);
    targets_.push_back(std::move(target));
  }
  for (size_t i = 0; i < kCallers; ++i) {
    callers_.push_back({std::make_unique<Balancer>(BalancerOptions{}, "c" + std::to_string(i),
                                                   "dc0", Random(random_.Next())),
                        std::make_unique<RetryPolicy>(RetryOptions{}, Random(random_.Next()))});
  }
  RefreshViews();
}

std::unique_ptr<InboundGate> FakeNetwork::MakeGate(int64_t incarnation) const {
  GateOptions options;
  options.queue_length = 2;
  // Small enough that the deduplication table becomes full in longer runs.
  options.deduplication_capacity = 24;
  return std::make_unique<InboundGate>(options, incarnation, std::make_unique<FixedLimit>(2));
}

Duration FakeNetwork::DrawDelay() {
  const Duration typical(500 + static_cast<int64_t>(random_.NextBelow(1000)));
  return DrawChance(faults_.late) ? typical + milliseconds(random_.NextBelow(2000)) : typical;
}

void FakeNetwork::Schedule(Duration delay, std::function<void()> event) {
  events_.emplace(now_ + delay, std::move(event));
}

void FakeNetwork::RefreshViews() {
  std::vector<Endpoint> endpoints;
  for (size_t i = 0; i < kTargets; ++i) {
    if (!targets_[i].draining) {
      endpoints.push_back({targets_[i].node, targets_[i].incarnation, "dc" + std::to_string(i % 2),
                           "127.0.0.1", static_cast<int>(i), true});
    }
  }
  for (Caller& caller : callers_) {
    caller.balancer->Update(now_, EndpointView({{"desk", endpoints}}));
  }
}

void FakeNetwork::StartCall(size_t caller,
                            bool idempotent,
                            Duration deadline,
                            bool short_attempts) {
  OutboundCallOptions options;
  options.service = "desk";
  options.idempotent = idempotent;
  options.deadline = deadline;
  options.attempt_timeout = short_attempts ? deadline / 4 : Duration(0);
  options.max_attempts = 3;
  calls_.push_back({caller, idempotent,
                    std::make_unique<OutboundCall>(options, *callers_[caller].balancer,
                                                   *callers_[caller].retry_policy, random_)});
  ApplyActions(calls_.size() - 1, calls_.back().state_machine->Start(now_));
}

void FakeNetwork::CancelCall(size_t call) {
  ApplyActions(call, calls_[call].state_machine->Cancel(now_));
}

void FakeNetwork::ApplyActions(size_t call, const CallActions& actions) {
  if (actions.cancel) {
    const std::string attempt = actions.cancel->attempt_id;
    cancelled_.insert(attempt);
    const auto connection = connections_.find(attempt);
    if (connection != connections_.end() && !DrawChance(faults_.lost)) {
      const size_t target = connection->second.target;
      Schedule(DrawDelay(), [=, this] {
        if (targets_[target].gate->Cancel(now_, attempt) == CancelResult::kRemoved) {
          SendReply(target, attempt, wire::Outcome::kNotRun, wire::RefusalReason::kCancelled);
        }
      });
    }
  }
  if (actions.send) {
    const SendAttempt send = *actions.send;
    Schedule(send.delay, [=, this] { Transmit(call, send); });
  }
  if (actions.finish) {
    RecordResult(call, *actions.finish);
  }
}

void FakeNetwork::RecordResult(size_t call, const CallResult& result) {
  RC_ASSERT(!calls_[call].is_finished);
  calls_[call].is_finished = true;
  const std::string& request = calls_[call].state_machine->request_id();
  if (result.outcome == wire::Outcome::kNotRun) {
    oracle_.OnCallNotRun(request);
  } else if (result.outcome == wire::Outcome::kRan) {
    oracle_.OnCallRan(request, result.reply->body);
  }
}

void FakeNetwork::Transmit(size_t call, const SendAttempt& send) {
  if (cancelled_.count(send.attempt_id) != 0U) {
    return;
  }
  const size_t target = static_cast<size_t>(send.endpoint.port);
  Schedule(send.timeout, [=, this] {
    ApplyActions(call, calls_[call].state_machine->OnTimeout(now_, send.attempt_id));
  });
  connections_[send.attempt_id] = {call, target, targets_[target].incarnation};
  if (DrawChance(faults_.refused_connection)) {
    Schedule(DrawDelay(), [=, this] { FailConnection(send.attempt_id, false); });
    return;
  }
  wire::CallRequest request;
  request.attempt_id = send.attempt_id;
  request.request_id = calls_[call].state_machine->request_id();
  request.target_incarnation = send.endpoint.incarnation;
  request.idempotent = calls_[call].idempotent;
  request.deadline_ms = send.deadline_ms;
  request.caller = "c" + std::to_string(calls_[call].caller);
  const int copies = (DrawChance(faults_.lost) ? 0 : 1) + (DrawChance(faults_.duplicated) ? 1 : 0);
  for (int copy = 0; copy < copies; ++copy) {
    Schedule(DrawDelay(), [=, this] { Deliver(target, request); });
  }
}

void FakeNetwork::FailConnection(const std::string& attempt, bool first_byte_sent) {
  const size_t call = connections_.at(attempt).call;
  ApplyActions(call,
               calls_[call].state_machine->OnConnectionFailure(now_, attempt, first_byte_sent));
}

void FakeNetwork::Deliver(size_t target, const wire::CallRequest& request) {
  Target& node = targets_[target];
  const AdmissionDecision decision = node.gate->Admit(now_, request);
  if (decision.admission == Admission::kRefused) {
    SendReply(target, request.attempt_id, decision.outcome, decision.reason);
  } else {
    node.requests[request.attempt_id] = request;
  }
  if (decision.admission == Admission::kAdmitted) {
    Execute(target, request.attempt_id);
  }
  HandleQueueEvents(target, decision.events);
  Schedule(milliseconds(10),
           [=, this, incarnation = node.incarnation] { ExpireQueue(target, incarnation); });
}

void FakeNetwork::ExpireQueue(size_t target, int64_t incarnation) {
  if (targets_[target].incarnation != incarnation) {
    return;
  }
  HandleQueueEvents(target, targets_[target].gate->Expire(now_));
  if (targets_[target].gate->load().queued > 0) {
    Schedule(milliseconds(10), [=, this] { ExpireQueue(target, incarnation); });
  }
}

void FakeNetwork::HandleQueueEvents(size_t target, const std::vector<QueueEvent>& events) {
  for (const QueueEvent& event : events) {
    if (event.starts) {
      Execute(target, event.attempt_id);
    } else {
      SendReply(target, event.attempt_id, wire::Outcome::kNotRun, event.reason);
    }
  }
}

void FakeNetwork::Execute(size_t target, const std::string& attempt) {
  const int64_t incarnation = targets_[target].incarnation;
  const bool refuses = DrawChance(faults_.target_refuses);
  if (!refuses) {
    const wire::CallRequest& request = targets_[target].requests.at(attempt);
    oracle_.OnExecution(request.request_id, attempt, request.idempotent, targets_[target].draining);
  }
  Schedule(refuses ? Duration(200) : random_.Jitter(service_time_, 0.8), [=, this] {
    if (targets_[target].incarnation == incarnation) {
      FinishAttempt(target, attempt, refuses ? wire::Outcome::kNotRun : wire::Outcome::kRan);
    }
  });
}

void FakeNetwork::FinishAttempt(size_t target,
                                const std::string& attempt,
                                wire::Outcome::type outcome) {
  const auto events = targets_[target].gate->Finish(now_, attempt, outcome, service_time_);
  const bool ran = outcome == wire::Outcome::kRan;
  SendReply(target, attempt, outcome,
            ran ? wire::RefusalReason::kNone : wire::RefusalReason::kTargetUnavailable);
  HandleQueueEvents(target, events);
}

void FakeNetwork::SendReply(size_t target,
                            const std::string& attempt,
                            wire::Outcome::type outcome,
                            wire::RefusalReason::type reason) {
  wire::CallReply reply;
  reply.attempt_id = attempt;
  reply.outcome = outcome;
  reply.reason = reason;
  reply.load = targets_[target].gate->load();
  if (outcome == wire::Outcome::kRan) {
    reply.body = CallOracle::ExpectedBody(targets_[target].requests.at(attempt).request_id);
  }
  const int64_t incarnation = targets_[target].incarnation;
  const int copies = (DrawChance(faults_.lost) ? 0 : 1) + (DrawChance(faults_.duplicated) ? 1 : 0);
  for (int copy = 0; copy < copies; ++copy) {
    Schedule(DrawDelay(), [=, this] { DeliverReply(target, incarnation, reply); });
  }
}

void FakeNetwork::DeliverReply(size_t target, int64_t incarnation, const wire::CallReply& reply) {
  const Connection connection = connections_.at(reply.attempt_id);
  if (connection.incarnation != incarnation || connection.target != target) {
    return;
  }
  if (reply.outcome == wire::Outcome::kNotRun) {
    oracle_.OnAttemptNotRun(reply.attempt_id);
  }
  if (DrawChance(faults_.truncated)) {
    FailConnection(reply.attempt_id, true);
    return;
  }
  if (DrawChance(faults_.crossed)) {
    const size_t other = random_.NextBelow(calls_.size());
    ApplyActions(other, calls_[other].state_machine->OnReply(now_, reply));
  }
  ApplyActions(connection.call, calls_[connection.call].state_machine->OnReply(now_, reply));
}

void FakeNetwork::Restart(size_t target) {
  Target& node = targets_[target];
  for (const auto& [attempt, connection] : connections_) {
    if (connection.target == target && connection.incarnation == node.incarnation &&
        !DrawChance(faults_.lost)) {
      Schedule(DrawDelay(), [this, id = attempt] { FailConnection(id, true); });
    }
  }
  ++node.incarnation;
  node.draining = false;
  node.requests.clear();
  node.gate = MakeGate(node.incarnation);
}

void FakeNetwork::Drain(size_t target) {
  const auto events = targets_[target].gate->StartDraining(now_);
  targets_[target].draining = true;
  HandleQueueEvents(target, events);
}

void FakeNetwork::Advance(Duration time) {
  const TimePoint end = now_ + time;
  while (!events_.empty() && events_.begin()->first <= end) {
    auto event = events_.extract(events_.begin());
    now_ = std::max(now_, event.key());
    event.mapped()();
  }
  now_ = end;
}

void FakeNetwork::FinishAll() {
  while (!events_.empty()) {
    Advance(milliseconds(100));
  }
  for (const Call& call : calls_) {
    RC_ASSERT(call.is_finished);
  }
  for (const Target& target : targets_) {
    RC_ASSERT(target.gate->in_flight() == 0);
    RC_ASSERT(target.gate->load().queued == 0);
    for (const Caller& caller : callers_) {
      const EndpointStats* stats = caller.balancer->Find(target.node);
      const int in_flight = stats == nullptr ? 0 : stats->in_flight;
      RC_ASSERT(in_flight == 0);
    }
  }
}

}  // namespace limpet::test
