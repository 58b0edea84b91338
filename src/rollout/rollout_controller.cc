#include "limpet/rollout/rollout_controller.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace limpet {

namespace {

/// The canary share from a fraction of the order's duration on.
struct Step {
  double progress;
  double share;
};
/// Small for most of the time, so that a version that turns bad late has got few requests before:
/// 0.046 of all requests up to the start of the closing.
constexpr std::array<Step, 5> kSteps = {{
    {0.0, 0.015},
    {0.45, 0.04},
    {0.60, 0.10},
    {0.68, 0.25},
    {0.72, 0.50},
}};
/// The closing starts here at the earliest, and from the second value on whatever the exposure. The
/// rest of the time is for open requests, the confirmation and the write to the store.
constexpr double kCloseAt = 0.75;
constexpr double kCloseAtLatest = 0.80;
/// Time from a bad response until all nodes stop sending to the version: the interval of reports,
/// two messages and a tick.
constexpr Duration kReactionTime = std::chrono::milliseconds(600);
/// Part of the bound that planned exposure may use; the rest covers changes of the load.
constexpr double kUsableExposure = 0.95;
constexpr double kUsableSlack = 0.6;
/// Requests that the new version should get before the closing, so that the faults of a service
/// with few requests are found. They are a part of the slack of the exposure.
constexpr double kMinCanaryRequests = 20;
constexpr double kMaxBoostedShare = 0.3;
/// The closing needs this many new targets per old one.
constexpr double kMinTargetRatio = 0.6;
/// All requests go to the new version for this long before the roll-out is completed, because a
/// fault may show only under the complete load.
constexpr Duration kMinConfirmTime = std::chrono::milliseconds(600);
constexpr Duration kMaxConfirmTime = std::chrono::milliseconds(1500);
constexpr double kConfirmShare = 0.08;
/// The confirmation takes longer until the new version got this many requests, but only until this
/// progress.
constexpr int64_t kConfirmRequests = 100;
constexpr double kConfirmUntil = 0.92;
/// A roll-out that could not be completed is rolled back here, so that all nodes know before the
/// deadline.
constexpr double kGiveUpAt = 0.95;
/// Smaller changes of the share are not published.
constexpr double kMinShareChange = 0.2;

bool IsFinal(RolloutState state) {
  return state == RolloutState::kCompleted || state == RolloutState::kRolledBack;
}

}  // namespace

RolloutController::RolloutController(RolloutOptions options,
                                     RolloutOrder order,
                                     TimePoint first_seen)
    : options_(options), order_(std::move(order)), first_seen_(first_seen) {
  status_.order = order_.Id();
  status_.target_version = order_.target_version;
}

void RolloutController::Resume(TimePoint now, const RolloutStatus& status) {
  status_.sequence = std::max(status_.sequence, status.sequence);
  status_.excluded_versions = status.excluded_versions;
  if (status.order == status_.order) {
    status_.state = status.state;
    status_.share = status.share;
    first_seen_ = std::min(first_seen_, now - status.elapsed);
    closing_since_ = now;
    return;
  }
  // A version whose roll-out was replaced before its verdict is not known to be good.
  const bool replaced =
      status.state != RolloutState::kCompleted && status.target_version != order_.target_version;
  if ((replaced || status.state == RolloutState::kRolledBack) &&
      !IsExcluded(status.target_version)) {
    status_.excluded_versions.push_back(status.target_version);
  }
}

void RolloutController::OnStoredState(const std::string& target_version, RolloutState state) {
  if (target_version != order_.target_version && state == RolloutState::kRolledBack &&
      !IsExcluded(target_version)) {
    status_.excluded_versions.push_back(target_version);
    changed_ = true;
  }
  if (target_version != order_.target_version || !IsFinal(state) || IsFinal(status_.state)) {
    return;
  }
  reason_ = "decided by an earlier holder";
  written_ = state;
  SetState(state, state == RolloutState::kCompleted ? 1 : 0);
}

bool RolloutController::IsExcluded(const std::string& version) const {
  return std::ranges::find(status_.excluded_versions, version) != status_.excluded_versions.end();
}

void RolloutController::OnReport(TimePoint now,
                                 const std::string& node,
                                 const wire::RolloutReport& report) {
  if (report.order != status_.order || IsExcluded(report.software)) {
    return;
  }
  Target& target = targets_[{node, report.instance}];
  target.software = report.software;
  target.closed = report.closed;
  target.applied_sequence = report.applied_sequence;
  target.heard_at = now;
  const bool is_new = report.software == order_.target_version;
  for (const wire::RolloutRouteResults& route : report.routes) {
    RolloutCounts& counted = target.counted[route.route];
    if (route.requests < counted.requests || route.failures < counted.bad) {
      // The node beside the target has restarted and counts from 0.
      counted = {};
    }
    const auto service_time_us = static_cast<double>(route.service_time_us);
    const RolloutCounts total = {route.requests, route.failures, service_time_us};
    const RolloutCounts added = {total.requests - counted.requests, total.bad - counted.bad,
                                 std::max(0.0, service_time_us - counted.service_time_us)};
    counted = total;
    if (added.requests > 0) {
      analysis_.Add(now, route.route, is_new, added);
    }
  }
}

RolloutController::TargetCounts RolloutController::CountTargets(TimePoint now) const {
  TargetCounts counts;
  for (const auto& [key, target] : targets_) {
    if (now - target.heard_at > options_.target_age) {
      continue;
    }
    if (target.software == order_.target_version) {
      ++counts.new_targets;
    } else {
      ++counts.old_targets;
      const bool is_closed = target.closed && target.applied_sequence >= status_.sequence;
      counts.open_old_targets += is_closed ? 0 : 1;
    }
  }
  return counts;
}

double RolloutController::Progress(TimePoint now) const {
  return std::chrono::duration<double>(now - first_seen_) /
         std::chrono::duration<double>(order_.duration);
}

double RolloutController::ExposureLimit(TimePoint now) const {
  const double bound =
      kUsableExposure * options_.exposure_share * static_cast<double>(analysis_.requests()) +
      kUsableSlack * options_.exposure_slack;
  const double left = bound - static_cast<double>(analysis_.new_requests());
  const double during_reaction =
      analysis_.RecentRate(now) * std::chrono::duration<double>(kReactionTime).count();
  return during_reaction > 0 ? std::clamp(left / during_reaction, 0.0, 1.0) : 1;
}

double RolloutController::CanaryShare(TimePoint now, const TargetCounts& targets) const {
  if (targets.new_targets == 0) {
    return 0;
  }
  const double progress = Progress(now);
  double share = 0;
  for (const Step& step : kSteps) {
    share = progress >= step.progress ? step.share : share;
  }
  const double canary_requests =
      analysis_.RecentRate(now) * kCloseAt * std::chrono::duration<double>(order_.duration).count();
  if (canary_requests > 0) {
    share = std::max(share, std::min(kMaxBoostedShare, kMinCanaryRequests / canary_requests));
  }
  // A new target gets no more requests than an old one had.
  const double capacity = static_cast<double>(targets.new_targets) /
                          static_cast<double>(std::max(1, targets.old_targets));
  return std::min({share, capacity, ExposureLimit(now)});
}

bool RolloutController::MayClose(TimePoint now, const TargetCounts& targets) const {
  const double progress = Progress(now);
  const bool enough_targets =
      targets.new_targets > 0 && targets.new_targets >= kMinTargetRatio * targets.old_targets;
  return enough_targets && progress >= kCloseAt &&
         (progress >= kCloseAtLatest || ExposureLimit(now) >= 1);
}

bool RolloutController::MayComplete(TimePoint now, const TargetCounts& targets) const {
  const Duration confirm =
      std::clamp(Scale(order_.duration, kConfirmShare), kMinConfirmTime, kMaxConfirmTime);
  const bool confirmed = now - closing_since_ >= confirm &&
                         (analysis_.new_requests() - new_requests_at_closing_ >= kConfirmRequests ||
                          Progress(now) >= kConfirmUntil);
  return targets.new_targets > 0 && targets.open_old_targets == 0 && confirmed;
}

void RolloutController::SetState(RolloutState state, double share) {
  status_.state = state;
  status_.share = share;
  changed_ = true;
}

void RolloutController::RollBack(std::string reason) {
  reason_ = std::move(reason);
  SetState(RolloutState::kRolledBack, 0);
}

std::optional<RolloutStatus> RolloutController::Decide(TimePoint now) {
  const TargetCounts targets = CountTargets(now);
  const bool is_closing = status_.state == RolloutState::kClosing;
  if (!IsFinal(status_.state) && !completing_) {
    if (IsExcluded(order_.target_version)) {
      RollBack("rolled back before");
    } else if (const auto fault = analysis_.FindFault(is_closing ? kClosingProof : kProof)) {
      RollBack(std::string(EnumName(kRolloutFaultNames, *fault)));
    } else if (is_closing) {
      const bool may_complete = MayComplete(now, targets);
      const auto suspected = may_complete ? analysis_.FindFault(kSuspicion) : std::nullopt;
      if (suspected && Progress(now) >= kConfirmUntil) {
        RollBack("suspected " + std::string(EnumName(kRolloutFaultNames, *suspected)));
      } else {
        completing_ = may_complete && !suspected;
      }
    } else if (MayClose(now, targets)) {
      closing_since_ = now;
      new_requests_at_closing_ = analysis_.new_requests();
      SetState(RolloutState::kClosing, 1);
    } else if (Progress(now) >= kGiveUpAt) {
      RollBack("deadline");
    } else {
      const double share = CanaryShare(now, targets);
      const double change = std::abs(share - status_.share);
      if (change > kMinShareChange * status_.share) {
        SetState(RolloutState::kRunning, share);
      }
    }
  }
  if (!std::exchange(changed_, false)) {
    return std::nullopt;
  }
  ++status_.sequence;
  status_.elapsed = now - first_seen_;
  return status_;
}

std::optional<RolloutState> RolloutController::StateToWrite() const {
  // The operator knows no state `closing`.
  const RolloutState state = completing_                               ? RolloutState::kCompleted
                             : status_.state == RolloutState::kClosing ? RolloutState::kRunning
                                                                       : status_.state;
  return written_ == state ? std::nullopt : std::optional(state);
}

void RolloutController::OnWritten(RolloutState state) {
  written_ = state;
  if (state == RolloutState::kCompleted && completing_) {
    SetState(RolloutState::kCompleted, 1);
    completing_ = false;
  }
}

}  // namespace limpet
