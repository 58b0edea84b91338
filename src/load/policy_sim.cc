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
/// A new connection, which a non-idempotent request always needs.
constexpr Duration kConnect = milliseconds(1);
constexpr Duration kFlagDelay = seconds(5);
constexpr Duration kViewDelay = seconds(1);
constexpr Duration kRestartTime = seconds(3);
constexpr Duration kColdTime = seconds(5);
constexpr double kColdSlowdown = 5;
constexpr int kNoLimit = 1000000;

double Exponential(Random& random) {
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

void PolicySim::At(Duration delay, std::function<void()> run) {
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
  Schedule(kStart + at + kFlagDelay, [=, this] {
    for (Target& target : targets_) {
      target.reachable = target.reachable && !target.lost;
    }
    PublishView();
  });
}

void PolicySim::Restart(Duration at, size_t index) {
  Schedule(kStart + at, [=, this] {
    Target& target = targets_[index];
    target.away = true;
    target.work.clear();
    target.internal_queue.clear();
    target.busy = 0;
    ++target.incarnation;
    At(kViewDelay, [this] { PublishView(); });
    At(kRestartTime, [=, this] {
      Target& back = targets_[index];
      back.away = false;
      back.gate = MakeGate(back);
      back.warm_at = now_ + kColdTime;
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
    if (!target.away) {
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
    if (!targets_[i].away) {
      DoEvents(i, targets_[i].gate->Expire(now_));
    }
  }
  At(kTick, [this] { Tick(); });
}

void PolicySim::ScheduleArrival(int64_t epoch) {
  if (rate_ <= 0) {
    return;
  }
  At(Scale(seconds(1), Exponential(arrivals_) / rate_), [=, this] {
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
  call.machine = std::make_unique<OutboundCall>(options, *callers_[caller].balancer,
                                                *callers_[caller].retry_policy, random_);
  const size_t id = next_call_++;
  const auto position = calls_.emplace(id, std::move(call)).first;
  if (SimWindow* window = WindowOf(now_)) {
    ++window->offered;
  }
  Do(id, position->second.machine->Start(now_));
}

SimWindow* PolicySim::WindowOf(TimePoint started) {
  for (SimWindow& window : windows_) {
    if (started >= kStart + window.from && started < kStart + window.to) {
      return &window;
    }
  }
  return nullptr;
}

void PolicySim::Do(size_t call, const CallActions& actions) {
  // A cancelled attempt is not removed: a target that has started work usually completes it.
  if (actions.send) {
    const SendAttempt send = *actions.send;
    At(send.delay, [=, this] { Transmit(call, send); });
  }
  if (actions.finish) {
    Close(call, *actions.finish);
  }
}

void PolicySim::Close(size_t call, const CallResult& result) {
  const auto position = calls_.find(call);
  const TimePoint started = position->second.started;
  if (SimWindow* window = WindowOf(started)) {
    window->attempts += result.attempts;
    switch (result.outcome) {
      case wire::Outcome::kRan:
        ++window->answered;
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
  At(send.timeout, [=, this] {
    const auto open = calls_.find(call);
    if (open != calls_.end()) {
      Do(call, open->second.machine->OnTimeout(now_, send.attempt_id));
    }
  });
  wire::CallRequest request;
  request.attempt_id = send.attempt_id;
  request.request_id = entry.machine->request_id();
  request.target_incarnation = send.endpoint.incarnation;
  request.idempotent = entry.idempotent;
  request.deadline_ms = send.deadline_ms;
  request.caller = callers_[entry.caller].name;
  const Duration delay =
      Latency(entry.caller, target) + (entry.idempotent ? Duration(0) : kConnect);
  At(delay, [=, this] { Deliver(target, call, request); });
}

void PolicySim::Deliver(size_t index, size_t call, const wire::CallRequest& request) {
  Target& target = targets_[index];
  const auto open = calls_.find(call);
  if (target.lost || open == calls_.end()) {
    return;
  }
  if (target.away) {
    Do(call, open->second.machine->OnConnectionFailure(now_, request.attempt_id, false));
    return;
  }
  const AdmissionDecision decision = target.gate->Admit(now_, request);
  if (decision.admission == Admission::kRefused) {
    Reply(index, call, request.attempt_id, decision.outcome, decision.reason);
  } else {
    target.work[request.attempt_id] = {request, call, now_};
  }
  if (decision.admission == Admission::kAdmitted) {
    ReachTarget(index, request.attempt_id);
  }
  DoEvents(index, decision.events);
}

void PolicySim::DoEvents(size_t index, const std::vector<QueueEvent>& events) {
  for (const QueueEvent& event : events) {
    if (event.starts) {
      ReachTarget(index, event.attempt_id);
      continue;
    }
    const auto node = targets_[index].work.extract(event.attempt_id);
    Reply(index, node.mapped().call, event.attempt_id, wire::Outcome::kNotRun, event.reason);
  }
}

void PolicySim::ReachTarget(size_t index, const std::string& attempt) {
  Target& target = targets_[index];
  target.work[attempt].started = now_;
  if (target.busy < target.spec.slots) {
    Serve(index, attempt);
  } else {
    target.internal_queue.push_back(attempt);
  }
}

void PolicySim::Serve(size_t index, const std::string& attempt) {
  Target& target = targets_[index];
  ++target.busy;
  // Half of the service time is constant, half is exponential.
  double factor = target.slowdown * (0.5 + 0.5 * Exponential(random_));
  if (now_ < target.warm_at) {
    factor *= kColdSlowdown;
  }
  factor *= 1 + options_.thrashing * static_cast<double>(target.internal_queue.size());
  At(Scale(target.spec.service_time, factor),
     [=, this, incarnation = target.incarnation] { Served(index, attempt, incarnation); });
}

void PolicySim::Served(size_t index, const std::string& attempt, int64_t incarnation) {
  Target& target = targets_[index];
  if (target.incarnation != incarnation) {
    return;
  }
  --target.busy;
  const auto node = target.work.extract(attempt);
  const Work& work = node.mapped();
  const auto events = target.gate->Finish(now_, attempt, wire::Outcome::kRan, now_ - work.started);
  Reply(index, work.call, attempt, wire::Outcome::kRan, wire::RefusalReason::kNone);
  if (!target.internal_queue.empty()) {
    const std::string next = target.internal_queue.front();
    target.internal_queue.pop_front();
    Serve(index, next);
  }
  DoEvents(index, events);
}

void PolicySim::Reply(size_t index,
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
  At(Latency(position->second.caller, index), [=, this] {
    const auto open = calls_.find(call);
    if (open != calls_.end()) {
      Do(call, open->second.machine->OnReply(now_, reply));
    }
  });
}

}  // namespace limpet
