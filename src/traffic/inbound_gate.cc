#include "limpet/traffic/inbound_gate.h"

#include <algorithm>
#include <utility>

#include "limpet/core/fault.h"

namespace limpet {
namespace {

using Reason = wire::RefusalReason;

constexpr double kServiceTimeWeight = 0.1;

}  // namespace

InboundGate::InboundGate(GateOptions options,
                         int64_t incarnation,
                         std::unique_ptr<LimitStrategy> limit)
    : options_(options),
      incarnation_(incarnation),
      limit_(std::move(limit)),
      deduplication_(options.deduplication_capacity),
      queue_(options.queue_length) {}

void InboundGate::RaiseIncarnation(int64_t incarnation) {
  incarnation_ = std::max(incarnation_, incarnation);
}

AdmissionDecision InboundGate::Admit(TimePoint now, const wire::CallRequest& request) {
  std::vector<QueueEvent> events = Expire(now);
  AdmissionDecision decision;
  if (!IsDuplicate(request, decision)) {
    const Reason::type reason = CheckRequest(request);
    decision = reason == Reason::kNone ? StartOrQueue(now, request) : Refuse(now, request, reason);
  }
  decision.events.insert(decision.events.begin(), events.begin(), events.end());
  return decision;
}

bool InboundGate::IsPermanentRefusal(Reason::type reason) const {
  return (reason == Reason::kDraining && draining_) || reason == Reason::kWrongIncarnation ||
         reason == Reason::kDeadlinePassed;
}

bool InboundGate::IsDuplicate(const wire::CallRequest& request, AdmissionDecision& decision) const {
  if (IsFaultActive(Fault::kSkipDeduplication)) {
    return false;
  }
  const DeduplicationState attempt = deduplication_.Find(request.attempt_id);
  const bool is_attempt_accepted = attempt == DeduplicationState::kAccepted ||
                                   running_.contains(request.attempt_id) ||
                                   queued_.contains(request.attempt_id);
  const bool is_request_accepted = !request.idempotent && deduplication_.Find(request.request_id) ==
                                                              DeduplicationState::kAccepted;
  decision.admission = Admission::kRefused;
  decision.reason = Reason::kDuplicate;
  decision.outcome =
      is_attempt_accepted || is_request_accepted ? wire::Outcome::kUnknown : wire::Outcome::kNotRun;
  return is_attempt_accepted || is_request_accepted || attempt == DeduplicationState::kRefused;
}

Reason::type InboundGate::CheckRequest(const wire::CallRequest& request) const {
  if (request.target_incarnation != incarnation_ && !IsFaultActive(Fault::kSkipIncarnationCheck)) {
    return Reason::kWrongIncarnation;
  }
  if ((draining_ || target_draining_) && !IsFaultActive(Fault::kAdmitWhileDraining)) {
    return Reason::kDraining;
  }
  return request.deadline_ms <= 0 ? Reason::kDeadlinePassed : Reason::kNone;
}

AdmissionDecision InboundGate::Refuse(TimePoint now,
                                      const wire::CallRequest& request,
                                      Reason::type reason) {
  AdmissionDecision decision;
  decision.reason = reason;
  const TimePoint expiry =
      now + std::chrono::milliseconds(request.deadline_ms) + options_.deduplication_margin;
  // Unless the refusal is recorded, a later copy of the attempt could be admitted and run, and the
  // reported `not_run` would be wrong.
  const bool can_report_not_run =
      IsPermanentRefusal(reason) ||
      deduplication_.Record(expiry, request.attempt_id, DeduplicationState::kRefused);
  decision.outcome = can_report_not_run ? wire::Outcome::kNotRun : wire::Outcome::kUnknown;
  return decision;
}

AdmissionDecision InboundGate::StartOrQueue(TimePoint now, const wire::CallRequest& request) {
  constexpr size_t kIdsPerAttempt = 2;
  if (!deduplication_.HasRoom(kIdsPerAttempt)) {
    return Refuse(now, request, Reason::kOverloaded);
  }
  Attempt attempt;
  attempt.request_id = request.request_id;
  attempt.idempotent = request.idempotent;
  attempt.deadline = now + std::chrono::milliseconds(request.deadline_ms);
  if (queue_.empty() && in_flight() < limit_->limit()) {
    Record(request.attempt_id, attempt, DeduplicationState::kAccepted);
    StartRunning(now, request.attempt_id, std::move(attempt));
    AdmissionDecision decision;
    decision.admission = Admission::kAdmitted;
    return decision;
  }
  return Enqueue(now, request, std::move(attempt));
}

AdmissionDecision InboundGate::Enqueue(TimePoint now,
                                       const wire::CallRequest& request,
                                       Attempt attempt) {
  const Duration service_time(static_cast<Duration::rep>(service_time_us_));
  QueuedAttempt queued;
  queued.attempt_id = request.attempt_id;
  queued.caller = request.caller;
  // An attempt that started after this time would typically miss its deadline.
  queued.expiry = std::min(now + options_.queue_wait, attempt.deadline - service_time);
  if (queued.expiry <= now) {
    return Refuse(now, request, Reason::kOverloaded);
  }
  std::optional<QueuedAttempt> evicted;
  const FairQueue::PushResult result = queue_.Push(std::move(queued), evicted);
  if (result != FairQueue::PushResult::kQueued) {
    return Refuse(
        now, request,
        result == FairQueue::PushResult::kFull ? Reason::kOverloaded : Reason::kCallerShare);
  }
  AdmissionDecision decision;
  decision.admission = Admission::kQueued;
  Record(request.attempt_id, attempt, DeduplicationState::kAccepted);
  queued_.emplace(request.attempt_id, std::move(attempt));
  if (evicted) {
    RefuseQueued(*evicted, Reason::kCallerShare, decision.events);
  }
  return decision;
}

std::vector<QueueEvent> InboundGate::Finish(TimePoint now,
                                            const std::string& attempt_id,
                                            wire::Outcome::type outcome,
                                            Duration service_time) {
  const auto position = running_.find(attempt_id);
  if (position == running_.end()) {
    return Expire(now);
  }
  const Attempt attempt = std::move(position->second);
  LimitSample sample;
  sample.service_time = service_time;
  sample.in_flight = in_flight();
  sample.missed_deadline = now > attempt.deadline;
  running_.erase(position);
  limit_->OnInFlight(now, in_flight());
  if (outcome == wire::Outcome::kNotRun) {
    Record(attempt_id, attempt, DeduplicationState::kRefused);
  } else {
    const auto sample_us = static_cast<double>(service_time.count());
    service_time_us_ += kServiceTimeWeight * (sample_us - service_time_us_);
    limit_->OnFinish(now, sample);
  }
  return Expire(now);
}

CancelResult InboundGate::Cancel(TimePoint now, const std::string& attempt_id) {
  if (running_.contains(attempt_id)) {
    return CancelResult::kRunning;
  }
  const auto position = queued_.find(attempt_id);
  if (position == queued_.end()) {
    if (deduplication_.Find(attempt_id) == DeduplicationState::kUnseen) {
      // The cancellation may have overtaken its request; the request is then refused when it is
      // received.
      deduplication_.Record(now + options_.deduplication_margin, attempt_id,
                            DeduplicationState::kRefused);
    }
    return CancelResult::kUnknownAttempt;
  }
  queue_.Remove(attempt_id);
  Record(attempt_id, position->second, DeduplicationState::kRefused);
  queued_.erase(position);
  return CancelResult::kRemoved;
}

std::vector<QueueEvent> InboundGate::StartDraining(TimePoint /*now*/) {
  draining_ = true;
  std::vector<QueueEvent> events;
  for (const QueuedAttempt& queued : queue_.TakeAll()) {
    RefuseQueued(queued, Reason::kDraining, events);
  }
  return events;
}

std::vector<QueueEvent> InboundGate::Expire(TimePoint now) {
  deduplication_.Expire(now);
  std::vector<QueueEvent> events;
  for (const QueuedAttempt& queued : queue_.TakeExpired(now)) {
    RefuseQueued(queued, Reason::kQueueTimeout, events);
  }
  StartQueued(now, events);
  return events;
}

void InboundGate::StartQueued(TimePoint now, std::vector<QueueEvent>& events) {
  while (in_flight() < limit_->limit()) {
    const std::optional<QueuedAttempt> queued = queue_.Pop();
    if (!queued) {
      return;
    }
    auto entry = queued_.extract(queued->attempt_id);
    StartRunning(now, queued->attempt_id, std::move(entry.mapped()));
    events.push_back({queued->attempt_id, true, Reason::kNone});
  }
}

void InboundGate::RefuseQueued(const QueuedAttempt& queued,
                               Reason::type reason,
                               std::vector<QueueEvent>& events) {
  auto entry = queued_.extract(queued.attempt_id);
  Record(queued.attempt_id, entry.mapped(), DeduplicationState::kRefused);
  events.push_back({queued.attempt_id, false, reason});
}

void InboundGate::StartRunning(TimePoint now, const std::string& attempt_id, Attempt attempt) {
  running_.emplace(attempt_id, std::move(attempt));
  limit_->OnInFlight(now, in_flight());
}

void InboundGate::Record(const std::string& attempt_id,
                         const Attempt& attempt,
                         DeduplicationState state) {
  const TimePoint expiry = attempt.deadline + options_.deduplication_margin;
  deduplication_.Record(expiry, attempt_id, state);
  // An idempotent request may run again in another attempt.
  if (!attempt.idempotent) {
    deduplication_.Record(expiry, attempt.request_id, state);
  }
}

wire::LoadReport InboundGate::load() const {
  wire::LoadReport report;
  report.in_flight = in_flight();
  report.limit = limit_->limit();
  report.queued = static_cast<int32_t>(queue_.size());
  report.service_time_us = static_cast<int32_t>(service_time_us_);
  return report;
}

}  // namespace limpet
