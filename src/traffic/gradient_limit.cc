#include "limpet/traffic/gradient_limit.h"

#include <algorithm>
#include <cmath>

namespace limpet {
namespace {

/// The limit stays within this multiple of the configured slots.
constexpr int kMaxFactor = 2;
constexpr double kShortWeight = 0.1;
constexpr double kLongWeight = 0.002;
/// Spread of service times that does not count as queueing.
constexpr double kTolerance = 1.5;
constexpr double kLowestGradient = 0.5;
constexpr double kSmoothing = 0.1;
/// After a lasting change the long-term average would take minutes to follow downwards.
constexpr double kLongDecay = 0.95;

void Average(double& average, double sample, double weight) {
  average = average <= 0 ? sample : average + weight * (sample - average);
}

}  // namespace

GradientLimit::GradientLimit(int slots)
    : max_(kMaxFactor * std::max(1, slots)), limit_(std::max(1, slots)) {}

int GradientLimit::limit() const {
  return static_cast<int>(std::lround(limit_));
}

void GradientLimit::OnFinish(TimePoint /*now*/, const LimitSample& sample) {
  const auto service_us =
      static_cast<double>(std::max<Duration::rep>(1, sample.service_time.count()));
  Average(short_us_, service_us, kShortWeight);
  Average(long_us_, service_us, kLongWeight);
  if (long_us_ > 2 * short_us_) {
    long_us_ *= kLongDecay;
  }
  // A limit that is not reached gets no evidence that a higher one is safe.
  if (2 * sample.in_flight < limit()) {
    return;
  }
  const double gradient = std::clamp(kTolerance * long_us_ / short_us_, kLowestGradient, 1.0);
  const double target = limit_ * gradient + std::sqrt(limit_);
  limit_ = std::clamp(limit_ + kSmoothing * (target - limit_), 1.0, static_cast<double>(max_));
}

}  // namespace limpet
