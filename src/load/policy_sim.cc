#include "load/policy_sim.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace limpet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(1000)};
constexpr Duration kLocalLatency(100);
constexpr Duration kRemoteLatency(1500);
constexpr Duration kTick = milliseconds(10);
/// Time to open a connection. A non-idempotent request always uses a new one.
constexpr Duration kConnectTime = milliseconds(1);
constexpr Duration kUnreachableDelay = seconds(5);
constexpr Duration kViewUpdateDelay = seconds(1);
constexpr Duration kRestartTime = seconds(3);
constexpr Duration kWarmUpTime = seconds(5);
constexpr double kColdSlowdown = 5;
constexpr int kNoLimit = 1000000;

double DrawExponential(Random& random) {
  return -std::log(1.0 - random.NextFraction());
}

}  // namespace

PolicySim::PolicySim(SimOptions options)
    : options_(std::move(options)),
      arrivals_(options_.seed),
      random_(options_.seed + 1),
      now_(kStart) {
  for (const SimTarget& spec : options_.targets) {
    Target target;
    target.spec = spec;
    target.gate = MakeGate(target);
    targets_.push_back(std::move(target));
  }
  for (int i = 0; i < options_.callers; ++i) {
    Caller caller;
    caller.name = "caller" + std::to_string(i);
    caller.data_centre = "dc" + std::to_string(i % 3);
    caller.balancer = std::make_unique<Balancer>(options_.balancer, caller.name, caller.data_centre,
                                                 Random(random_.Next()));
    caller.retry_policy = std::make_unique<RetryPolicy>(options_.retry, Random(random_.Next()));
    callers_.push_back(std::move(caller));
  }
  PublishView();
  Tick();
}

std::unique_ptr<InboundGate> PolicySim::MakeGate(const Target& target) const {
  std::unique_ptr<LimitStrategy> limit;
  if (options_.unlimited) {
    limit = std::make_unique<FixedLimit>(kNoLimit);
  } else {
    limit = MakeLimitStrategy(options_.limit, target.spec.configured_slots);
  }
  return std::make_unique<InboundGate>(options_.gate, target.incarnation, std::move(limit));
}

void PolicySim::Schedule(TimePoint time, std::function<void()> run) {
  events_.push({time, sequence_++, std::move(run)});
}

void PolicySim::ScheduleAfter(Duration delay, std::function<void()> run) {
  Schedule(now_ + delay, std::move(run));
}

void PolicySim::SetRate(Duration at, double calls_per_second) {
  Schedule(kStart + at, [=, this] {
    rate_ = calls_per_second;
    ScheduleArrival(++rate_epoch_);
  });
}

void PolicySim::SetSlowdown(Duration at, size_t target, double factor) {
  Schedule(kStart + at, [=, this] { targets_[target].slowdown = factor; });
}

void PolicySim::SetReachable(Duration at, size_t target, bool reachable) {
  Schedule(kStart + at, [=, this] {
    targets_[target].reachable = reachable;
    PublishView();
  });
}

void PolicySim::LoseDataCentre(Duration at, const std::string& data_centre) {
  Schedule(kStart + at, [=, this] {
    for (Caller& caller : callers_) {
      caller.lost = caller.lost || caller.data_centre == data_centre;
    }
    for (Target& target : targets_) {
      target.lost = target.lost || target.spec.data_centre == data_centre;
    }
  });
  Schedule(kStart + at + kUnreachableDelay, [=, this] {
    for (Target& target : targets_) {
      target.reachable = target.reachable && !target.lost;
    }
    PublishView();
  });
}

void PolicySim::Restart(Duration at, size_t index) {
  Schedule(kStart + at, [=, this] {
    Target& target = targets_[index];
    target.stopped = true;
    target.pending_attempts.clear();
    target.queue.clear();
    target.running = 0;
    ++target.incarnation;
    ScheduleAfter(kViewUpdateDelay, [this] { PublishView(); });
    ScheduleAfter(kRestartTime, [=, this] {
      Target& restarted = targets_[index];
      restarted.stopped = false;
      restarted.gate = MakeGate(restarted);
      restarted.warm_up_end = now_ + kWarmUpTime;
      PublishView();
    });
  });
}

size_t PolicySim::AddWindow(Duration from, Duration to) {
  windows_.push_back({from, to, 0, 0, 0, 0, 0, {}});
  return windows_.size() - 1;
}

void PolicySim::Run(Duration until) {
  while (!events_.empty() && events_.top().time <= kStart + until) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.time;
    event.run();
  }
}

void PolicySim::PublishView() {
  std::vector<Endpoint> endpoints;
  for (size_t i = 0; i < targets_.size(); ++i) {
    const Target& target = targets_[i];
    if (!target.stopped) {
      endpoints.push_back({target.spec.node, target.incarnation, target.spec.data_centre,
                           "127.0.0.1", static_cast<int>(i), target.reachable});
    }
  }
  const EndpointView view({{"service", endpoints}});
  for (Caller& caller : callers_) {
    caller.balancer->Update(now_, view);
  }
}

void PolicySim::Tick() {
  for (size_t i = 0; i < targets_.size(); ++i) {
    if (!targets_[i].stopped) {
      HandleQueueEvents(i, targets_[i].gate->Expire(now_));
    }
  }
  ScheduleAfter(kTick, [this] { Tick(); });
}

void PolicySim::ScheduleArrival(int64_t epoch) {
  if (rate_ <= 0) {
    return;
  }
  ScheduleAfter(Scale(seconds(1), DrawExponential(arrivals_) / rate_), [=, this] {
    if (epoch == rate_epoch_) {
      StartCall();
      ScheduleArrival(epoch);
    }
  });
}

void PolicySim::StartCall() {
  size_t caller = arrivals_.NextBelow(callers_.size());
  while (callers_[caller].lost) {
    caller = arrivals_.NextBelow(callers_.size());
  }
  OutboundCallOptions options;
  options.service = "service";
  options.idempotent = arrivals_.NextFraction() < options_.idempotent_share;
  options.deadline = options_.deadline;
  options.attempt_timeout = options.idempotent ? options_.deadline / 2 : Duration(0);
  options.max_attempts = options_.max_attempts;
  Call call;
  call.caller = caller;
  call.idempotent = options.idempotent;
  call.started = now_;
  call.outbound_call = std::make_unique<OutboundCall>(options, *callers_[caller].balancer,
                                                      *callers_[caller].retry_policy, random_);
  const size_t id = next_call_++;
  const auto position = calls_.emplace(id, std::move(call)).first;
  if (SimWindow* window = FindWindow(now_)) {
    ++window->offered;
  }
  ApplyActions(id, position->second.outbound_call->Start(now_));
}

SimWindow* PolicySim::FindWindow(TimePoint started) {
  for (SimWindow& window : windows_) {
    if (started >= kStart + window.from && started < kStart + window.to) {
      return &window;
    }
  }
  return nullptr;
}

void PolicySim::ApplyActions(size_t call, const CallActions& actions) {
  // A cancelled attempt is not removed from the target, because a target that has started an
  // execution usually completes it.
  if (actions.send) {
    const SendAttempt send = *actions.send;
    ScheduleAfter(send.delay, [=, this] { Transmit(call, send); });
  }
  if (actions.finish) {
    FinishCall(call, *actions.finish);
  }
}

void PolicySim::FinishCall(size_t call, const CallResult& result) {
  const auto position = calls_.find(call);
  const TimePoint started = position->second.started;
  if (SimWindow* window = FindWindow(started)) {
    window->attempts += result.attempts;
    switch (result.outcome) {
      case wire::Outcome::kRan:
        ++window->succeeded;
        window->latency.Record(now_ - started);
        break;
      case wire::Outcome::kNotRun:
        ++window->refused;
        break;
      case wire::Outcome::kUnknown:
        ++window->unknown;
        break;
    }
  }
  calls_.erase(position);
}

Duration PolicySim::Latency(size_t caller, size_t target) const {
  return callers_[caller].data_centre == targets_[target].spec.data_centre ? kLocalLatency
                                                                           : kRemoteLatency;
}

void PolicySim::Transmit(size_t call, const SendAttempt& send) {
  const auto position = calls_.find(call);
  if (position == calls_.end()) {
    return;
  }
  const Call& entry = position->second;
  const auto target = static_cast<size_t>(send.endpoint.port);
  ScheduleAfter(send.timeout, [=, this] {
    const auto pending_call = calls_.find(call);
    if (pending_call != calls_.end()) {
      ApplyActions(call, pending_call->second.outbound_call->OnTimeout(now_, send.attempt_id));
    }
  });
  wire::CallRequest request;
  request.attempt_id = send.attempt_id;
  request.request_id = entry.outbound_call->request_id();
  request.target_incarnation = send.endpoint.incarnation;
  request.idempotent = entry.idempotent;
  request.deadline_ms = send.deadline_ms;
  request.caller = callers_[entry.caller].name;
  const Duration delay =
      Latency(entry.caller, target) + (entry.idempotent ? Duration(0) : kConnectTime);
  ScheduleAfter(delay, [=, this] { Deliver(target, call, request); });
}

void PolicySim::Deliver(size_t index, size_t call, const wire::CallRequest& request) {
  Target& target = targets_[index];
  const auto pending_call = calls_.find(call);
  if (target.lost || pending_call == calls_.end()) {
    return;
  }
  if (target.stopped) {
    ApplyActions(call, pending_call->second.outbound_call->OnConnectionFailure(
                           now_, request.attempt_id, false));
    return;
  }
  const AdmissionDecision decision = target.gate->Admit(now_, request);
  if (decision.admission == Admission::kRefused) {
    SendReply(index, call, request.attempt_id, decision.outcome, decision.reason);
  } else {
    target.pending_attempts[request.attempt_id] = {request, call, now_};
  }
  if (decision.admission == Admission::kAdmitted) {
    SubmitToTarget(index, request.attempt_id);
  }
  HandleQueueEvents(index, decision.events);
}

void PolicySim::HandleQueueEvents(size_t index, const std::vector<QueueEvent>& events) {
  for (const QueueEvent& event : events) {
    if (event.starts) {
      SubmitToTarget(index, event.attempt_id);
      continue;
    }
    const auto node = targets_[index].pending_attempts.extract(event.attempt_id);
    SendReply(index, node.mapped().call, event.attempt_id, wire::Outcome::kNotRun, event.reason);
  }
}

void PolicySim::SubmitToTarget(size_t index, const std::string& attempt) {
  Target& target = targets_[index];
  target.pending_attempts[attempt].started = now_;
  if (target.running < target.spec.slots) {
    StartExecution(index, attempt);
  } else {
    target.queue.push_back(attempt);
  }
}

void PolicySim::StartExecution(size_t index, const std::string& attempt) {
  Target& target = targets_[index];
  ++target.running;
  // Half of the mean service time is constant, the other half is exponentially distributed.
  double factor = target.slowdown * (0.5 + 0.5 * DrawExponential(random_));
  if (now_ < target.warm_up_end) {
    factor *= kColdSlowdown;
  }
  factor *= 1 + options_.thrashing * static_cast<double>(target.queue.size());
  ScheduleAfter(Scale(target.spec.service_time, factor),
                [=, this, incarnation = target.incarnation] {
                  OnExecutionFinished(index, attempt, incarnation);
                });
}

void PolicySim::OnExecutionFinished(size_t index, const std::string& attempt, int64_t incarnation) {
  Target& target = targets_[index];
  if (target.incarnation != incarnation) {
    return;
  }
  --target.running;
  const auto node = target.pending_attempts.extract(attempt);
  const PendingAttempt& finished = node.mapped();
  const auto events =
      target.gate->Finish(now_, attempt, wire::Outcome::kRan, now_ - finished.started);
  SendReply(index, finished.call, attempt, wire::Outcome::kRan, wire::RefusalReason::kNone);
  if (!target.queue.empty()) {
    const std::string next = target.queue.front();
    target.queue.pop_front();
    StartExecution(index, next);
  }
  HandleQueueEvents(index, events);
}

void PolicySim::SendReply(size_t index,
                          size_t call,
                          const std::string& attempt,
                          wire::Outcome::type outcome,
                          wire::RefusalReason::type reason) {
  const auto position = calls_.find(call);
  if (targets_[index].lost || position == calls_.end()) {
    return;
  }
  wire::CallReply reply;
  reply.attempt_id = attempt;
  reply.outcome = outcome;
  reply.reason = reason;
  reply.load = targets_[index].gate->load();
  ScheduleAfter(Latency(position->second.caller, index), [=, this] {
    const auto pending_call = calls_.find(call);
    if (pending_call != calls_.end()) {
      ApplyActions(call, pending_call->second.outbound_call->OnReply(now_, reply));
    }
  });
}

}  // namespace limpet
