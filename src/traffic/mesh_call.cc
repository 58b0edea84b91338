#include "limpet/traffic/mesh_call.h"

#include <algorithm>
#include <utility>

#include "limpet/core/fault.h"

namespace limpet {

namespace {

using Reason = wire::RefusalReason;

/// Immediate-only attempts before the request may be queued. Each costs a round trip between nodes,
/// which is far shorter than the wait in a queue.
constexpr std::size_t kMaxImmediateAttempts = 2;
/// Number of nodes that may refuse to queue the request before the call is refused. These nodes are
/// chosen by their current load, so a third rarely accepts what two have refused.
constexpr int kMaxQueueRefusals = 2;
/// Limit on all attempts, refused ones included. Refusals that are caused only by an outdated view
/// (target draining or replaced) are cheap and stop once the view is up to date.
constexpr int kMaxAttemptsSent = 8;
/// The response of an attempt that takes this many times the typical latency is probably lost.
constexpr double kHedgeDelayFactor = 2.5;
constexpr Duration kHedgeDelayMargin = std::chrono::milliseconds(40);
/// With a shorter delay, a pause of a node would be taken for a lost response.
constexpr Duration kMinHedgeDelay = std::chrono::milliseconds(100);
/// A hedge is worth sending only if at least this many typical latencies remain before the
/// deadline.
constexpr double kMinTimeForHedgeFactor = 1.2;
/// Retry time if no node gave an estimate: a few service times, after which slots have become free.
constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(150);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(30);
constexpr Duration kMaxRetryAfter = std::chrono::milliseconds(1000);
/// A request may be the trial of a target that is down if this many typical service times remain
/// until its latency target: a trial without a response costs some of them.
constexpr int kMinServiceTimesForTrial = 5;

}  // namespace

MeshCall::MeshCall(MeshCallOptions options, TargetPlacement& placement, SharedRetryBudget& budget)
    : options_(std::move(options)),
      placement_(placement),
      budget_(budget),
      version_draw_(placement.DrawVersion()) {}

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
  request.request_bytes = options_.request_bytes;
  request.version_draw = version_draw_;
  if (options_.typical_service_time > Duration(0)) {
    request.typical_service_time = options_.typical_service_time;
  }
  const bool has_another_attempt =
      attempts_reached_target_ + static_cast<int>(open_attempts_.size()) + 1 <
      options_.max_attempts;
  request.may_be_trial =
      options_.idempotent && has_another_attempt && open_attempts_.empty() &&
      request.remaining_latency > request.typical_service_time * kMinServiceTimesForTrial;
  if (!free_slot_only) {
    return placement_.Choose(now, request, excluded_nodes_);
  }
  std::vector<std::string> skipped = excluded_nodes_;
  skipped.insert(skipped.end(), nodes_without_free_slot_.begin(), nodes_without_free_slot_.end());
  return placement_.Choose(now, request, skipped);
}

CallStep MeshCall::SendNext(TimePoint now, bool hedge) {
  if (sending_stopped_) {
    return FinishIfNoneOpen(Reason::kCancelled);
  }
  bool free_slot_only = hedge || nodes_without_free_slot_.size() < kMaxImmediateAttempts;
  auto target = attempts_sent_ >= kMaxAttemptsSent ? std::nullopt : Choose(now, free_slot_only);
  const bool may_queue = free_slot_only && !hedge && attempts_sent_ < kMaxAttemptsSent;
  if (may_queue && (!target || (!target->is_local && !nodes_without_free_slot_.empty()))) {
    // A queue in the local data centre may be better than a free slot in another one.
    const auto queue_target = Choose(now, false);
    if (!target || (queue_target && queue_target->is_local)) {
      free_slot_only = false;
      target = queue_target;
    }
  }
  if (!target && !nodes_with_lost_response_.empty()) {
    for (const std::string& node : std::exchange(nodes_with_lost_response_, {})) {
      std::erase(excluded_nodes_, node);
    }
    return SendNext(now, hedge);
  }
  if (!target) {
    if (retry_after_ == Duration(0)) {
      retry_after_ = placement_.UntilNextTrial(now, options_.service).value_or(Duration(0));
    }
    return FinishIfNoneOpen(queue_refusals_ > 0 ? Reason::kOverloaded : Reason::kNoEndpoint);
  }
  ++attempts_sent_;
  open_attempts_.push_back({++last_attempt_id_, target->node, free_slot_only, false});
  placement_.OnAttemptStart(target->node);
  CallStep step;
  step.send = AttemptToSend{last_attempt_id_, *target, hedge, free_slot_only};
  step.hedge_delay = hedge ? std::nullopt : HedgeDelay(now);
  return step;
}

std::optional<Duration> MeshCall::HedgeDelay(TimePoint now) const {
  const Duration typical = options_.typical_latency;
  const bool more_allowed =
      attempts_reached_target_ + static_cast<int>(open_attempts_.size()) < options_.max_attempts;
  if (!options_.idempotent || typical == Duration(0) || !more_allowed) {
    return std::nullopt;
  }
  const Duration delay =
      std::max(kMinHedgeDelay, Scale(typical, kHedgeDelayFactor) + kHedgeDelayMargin);
  const Duration remaining = options_.deadline - now;
  if (remaining - delay < Scale(typical, kMinTimeForHedgeFactor)) {
    return std::nullopt;
  }
  return delay;
}

MeshCall::OpenAttempt MeshCall::Close(int attempt) {
  const auto found = std::ranges::find(open_attempts_, attempt, &OpenAttempt::attempt);
  if (found == open_attempts_.end()) {
    return {};
  }
  OpenAttempt closed = std::move(*found);
  open_attempts_.erase(found);
  placement_.OnAttemptEnd(closed.node);
  return closed;
}

void MeshCall::CloseAll() {
  while (!open_attempts_.empty()) {
    Close(open_attempts_.back().attempt);
  }
}

CallStep MeshCall::Finish(CompletionKind kind, Reason::type reason) {
  CloseAll();
  CallStep step;
  step.finish = CallCompletion{kind, reason, Duration(0)};
  if (kind == CompletionKind::kNotRun) {
    const Duration suggested = retry_after_ == Duration(0) ? kDefaultRetryAfter : retry_after_;
    step.finish->retry_after = std::clamp(suggested, kMinRetryAfter, kMaxRetryAfter);
  }
  return step;
}

CallStep MeshCall::FinishIfNoneOpen(Reason::type reason) {
  if (!open_attempts_.empty()) {
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
  excluded_nodes_.push_back(closed.node);
  if (reply.reached_target && reply.reason == Reason::kConnectionLost) {
    nodes_with_lost_response_.push_back(closed.node);
  }
  if (reply.outcome == wire::Outcome::kRan && reply.http_status < 500) {
    return Finish(CompletionKind::kForward, Reason::kNone);
  }
  return OnAttemptFailed(now, reply.reason, reply.outcome == wire::Outcome::kRan);
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
    nodes_without_free_slot_.push_back(attempt.node);
  } else {
    excluded_nodes_.push_back(attempt.node);
    queue_refusals_ += overloaded ? 1 : 0;
  }
  const bool no_retry_left = reply.reached_target && !TrySpendRetry(now);
  if (queue_refusals_ >= kMaxQueueRefusals || no_retry_left || now >= options_.deadline ||
      !open_attempts_.empty()) {
    return FinishIfNoneOpen(reply.reason);
  }
  return SendNext(now, false);
}

bool MeshCall::TrySpendRetry(TimePoint now) {
  return !sending_stopped_ &&
         attempts_reached_target_ + static_cast<int>(open_attempts_.size()) <
             options_.max_attempts &&
         now < options_.deadline && budget_.TrySpend(now, options_.service);
}

CallStep MeshCall::OnAttemptFailed(TimePoint now, Reason::type reason, bool has_reply) {
  may_have_run_ = true;
  // A retry must not fail for the same reason as the first attempt.
  version_draw_ = kOldVersionDraw;
  const bool time_left = options_.deadline - now > options_.typical_latency;
  if (options_.idempotent && time_left && open_attempts_.empty() && TrySpendRetry(now)) {
    has_saved_reply_ = has_saved_reply_ || has_reply;
    CallStep step = SendNext(now, false);
    step.save_reply = has_reply;
    return step;
  }
  if (has_reply && open_attempts_.empty()) {
    return Finish(CompletionKind::kForward, Reason::kNone);
  }
  has_saved_reply_ = has_saved_reply_ || has_reply;
  CallStep step = FinishIfNoneOpen(reason);
  step.save_reply = has_reply;
  return step;
}

CallStep MeshCall::OnNotSent(TimePoint now, int attempt) {
  excluded_nodes_.push_back(Close(attempt).node);
  return open_attempts_.empty() ? SendNext(now, false) : CallStep{};
}

CallStep MeshCall::OnConnectionLost(TimePoint now, int attempt) {
  excluded_nodes_.push_back(Close(attempt).node);
  ++attempts_reached_target_;
  return OnAttemptFailed(now, Reason::kConnectionLost, false);
}

void MeshCall::OnTransfer(int attempt) {
  const auto found = std::ranges::find(open_attempts_, attempt, &OpenAttempt::attempt);
  if (found != open_attempts_.end()) {
    found->transferring = true;
  }
}

CallStep MeshCall::OnHedgeTimer(TimePoint now) {
  // While the response is being transferred, a hedge would only add a second transfer to the load.
  if (!options_.idempotent || open_attempts_.size() != 1 || open_attempts_.front().transferring) {
    return {};
  }
  std::vector<std::string> skipped = excluded_nodes_;
  skipped.push_back(open_attempts_.front().node);
  // Without another target, a hedge is not possible: keep waiting for the open attempt.
  if (!placement_.HasAlternative(options_.service, skipped) || !TrySpendRetry(now)) {
    return {};
  }
  excluded_nodes_ = std::move(skipped);
  return SendNext(now, true);
}

CallStep MeshCall::OnDeadline(TimePoint /*now*/) {
  return Finish(has_saved_reply_ ? CompletionKind::kForwardSaved : CompletionKind::kTimedOut,
                Reason::kTargetTimeout);
}

CallStep MeshCall::OnNodeEnds() {
  const bool may_have_run =
      may_have_run_ || (!open_attempts_.empty() && !IsFaultActive(Fault::kFalseNotRun));
  return Finish(has_saved_reply_ ? CompletionKind::kForwardSaved
                : may_have_run   ? CompletionKind::kUnknown
                                 : CompletionKind::kNotRun,
                Reason::kCancelled);
}

void MeshCall::OnCallerDisconnected() {
  CloseAll();
}

}  // namespace limpet
