#include "limpet/traffic/gradient_limit.h"

#include <algorithm>
#include <cmath>

namespace limpet {
namespace {

constexpr double kShortWeight = 0.03;
constexpr double kBaselineWeight = 0.05;
/// At a limit of half the slots or less, longer service times are not due to the load.
constexpr double kLoweredBaselineWeight = 0.2;
/// Spread of the short-term average that does not count as queueing.
constexpr double kTolerance = 1.15;
/// Until then the limit stays.
constexpr int kFirstSamples = 20;
constexpr double kLowestGradient = 0.5;
/// Bounds the loss when service times rise for a reason other than the load.
constexpr double kLowestShare = 0.4;
constexpr double kSmoothing = 0.05;
/// Growth for each square root of the limit: while the target queues, and while it does not.
constexpr double kHeadroom = 0.3;
constexpr double kRecovery = 0.8;

/// Plain mean of the first samples, then an exponential average.
void Average(double& average, int& samples, double sample, double weight) {
  ++samples;
  average += std::max(weight, 1.0 / samples) * (sample - average);
}

}  // namespace

GradientLimit::GradientLimit(int slots) : max_(std::max(1, slots)), limit_(max_) {}

int GradientLimit::limit() const {
  return static_cast<int>(std::lround(limit_));
}

void GradientLimit::OnFinish(TimePoint /*now*/, const LimitSample& sample) {
  const auto service_us =
      static_cast<double>(std::max<Duration::rep>(1, sample.service_time.count()));
  Average(short_us_, short_samples_, service_us, kShortWeight);
  // A target that is at most half full does not queue. When it becomes slower for another reason,
  // the falling limit brings it to this point, and the baseline follows.
  if (baseline_samples_ < kFirstSamples || 2 * sample.in_flight <= std::max(2, max_)) {
    const bool is_lowered = 2 * limit() <= max_;
    Average(baseline_us_, baseline_samples_, service_us,
            is_lowered ? kLoweredBaselineWeight : kBaselineWeight);
  }
  // A limit that is not reached gets no evidence that a higher one is safe.
  if (baseline_samples_ < kFirstSamples || 2 * sample.in_flight < limit()) {
    return;
  }
  const double gradient = std::clamp(kTolerance * baseline_us_ / short_us_, kLowestGradient, 1.0);
  const double growth = gradient < 1.0 ? kHeadroom : kRecovery;
  const double target = limit_ * gradient + growth * std::sqrt(limit_);
  limit_ = std::clamp(limit_ + kSmoothing * (target - limit_), std::max(1.0, max_ * kLowestShare),
                      static_cast<double>(max_));
}

}  // namespace limpet
