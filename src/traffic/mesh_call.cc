#include "limpet/traffic/mesh_call.h"

#include <algorithm>
#include <utility>

namespace limpet {

namespace {

using Reason = wire::RefusalReason;

/// Nodes that are asked for a free slot before the request may queue. Each costs a round trip
/// between nodes, which is far shorter than a place in a queue.
constexpr std::size_t kMaxImmediateAttempts = 2;
/// Nodes that refuse to queue the request before it is refused to its caller. The queues were
/// chosen by present loads, so a third one rarely takes what two refused.
constexpr int kMaxRefusals = 2;
/// Refusals that only show an outdated view (draining, replaced target) are cheap and end soon.
constexpr int kMaxAttemptsSent = 8;
/// An attempt that takes this many times as long as usual has probably lost its response.
constexpr double kHedgeFactor = 2.5;
constexpr Duration kHedgeMargin = std::chrono::milliseconds(40);
/// Below this a pause of a node looks like a lost response.
constexpr Duration kMinHedgeDelay = std::chrono::milliseconds(100);
/// A second attempt needs at least this many usual times to be worth sending.
constexpr double kRoomForRetry = 1.2;
/// Return time without an estimate: a few service times, so that slots have turned over.
constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(150);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(30);
constexpr Duration kMaxRetryAfter = std::chrono::milliseconds(1000);

}  // namespace

MeshCall::MeshCall(MeshCallOptions options, TargetPlacement& placement, SharedRetryBudget& budget)
    : options_(std::move(options)), placement_(placement), budget_(budget) {}

MeshCall::~MeshCall() {
  CloseAll();
}

CallStep MeshCall::Start(TimePoint now) {
  budget_.OnRequest(now, options_.service);
  return SendNext(now, false);
}

std::optional<PlacedTarget> MeshCall::Choose(TimePoint now, bool free_slot_only) const {
  PlacementRequest request{options_.service, options_.expected_response_bytes,
                           std::max(Duration(0), options_.latency_target - now)};
  if (options_.typical_service_time > Duration(0)) {
    request.typical_service_time = options_.typical_service_time;
  }
  if (!free_slot_only) {
    return placement_.Choose(now, request, excluded_);
  }
  std::vector<std::string> passed = excluded_;
  passed.insert(passed.end(), full_.begin(), full_.end());
  return placement_.Choose(now, request, passed);
}

CallStep MeshCall::SendNext(TimePoint now, bool hedge) {
  bool free_slot_only = hedge || full_.size() < kMaxImmediateAttempts;
  auto target = attempts_sent_ >= kMaxAttemptsSent ? std::nullopt : Choose(now, free_slot_only);
  const bool may_queue = free_slot_only && !hedge && attempts_sent_ < kMaxAttemptsSent;
  if (may_queue && (!target || (!target->is_local && !full_.empty()))) {
    // A place in a queue nearby may be better than a free slot in another data centre.
    const auto queue = Choose(now, false);
    if (!target || (queue && queue->is_local)) {
      free_slot_only = false;
      target = queue;
    }
  }
  if (!target) {
    return FinishIfNoneOpen(refusals_ > 0 ? Reason::kOverloaded : Reason::kNoEndpoint);
  }
  ++attempts_sent_;
  open_.push_back({++last_attempt_, target->node, free_slot_only, false});
  placement_.OnSend(target->node);
  CallStep step;
  step.send = AttemptToSend{last_attempt_, *target, hedge, free_slot_only};
  step.hedge_delay = hedge ? std::nullopt : HedgeDelay(now);
  return step;
}

std::optional<Duration> MeshCall::HedgeDelay(TimePoint now) const {
  const Duration typical = options_.typical_latency;
  const bool more_allowed =
      attempts_reached_target_ + static_cast<int>(open_.size()) < options_.max_attempts;
  if (!options_.idempotent || typical == Duration(0) || !more_allowed) {
    return std::nullopt;
  }
  const Duration delay = std::max(kMinHedgeDelay, Scale(typical, kHedgeFactor) + kHedgeMargin);
  const Duration left = options_.deadline - now;
  if (left - delay < Scale(typical, kRoomForRetry)) {
    return std::nullopt;
  }
  return delay;
}

MeshCall::OpenAttempt MeshCall::Close(int attempt) {
  const auto found = std::ranges::find(open_, attempt, &OpenAttempt::attempt);
  if (found == open_.end()) {
    return {};
  }
  OpenAttempt closed = std::move(*found);
  open_.erase(found);
  placement_.OnEnd(closed.node);
  return closed;
}

void MeshCall::CloseAll() {
  while (!open_.empty()) {
    Close(open_.back().attempt);
  }
}

CallStep MeshCall::Finish(CompletionKind kind, Reason::type reason) {
  CloseAll();
  CallStep step;
  step.finish = CallCompletion{kind, reason, Duration(0)};
  if (kind == CompletionKind::kNotRun) {
    const Duration wanted = retry_after_ == Duration(0) ? kDefaultRetryAfter : retry_after_;
    step.finish->retry_after = std::clamp(wanted, kMinRetryAfter, kMaxRetryAfter);
  }
  return step;
}

CallStep MeshCall::FinishIfNoneOpen(Reason::type reason) {
  if (!open_.empty()) {
    return {};
  }
  if (has_saved_reply_) {
    return Finish(CompletionKind::kForwardSaved, Reason::kNone);
  }
  return Finish(may_have_run_ ? CompletionKind::kUnknown : CompletionKind::kNotRun, reason);
}

CallStep MeshCall::OnReply(TimePoint now, int attempt, const wire::LinkReply& reply) {
  const OpenAttempt closed = Close(attempt);
  if (reply.reached_target) {
    ++attempts_reached_target_;
  }
  if (reply.outcome == wire::Outcome::kNotRun) {
    return OnRefused(now, closed, reply);
  }
  excluded_.push_back(closed.node);
  if (reply.outcome == wire::Outcome::kRan && reply.http_status < 500) {
    return Finish(CompletionKind::kForward, Reason::kNone);
  }
  return OnFailedRun(now, reply.reason, reply.outcome == wire::Outcome::kRan);
}

CallStep MeshCall::OnRefused(TimePoint now,
                             const OpenAttempt& attempt,
                             const wire::LinkReply& reply) {
  const Duration retry_after = std::chrono::milliseconds(reply.retry_after_ms);
  if (retry_after > Duration(0)) {
    retry_after_ = retry_after_ == Duration(0) ? retry_after : std::min(retry_after_, retry_after);
  }
  const bool overloaded =
      reply.reason == Reason::kOverloaded || reply.reason == Reason::kQueueTimeout;
  if (overloaded && attempt.free_slot_only) {
    full_.push_back(attempt.node);
  } else {
    excluded_.push_back(attempt.node);
    refusals_ += overloaded ? 1 : 0;
  }
  const bool spent = reply.reached_target && !TrySpendRetry(now);
  if (refusals_ >= kMaxRefusals || spent || now >= options_.deadline || !open_.empty()) {
    return FinishIfNoneOpen(reply.reason);
  }
  return SendNext(now, false);
}

bool MeshCall::TrySpendRetry(TimePoint now) {
  return attempts_reached_target_ + static_cast<int>(open_.size()) < options_.max_attempts &&
         now < options_.deadline && budget_.TrySpend(now, options_.service);
}

CallStep MeshCall::OnFailedRun(TimePoint now, Reason::type reason, bool has_reply) {
  may_have_run_ = true;
  const bool time_left = options_.deadline - now > options_.typical_latency;
  if (options_.idempotent && time_left && open_.empty() && TrySpendRetry(now)) {
    has_saved_reply_ = has_saved_reply_ || has_reply;
    CallStep step = SendNext(now, false);
    step.save_reply = has_reply;
    return step;
  }
  if (has_reply && open_.empty()) {
    return Finish(CompletionKind::kForward, Reason::kNone);
  }
  has_saved_reply_ = has_saved_reply_ || has_reply;
  CallStep step = FinishIfNoneOpen(reason);
  step.save_reply = has_reply;
  return step;
}

CallStep MeshCall::OnNotSent(TimePoint now, int attempt) {
  excluded_.push_back(Close(attempt).node);
  return open_.empty() ? SendNext(now, false) : CallStep{};
}

CallStep MeshCall::OnLost(TimePoint now, int attempt) {
  excluded_.push_back(Close(attempt).node);
  ++attempts_reached_target_;
  return OnFailedRun(now, Reason::kConnectionLost, false);
}

void MeshCall::OnTransfer(int attempt) {
  const auto found = std::ranges::find(open_, attempt, &OpenAttempt::attempt);
  if (found != open_.end()) {
    found->transferring = true;
  }
}

CallStep MeshCall::OnHedgeTimer(TimePoint now) {
  // A second copy of a response that is on its way would only take more of the network.
  if (!options_.idempotent || open_.size() != 1 || open_.front().transferring) {
    return {};
  }
  std::vector<std::string> passed = excluded_;
  passed.push_back(open_.front().node);
  // Without a second target the open attempt is the only chance.
  if (!placement_.HasAlternative(options_.service, passed) || !TrySpendRetry(now)) {
    return {};
  }
  excluded_ = std::move(passed);
  return SendNext(now, true);
}

CallStep MeshCall::OnDeadline(TimePoint /*now*/) {
  return Finish(has_saved_reply_ ? CompletionKind::kForwardSaved : CompletionKind::kTimedOut,
                Reason::kTargetTimeout);
}

void MeshCall::OnCallerDisconnected() {
  CloseAll();
}

}  // namespace limpet
