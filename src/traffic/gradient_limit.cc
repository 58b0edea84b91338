#include "limpet/traffic/gradient_limit.h"

#include <algorithm>
#include <cmath>

namespace limpet {
namespace {

constexpr double kShortTermWeight = 0.03;
constexpr double kBaselineWeight = 0.05;
/// Used while the limit is at most half the slots: longer service times are then not caused by the
/// load, and the baseline adapts faster.
constexpr double kLoweredLimitBaselineWeight = 0.2;
/// Highest ratio of the short-term average to the baseline that does not count as queueing.
constexpr double kTolerance = 1.15;
/// The limit does not change before the baseline has this many samples.
constexpr int kMinBaselineSamples = 20;
constexpr double kMinGradient = 0.5;
/// Lowest limit as a share of the slots. It bounds the loss of throughput when service times rise
/// for a reason other than the load.
constexpr double kMinLimitShare = 0.4;
constexpr double kSmoothing = 0.05;
/// Growth of the limit as a multiple of its square root.
constexpr double kGrowthWhileQueueing = 0.3;
constexpr double kGrowthWithoutQueueing = 0.8;

/// Arithmetic mean of the first samples, then an exponential moving average.
void UpdateAverage(double& average, int& samples, double sample, double weight) {
  ++samples;
  average += std::max(weight, 1.0 / samples) * (sample - average);
}

}  // namespace

GradientLimit::GradientLimit(int slots) : slots_(std::max(1, slots)), limit_(slots_) {}

int GradientLimit::limit() const {
  return static_cast<int>(std::lround(limit_));
}

void GradientLimit::OnFinish(TimePoint /*now*/, const LimitSample& sample) {
  const auto service_us =
      static_cast<double>(std::max<Duration::rep>(1, sample.service_time.count()));
  UpdateAverage(short_term_us_, short_term_samples_, service_us, kShortTermWeight);
  // A target that is at most half full is assumed not to queue. If it becomes slower for another
  // reason, the limit falls until the target is half full, and the baseline then adapts.
  if (baseline_samples_ < kMinBaselineSamples || 2 * sample.in_flight <= std::max(2, slots_)) {
    const bool is_limit_lowered = 2 * limit() <= slots_;
    UpdateAverage(baseline_us_, baseline_samples_, service_us,
                  is_limit_lowered ? kLoweredLimitBaselineWeight : kBaselineWeight);
  }
  // While less than half of the limit is in use, samples do not show that a higher limit is safe.
  if (baseline_samples_ < kMinBaselineSamples || 2 * sample.in_flight < limit()) {
    return;
  }
  const double gradient = std::clamp(kTolerance * baseline_us_ / short_term_us_, kMinGradient, 1.0);
  const double growth = gradient < 1.0 ? kGrowthWhileQueueing : kGrowthWithoutQueueing;
  const double new_limit = limit_ * gradient + growth * std::sqrt(limit_);
  limit_ = std::clamp(limit_ + kSmoothing * (new_limit - limit_),
                      std::max(1.0, slots_ * kMinLimitShare), static_cast<double>(slots_));
}

}  // namespace limpet
