#include "limpet/traffic/mesh_call.h"

#include <algorithm>
#include <utility>

namespace limpet {

namespace {

using Reason = wire::RefusalReason;

/// Refusals by nodes before the call is refused to its caller. Each costs a round trip between
/// nodes; with an expected completion at hand the third choice rarely takes what two refused.
constexpr int kMaxRefusals = 3;
/// Refusals that only show an outdated view (draining, replaced target) are cheap and end soon.
constexpr int kMaxTried = 6;
/// An attempt that takes this many times as long as usual has probably lost its response.
constexpr double kSlowAttemptFactor = 2.5;
constexpr Duration kSlowAttemptMargin = std::chrono::milliseconds(40);
/// Below this a pause of a node looks like a lost response.
constexpr Duration kMinAttemptTimeout = std::chrono::milliseconds(100);
/// A second attempt needs at least this many usual times to be worth sending.
constexpr double kRoomForRepeat = 1.2;
/// Return time without an estimate: a few service times, so that slots have turned over.
constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(150);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(30);
constexpr Duration kMaxRetryAfter = std::chrono::milliseconds(1000);

Duration Times(Duration duration, double factor) {
  return Duration(static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

MeshCall::MeshCall(MeshCallOptions options, TargetPlacement& placement, SharedRetryBudget& budget)
    : options_(std::move(options)), placement_(placement), budget_(budget) {}

MeshCall::~MeshCall() {
  CloseAttempt();
}

CallStep MeshCall::Start(TimePoint now) {
  budget_.OnRequest(now, options_.service);
  return SendNext(now);
}

CallStep MeshCall::SendNext(TimePoint now) {
  const auto target =
      tried_.size() >= kMaxTried
          ? std::nullopt
          : placement_.Choose(now, options_.service, options_.expected_response_bytes, tried_);
  if (!target) {
    if (has_saved_reply_) {
      return Finish(CallEnd::kForwardSaved, Reason::kNone);
    }
    if (may_have_run_) {
      return Finish(CallEnd::kUnknown, Reason::kConnectionLost);
    }
    return Finish(CallEnd::kNotRun, refusals_ > 0 ? Reason::kOverloaded : Reason::kNoEndpoint);
  }
  open_node_ = target->node;
  tried_.push_back(target->node);
  placement_.OnSend(target->node);
  CallStep step;
  step.send = target;
  step.attempt_timeout = AttemptTimeout(now);
  return step;
}

std::optional<Duration> MeshCall::AttemptTimeout(TimePoint now) const {
  const Duration usual = options_.usual_latency;
  if (!options_.idempotent || usual == Duration(0) || arrivals_ + 1 >= options_.max_attempts) {
    return std::nullopt;
  }
  const Duration timeout =
      std::max(kMinAttemptTimeout, Times(usual, kSlowAttemptFactor) + kSlowAttemptMargin);
  const Duration left = options_.deadline - now;
  if (left - timeout < Times(usual, kRoomForRepeat)) {
    return std::nullopt;
  }
  return timeout;
}

void MeshCall::CloseAttempt() {
  if (!open_node_.empty()) {
    placement_.OnEnd(open_node_);
    open_node_.clear();
  }
}

CallStep MeshCall::Finish(CallEnd end, Reason::type reason) {
  CloseAttempt();
  CallStep step;
  step.finish = CallFinish{end, reason, Duration(0)};
  if (end == CallEnd::kNotRun) {
    const Duration wanted = retry_after_ == Duration(0) ? kDefaultRetryAfter : retry_after_;
    step.finish->retry_after = std::clamp(wanted, kMinRetryAfter, kMaxRetryAfter);
  }
  return step;
}

CallStep MeshCall::OnReply(TimePoint now, const wire::LinkReply& reply) {
  CloseAttempt();
  if (reply.reached_target) {
    ++arrivals_;
  }
  if (reply.outcome == wire::Outcome::kNotRun) {
    return OnRefused(now, reply);
  }
  if (reply.outcome == wire::Outcome::kRan && reply.http_status < 500) {
    return Finish(CallEnd::kForward, Reason::kNone);
  }
  return OnFailedRun(now, reply.reason, reply.outcome == wire::Outcome::kRan);
}

CallStep MeshCall::OnRefused(TimePoint now, const wire::LinkReply& reply) {
  const Duration retry_after = std::chrono::milliseconds(reply.retry_after_ms);
  if (retry_after > Duration(0)) {
    retry_after_ = retry_after_ == Duration(0) ? retry_after : std::min(retry_after_, retry_after);
  }
  if (reply.reason == Reason::kOverloaded || reply.reason == Reason::kQueueTimeout) {
    ++refusals_;
  }
  const bool spent = reply.reached_target && !MayRepeat(now);
  if (refusals_ >= kMaxRefusals || spent || now >= options_.deadline) {
    if (has_saved_reply_) {
      return Finish(CallEnd::kForwardSaved, Reason::kNone);
    }
    return Finish(may_have_run_ ? CallEnd::kUnknown : CallEnd::kNotRun, reply.reason);
  }
  return SendNext(now);
}

bool MeshCall::MayRepeat(TimePoint now) {
  return arrivals_ < options_.max_attempts && now < options_.deadline &&
         budget_.Take(now, options_.service);
}

CallStep MeshCall::OnFailedRun(TimePoint now, Reason::type reason, bool has_reply) {
  may_have_run_ = true;
  const bool time_left = options_.deadline - now > options_.usual_latency;
  if (options_.idempotent && time_left && MayRepeat(now)) {
    has_saved_reply_ = has_saved_reply_ || has_reply;
    CallStep step = SendNext(now);
    step.save_reply = has_reply;
    return step;
  }
  if (has_reply) {
    return Finish(CallEnd::kForward, Reason::kNone);
  }
  return Finish(has_saved_reply_ ? CallEnd::kForwardSaved : CallEnd::kUnknown, reason);
}

CallStep MeshCall::OnNotSent(TimePoint now) {
  CloseAttempt();
  return SendNext(now);
}

CallStep MeshCall::OnLost(TimePoint now) {
  CloseAttempt();
  ++arrivals_;
  return OnFailedRun(now, Reason::kConnectionLost, false);
}

CallStep MeshCall::OnAttemptTimeout(TimePoint now) {
  const bool has_other = placement_.HasOther(options_.service, tried_);
  const bool allowed = options_.idempotent && arrivals_ + 1 < options_.max_attempts;
  if (!has_other || !allowed || !budget_.Take(now, options_.service)) {
    // Without a repeat the open attempt is still the best chance.
    return {};
  }
  ++arrivals_;
  may_have_run_ = true;
  CloseAttempt();
  CallStep step = SendNext(now);
  step.cancel = true;
  return step;
}

CallStep MeshCall::OnDeadline(TimePoint /*now*/) {
  CallStep step = Finish(has_saved_reply_ ? CallEnd::kForwardSaved : CallEnd::kTimedOut,
                         Reason::kTargetTimeout);
  step.cancel = true;
  return step;
}

CallStep MeshCall::OnCallerGone(TimePoint /*now*/) {
  CloseAttempt();
  CallStep step;
  step.cancel = true;
  return step;
}

}  // namespace limpet
