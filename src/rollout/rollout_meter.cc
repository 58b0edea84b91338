#include "limpet/rollout/rollout_meter.h"

#include <algorithm>

namespace limpet {

namespace {

/// A response that takes longer than this many times the typical service time of its route counts
/// as bad. Bad versions are several times slower; the same limit holds for the old version, so its
/// natural spread is compared with.
constexpr double kSlowFactor = 4;
/// Times are counted up to this factor, so that a single request that waits for seconds does not
/// make the mean of a version large.
constexpr double kMaxFactor = 10;
/// Shorter times count as this one: the connections to a new target alone take about a millisecond.
constexpr double kMinTypicalUs = 2000;
/// A cold target takes about twice as long (the platform's cold factor), which is no fault of its
/// version.
constexpr double kColdFactor = 2;

}  // namespace

void RolloutMeter::Start(int64_t order, const std::string& instance) {
  if (order != order_ || instance != instance_) {
    order_ = order;
    instance_ = instance;
    counts_.clear();
  }
}

void RolloutMeter::OnSample(const TargetSample& sample) {
  if (order_ == 0 || sample.result == TargetResult::kNotExecuted) {
    return;
  }
  const double cold_factor = sample.cold ? kColdFactor : 1;
  const double measured_us = static_cast<double>(sample.service_time.count()) / cold_factor;
  const bool has_typical = sample.typical_service_time > Duration(0);
  const double typical_us =
      std::max(kMinTypicalUs, static_cast<double>(sample.typical_service_time.count()));
  const bool slow = has_typical && measured_us > kSlowFactor * typical_us;
  const double counted_us = std::max(measured_us, kMinTypicalUs);
  const double time_us = has_typical ? std::min(counted_us, kMaxFactor * typical_us) : counted_us;
  if (sample.result == TargetResult::kCancelled && !slow) {
    // Cancelled by the caller, or by a response from another target; says nothing of this one.
    return;
  }
  const bool succeeded =
      sample.result == TargetResult::kSucceeded || sample.result == TargetResult::kCancelled;
  RolloutCounts& counts = counts_[sample.route];
  ++counts.requests;
  counts.bad += !succeeded || slow ? 1 : 0;
  counts.service_time_us += time_us;
}

std::vector<wire::RolloutRouteResults> RolloutMeter::Results() const {
  std::vector<wire::RolloutRouteResults> results;
  for (const auto& [route, counts] : counts_) {
    wire::RolloutRouteResults& result = results.emplace_back();
    result.route = route;
    result.requests = counts.requests;
    result.failures = counts.bad;
    result.service_time_us = static_cast<int64_t>(counts.service_time_us);
  }
  return results;
}

}  // namespace limpet
