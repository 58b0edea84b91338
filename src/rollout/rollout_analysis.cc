#include "limpet/rollout/rollout_analysis.h"

#include <algorithm>
#include <cmath>
#include <vector>

#include "limpet/core/fault.h"

namespace limpet {

namespace {

/// Cells younger than this are compared on their own too, so that a version that turns bad late is
/// not hidden by its earlier results.
constexpr int64_t kRecentSeconds = 4;
/// Bad responses assumed for a version without any, so that single failures are no evidence.
constexpr double kMinBadShare = 0.005;
/// Weight, in requests, of the totals in the estimate for one cell, whose own sample is small.
constexpr double kTotalWeight = 10;
/// A version is bad only with this many times the bad responses of the old one. Smaller differences
/// come from the load and from the VMs.
constexpr double kMinBadRatio = 1.5;
/// A few requests that took long by chance are no evidence.
constexpr double kMinTimedRequests = 16;
/// A version is slow if its service times exceed those of the old one by this share, plus some
/// deviations, which are as large as the mean for a single request.
constexpr double kSlowShare = 0.5;
/// Above this mean, the Poisson distribution is approximated by the normal one.
constexpr double kMaxPoissonMean = 200;

/// Probability of at least `count` events when `mean` are expected.
double PoissonTail(double count, double mean) {
  if (mean > kMaxPoissonMean) {
    return 0.5 * std::erfc((count - mean) / std::sqrt(2 * mean));
  }
  double term = std::exp(-mean);
  double below = 0;
  for (int i = 0; i < static_cast<int>(count); ++i) {
    below += term;
    term *= mean / (i + 1);
  }
  return std::max(0.0, 1 - below);
}

/// Limits of what one report of a target adds, in bad responses and in service times. The pause of
/// a VM makes all its open requests slow at once, which is no fault of the version.
constexpr int64_t kMaxBadPerReport = 3;
constexpr double kMaxExcessPerReport = 8;

int64_t SecondOf(TimePoint now) {
  return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
}

void AddCounts(RolloutCounts& sum, const RolloutCounts& counts) {
  sum.requests += counts.requests;
  sum.bad += counts.bad;
  sum.service_time_us += counts.service_time_us;
}

}  // namespace

void RolloutAnalysis::Comparison::Add(const Comparison& other) {
  requests += other.requests;
  bad += other.bad;
  expected_bad += other.expected_bad;
  excess_time += other.excess_time;
}

std::optional<RolloutFault> RolloutAnalysis::Comparison::FindFault(
    const RolloutEvidence& evidence) const {
  if (bad >= evidence.min_bad && bad >= kMinBadRatio * expected_bad &&
      PoissonTail(bad, expected_bad) < evidence.false_alarm) {
    return RolloutFault::kFailures;
  }
  if (requests >= kMinTimedRequests &&
      excess_time > kSlowShare * requests + evidence.deviations * std::sqrt(requests)) {
    return RolloutFault::kSlow;
  }
  return std::nullopt;
}

void RolloutAnalysis::Add(TimePoint now,
                          const std::string& route,
                          bool is_new,
                          const RolloutCounts& counts) {
  Fold(now);
  Cell& cell = cells_[{SecondOf(now), route}];
  requests_ += counts.requests;
  if (is_new) {
    new_requests_ += counts.requests;
    RolloutCounts limited = counts;
    limited.bad = std::min(counts.bad, kMaxBadPerReport);
    const RolloutCounts& old_route = old_by_route_[route];
    if (old_route.requests > 0) {
      const double mean = old_route.service_time_us / static_cast<double>(old_route.requests);
      limited.service_time_us =
          std::min(counts.service_time_us,
                   mean * (static_cast<double>(counts.requests) + kMaxExcessPerReport));
    }
    AddCounts(cell.new_version, limited);
  } else {
    AddCounts(cell.old_version, counts);
    AddCounts(old_by_route_[route], counts);
    AddCounts(old_total_, counts);
  }
}

RolloutAnalysis::Comparison RolloutAnalysis::Compare(const std::string& route,
                                                     const Cell& cell) const {
  const auto found = old_by_route_.find(route);
  const RolloutCounts old_route = found == old_by_route_.end() ? RolloutCounts{} : found->second;
  const auto new_requests = static_cast<double>(cell.new_version.requests);
  const auto old_requests = static_cast<double>(cell.old_version.requests);
  Comparison comparison;
  comparison.requests = new_requests;
  comparison.bad = static_cast<double>(cell.new_version.bad);
  // One bad response of ten is added, so that a few good ones do not show a perfect version.
  const double bad_share_total =
      (static_cast<double>(old_total_.bad) + 1) / (static_cast<double>(old_total_.requests) + 10);
  const double bad_share_route =
      (static_cast<double>(old_route.bad) + kTotalWeight * bad_share_total) /
      (static_cast<double>(old_route.requests) + kTotalWeight);
  const double bad_share =
      (static_cast<double>(cell.old_version.bad) + kTotalWeight * bad_share_route) /
      (old_requests + kTotalWeight);
  comparison.expected_bad = new_requests * std::max(kMinBadShare, bad_share);
  if (old_route.requests > 0 && old_route.service_time_us > 0) {
    const double route_mean = old_route.service_time_us / static_cast<double>(old_route.requests);
    const double mean = (cell.old_version.service_time_us + kTotalWeight * route_mean) /
                        (old_requests + kTotalWeight);
    comparison.excess_time = cell.new_version.service_time_us / mean - new_requests;
  }
  return comparison;
}

void RolloutAnalysis::Fold(TimePoint now) {
  const int64_t oldest_recent = SecondOf(now) - kRecentSeconds;
  while (!cells_.empty() && cells_.begin()->first.first < oldest_recent) {
    const auto& [key, cell] = *cells_.begin();
    earlier_[key.second].Add(Compare(key.second, cell));
    cells_.erase(cells_.begin());
  }
}

std::optional<RolloutFault> RolloutAnalysis::FindFault(const RolloutEvidence& evidence) const {
  if (IsFaultActive(Fault::kSkipRolloutAnalysis)) {
    return std::nullopt;
  }
  std::map<std::string, Comparison> recent_by_route;
  for (const auto& [key, cell] : cells_) {
    recent_by_route[key.second].Add(Compare(key.second, cell));
  }
  std::map<std::string, Comparison> all_by_route = earlier_;
  Comparison recent;
  for (const auto& [route, comparison] : recent_by_route) {
    all_by_route[route].Add(comparison);
    recent.Add(comparison);
  }
  Comparison all;
  for (const auto& [route, comparison] : all_by_route) {
    all.Add(comparison);
  }
  std::vector<Comparison> comparisons = {recent, all};
  for (const auto* by_route : {&recent_by_route, &all_by_route}) {
    for (const auto& [route, comparison] : *by_route) {
      comparisons.push_back(comparison);
    }
  }
  for (const Comparison& comparison : comparisons) {
    if (const auto fault = comparison.FindFault(evidence)) {
      return fault;
    }
  }
  return std::nullopt;
}

double RolloutAnalysis::RecentRate(TimePoint now) const {
  // The current second is not complete.
  const int64_t current = SecondOf(now);
  int64_t requests = 0;
  for (const auto& [key, cell] : cells_) {
    const bool counted = key.first < current && key.first >= current - kRecentSeconds;
    requests += counted ? cell.old_version.requests + cell.new_version.requests : 0;
  }
  return static_cast<double>(requests) / static_cast<double>(kRecentSeconds);
}

}  // namespace limpet
