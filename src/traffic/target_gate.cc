#include "limpet/traffic/target_gate.h"

#include <algorithm>
#include <cmath>

namespace limpet {

namespace {

using Reason = wire::RefusalReason;

/// Weight of one result in the moving share of failures, which follows a change within about 15
/// requests.
constexpr double kFailureWeight = 0.07;
/// Factor on the expected service time. Service times vary around their average; with this margin
/// most admitted requests complete in time.
constexpr double kServiceTimeMargin = 1.25;
/// Service time assumed before the first sample, as a share of the time until the latency target.
/// Operators set latency targets that leave room for queueing.
constexpr double kAssumedLatencyTargetShare = 0.33;
/// Weight of one sample in the moving average of the slowdown, which follows a target that becomes
/// slow within about ten requests.
constexpr double kSlowdownWeight = 0.1;
/// Limits of one slowdown sample. Without them, a single request with an extreme service time would
/// distort the average, and thereby the choice of targets on all nodes, for seconds.
constexpr double kMinSlowdownSample = 0.1;
constexpr double kMaxSlowdownSample = 20.0;
/// Time constant of the decaying sums of slot use by priority.
constexpr Duration kSlotUseWindow = std::chrono::seconds(2);
/// Upper limit of the slot share that is attributed to more urgent requests. The predicted wait is
/// divided by one minus this share, so it would grow without bound as the share approaches 1.
constexpr double kMaxUrgentSlotShare = 0.8;
/// A queued call is refused once less than this share of its expected service time remains until
/// its deadline: it would end without a response. Below 1, because service times vary.
constexpr double kMinServiceTimeShare = 0.7;

}  // namespace

TargetGate::TargetGate(TargetGateOptions options, Random random)
    : options_(options), random_(random), deduplication_(options.deduplication_capacity) {}

std::vector<GateEvent> TargetGate::SetTarget(TimePoint now, const TargetAnnouncement* target) {
  if (target == nullptr) {
    target_.reset();
    return RefuseAll(Reason::kTargetUnavailable);
  }
  const bool same_instance = target_ && target_->IsSameInstance(*target);
  target_ = *target;
  cold_until_ = now + target->cold_remaining;
  if (!same_instance) {
    service_times_.Clear();
    slowdown_ = 0;
    failure_share_ = 0;
    consecutive_failures_ = 0;
    down_since_ = {};
    trial_key_.clear();
    return RefuseAll(Reason::kTargetUnavailable);
  }
  if (target->draining) {
    return RefuseAll(Reason::kDraining);
  }
  return Tick(now);
}

std::vector<GateEvent> TargetGate::StartDraining(TimePoint /*now*/) {
  draining_ = true;
  return RefuseAll(Reason::kDraining);
}

std::vector<GateEvent> TargetGate::SetClosed(bool closed) {
  closed_ = closed;
  return closed ? RefuseAll(Reason::kDraining) : std::vector<GateEvent>();
}

std::vector<GateEvent> TargetGate::RefuseAll(Reason::type reason) {
  std::vector<GateEvent> events;
  for (const auto& [position, call] : queue_) {
    events.push_back({call.key, false, reason});
  }
  queue_.clear();
  queued_keys_.clear();
  bodies_pending_ = 0;
  return events;
}

TargetGate::Queue::iterator TargetGate::Dequeue(Queue::iterator entry) {
  bodies_pending_ -= entry->second.body_pending ? 1 : 0;
  queued_keys_.erase(entry->second.key);
  return queue_.erase(entry);
}

TimePoint TargetGate::NextTrial() const {
  return trial_key_.empty() ? next_trial_
                            : std::max(next_trial_, trial_started_ + options_.trial_timeout);
}

void TargetGate::StartTrial(TimePoint now, const std::string& key) {
  trial_key_ = key;
  trial_started_ = now;
  next_trial_ = now + random_.Jitter(trial_backoff_, options_.trial_jitter);
  trial_backoff_ = std::min(trial_backoff_ * 2, options_.max_trial_interval);
}

void TargetGate::RecordResponse(TimePoint now, bool responded) {
  if (responded) {
    consecutive_failures_ = 0;
    down_since_ = {};
    return;
  }
  const bool was_down = IsDown();
  ++consecutive_failures_;
  if (IsDown() && !was_down) {
    down_since_ = now;
    trial_backoff_ = options_.trial_interval;
    next_trial_ = now + random_.Jitter(trial_backoff_, options_.trial_jitter);
  }
}

Reason::type TargetGate::CheckTarget(TimePoint now, const GateCall& call) const {
  if (draining_ || closed_ || (target_ && target_->draining)) {
    return Reason::kDraining;
  }
  if (!target_ || target_->service != call.service) {
    return Reason::kTargetUnavailable;
  }
  if (target_->instance != call.instance) {
    return Reason::kWrongIncarnation;
  }
  return now >= call.deadline ? Reason::kDeadlinePassed : Reason::kNone;
}

Duration TargetGate::EstimateServiceTime(TimePoint now, const GateCall& call) const {
  if (const Duration known = service_times_.Estimate(call.route); known > Duration(0)) {
    return known;
  }
  if (call.typical_service_time > Duration(0)) {
    return call.typical_service_time;
  }
  return std::max(Duration(0), Scale(call.latency_target - now, kAssumedLatencyTargetShare));
}

Duration TargetGate::PredictWait(const QueueKey& position, Duration service_time) const {
  const auto free = target_->slots - running();
  const auto ahead = std::distance(queue_.begin(), queue_.lower_bound(position));
  const auto excess = static_cast<int64_t>(ahead) + 1 - free;
  if (excess <= 0) {
    return Duration(0);
  }
  const Duration known = service_times_.average();
  const Duration average = known > Duration(0) ? known : service_time;
  const Duration wait = average * excess / std::max(1, target_->slots);
  // More urgent requests that arrive during the wait start first, so only the rest of the slot time
  // serves the calls ahead.
  return Scale(wait, 1 / (1 - UrgentSlotShare(position.priority)));
}

Duration TargetGate::PredictLateness(TimePoint now,
                                     const GateCall& call,
                                     Duration wait,
                                     Duration service_time) const {
  // A large response that is sent late would also delay the responses queued behind it on the link.
  const bool may_be_late = call.accepts_late && call.link_transmission_time == Duration(0);
  const TimePoint limit = may_be_late ? call.deadline : call.latency_target;
  const Duration time_to_response = wait + Scale(service_time, kServiceTimeMargin);
  // The link sends the responses ahead while the target processes the request.
  return now + std::max(time_to_response, call.link_queueing_delay) + call.link_transmission_time -
         limit;
}

Duration TargetGate::StartTag(const std::string& account) const {
  if (account.empty()) {
    return Duration(0);
  }
  const auto found = account_tags_.find(account);
  return found == account_tags_.end() ? virtual_time_ : std::max(virtual_time_, found->second);
}

void TargetGate::ChargeAccount(const std::string& account, Duration service_time) {
  if (!account.empty()) {
    account_tags_[account] = StartTag(account) + service_time;
  }
}

void TargetGate::RecordSlotUse(TimePoint now, int priority, Duration service_time) {
  SlotUse& use = slot_use_by_priority_[priority];
  const double windows = std::chrono::duration<double>(now - use.updated) /
                         std::chrono::duration<double>(kSlotUseWindow);
  use.slot_us = use.slot_us * std::exp(-windows) + static_cast<double>(service_time.count());
  use.updated = now;
}

void TargetGate::RecordSlowdown(Duration service_time, Duration typical) {
  if (typical <= Duration(0)) {
    return;
  }
  const double ratio =
      std::clamp(static_cast<double>(service_time.count()) / static_cast<double>(typical.count()),
                 kMinSlowdownSample, kMaxSlowdownSample);
  slowdown_ = slowdown_ == 0 ? ratio : slowdown_ + kSlowdownWeight * (ratio - slowdown_);
}

double TargetGate::UrgentSlotShare(int priority) const {
  double urgent_us = 0;
  for (const auto& [other, use] : slot_use_by_priority_) {
    urgent_us += other < priority ? use.slot_us : 0;
  }
  const double capacity_us =
      static_cast<double>(kSlotUseWindow.count()) * std::max(1, target_->slots);
  return std::min(kMaxUrgentSlotShare, urgent_us / capacity_us);
}

GateDecision TargetGate::Admit(TimePoint now, const GateCall& call) {
  if (running_.contains(call.key) || queued_keys_.contains(call.key)) {
    return {.verdict = GateVerdict::kAttach};
  }
  deduplication_.Expire(now);
  const bool may_have_run = call.may_be_forgotten ||
                            deduplication_.Find(call.request_id) == DeduplicationState::kAccepted;
  if (!call.idempotent && may_have_run) {
    return {.outcome = wire::Outcome::kUnknown, .reason = Reason::kDuplicate};
  }
  if (const auto reason = CheckTarget(now, call); reason != Reason::kNone) {
    return {.reason = reason};
  }
  if (IsDown() && now < NextTrial()) {
    return {.reason = Reason::kTargetUnavailable, .retry_after = NextTrial() - now};
  }
  if (!call.idempotent && !deduplication_.HasRoom(1)) {
    return {.reason = Reason::kOverloaded};
  }
  const Duration service_time = EstimateServiceTime(now, call);
  const QueueKey position{call.priority, StartTag(call.account), call.latency_target,
                          next_sequence_++};
  const Duration wait = PredictWait(position, service_time);
  const Duration lateness =
      PredictLateness(now, call, std::max(wait, call.body_delay), service_time);
  const bool link_too_busy = call.link_transmission_time > Duration(0) && lateness > Duration(0);
  // Calls whose bodies are still to be received do not need their slots yet.
  const bool slot_is_free = running() < target_->slots && !HasStartable();
  if (slot_is_free && !call.body_pending && !link_too_busy) {
    // No call waits, so no account has a backlog.
    account_tags_.clear();
    virtual_time_ = Duration(0);
    if (IsDown()) {
      StartTrial(now, call.key);
    }
    Start(now, call);
    return {.verdict = GateVerdict::kStart};
  }
  const bool must_not_wait = call.free_slot_only && (wait > Duration(0) || !call.body_pending);
  if (must_not_wait || lateness > Duration(0) || queue_.size() >= options_.queue_capacity) {
    return {.reason = Reason::kOverloaded, .retry_after = std::max(wait, lateness)};
  }
  ChargeAccount(call.account, service_time);
  queue_.emplace(position, call);
  queued_keys_.emplace(call.key, position);
  bodies_pending_ += call.body_pending ? 1 : 0;
  return {.verdict = GateVerdict::kQueue};
}

void TargetGate::Start(TimePoint now, const GateCall& call) {
  running_.emplace(call.key, Running{call.route, call.priority, now, call.typical_service_time});
  if (!call.idempotent) {
    deduplication_.Record(call.deadline + options_.deduplication_margin, call.request_id,
                          DeduplicationState::kAccepted);
  }
}

void TargetGate::RecordResult(TimePoint now, const Running& running, TargetResult result) {
  if (result == TargetResult::kCancelled || result == TargetResult::kConnectionClosed) {
    // The next request uses a new connection, and shows whether the target responds.
    return;
  }
  const bool completed = result == TargetResult::kSucceeded || result == TargetResult::kFailed;
  if (completed || result == TargetResult::kTimedOut) {
    const Duration service_time = now - running.started;
    service_times_.Record(now, running.route, service_time);
    RecordSlotUse(now, running.priority, service_time);
  }
  if (result == TargetResult::kSucceeded || result == TargetResult::kTimedOut) {
    // Failed requests are left out: fast failures would make the target look fast.
    RecordSlowdown(now - running.started, running.typical_service_time);
  }
  const bool succeeded = result == TargetResult::kSucceeded;
  failure_share_ += kFailureWeight * ((succeeded ? 0.0 : 1.0) - failure_share_);
  const bool responded = completed || result == TargetResult::kNotExecuted;
  RecordResponse(now, responded);
}

std::vector<GateEvent> TargetGate::Finish(TimePoint now,
                                          const std::string& key,
                                          TargetResult result) {
  const auto found = running_.find(key);
  if (found == running_.end()) {
    return {};
  }
  const Running running = found->second;
  running_.erase(found);
  if (key == trial_key_) {
    trial_key_.clear();
  }
  RecordResult(now, running, result);
  if (on_sample_) {
    on_sample_({running.route, result, now - running.started, running.typical_service_time,
                now < cold_until_});
  }
  return Tick(now);
}

bool TargetGate::RemoveQueued(const std::string& key) {
  const auto found = queued_keys_.find(key);
  if (found == queued_keys_.end()) {
    return false;
  }
  Dequeue(queue_.find(found->second));
  return true;
}

std::vector<GateEvent> TargetGate::OnBody(TimePoint now, const std::string& key) {
  const auto found = queued_keys_.find(key);
  if (found == queued_keys_.end()) {
    return {};
  }
  GateCall& call = queue_.at(found->second);
  bodies_pending_ -= call.body_pending ? 1 : 0;
  call.body_pending = false;
  return Tick(now);
}

std::vector<GateEvent> TargetGate::Tick(TimePoint now) {
  std::vector<GateEvent> events;
  for (auto it = queue_.begin(); it != queue_.end();) {
    const GateCall& call = it->second;
    const Duration needed = Scale(EstimateServiceTime(now, call), kMinServiceTimeShare);
    if (now + needed >= call.deadline) {
      events.push_back({call.key, false, Reason::kQueueTimeout});
      it = Dequeue(it);
    } else {
      ++it;
    }
  }
  StartQueued(now, events);
  return events;
}

void TargetGate::StartQueued(TimePoint now, std::vector<GateEvent>& events) {
  while (target_ && HasStartable() && running() < target_->slots) {
    const auto first =
        std::ranges::find_if(queue_, [](const auto& entry) { return !entry.second.body_pending; });
    const GateCall call = first->second;
    virtual_time_ = std::max(virtual_time_, first->first.start_tag);
    Dequeue(first);
    Start(now, call);
    events.push_back({call.key, true, Reason::kNone});
  }
}

wire::TargetStatus TargetGate::Status(TimePoint now) const {
  wire::TargetStatus status;
  if (!target_) {
    status.state = wire::TargetState::kDown;
    return status;
  }
  status.instance = target_->instance;
  status.service_name = target_->service;
  status.software = target_->software;
  status.slots = target_->slots;
  const bool draining = draining_ || target_->draining;
  status.state = draining   ? wire::TargetState::kDraining
                 : IsDown() ? wire::TargetState::kDown
                            : wire::TargetState::kUp;
  if (status.state == wire::TargetState::kDown) {
    const Duration until_trial = std::max(Duration(0), NextTrial() - now);
    status.trial_due = until_trial == Duration(0);
    status.next_trial_ms =
        static_cast<int32_t>(std::chrono::ceil<std::chrono::milliseconds>(until_trial).count());
  }
  const Duration cold = std::max(Duration(0), cold_until_ - now);
  status.cold_ms = static_cast<int32_t>(cold.count() / 1000);
  status.load.in_flight = running();
  status.load.limit = target_->slots;
  status.load.queued = static_cast<int32_t>(queue_.size());
  if (service_times_.IsFresh(now)) {
    status.load.service_time_us = static_cast<int32_t>(service_times_.average().count());
    status.slowdown_permille = static_cast<int32_t>(slowdown_ * 1000);
  }
  status.failure_permille = static_cast<int32_t>(failure_share_ * 1000);
  return status;
}

}  // namespace limpet
