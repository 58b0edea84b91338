#include "limpet/traffic/feedback_limit.h"

#include <algorithm>
#include <cmath>

namespace limpet {
namespace {

constexpr Duration kPeriod = std::chrono::milliseconds(250);
constexpr double kUtilisationSetpoint = 1.0;
constexpr double kMissSetpoint = 0.05;
/// Change of the limit, as a share of the slots, for a deviation of 1 from the setpoint.
constexpr double kUtilisationGain = 0.5;
constexpr double kMissGain = 2.0;

}  // namespace

FeedbackLimit::FeedbackLimit(int slots) : slots_(std::max(1, slots)), limit_(slots_) {}

int FeedbackLimit::limit() const {
  return static_cast<int>(std::lround(limit_));
}

void FeedbackLimit::OnFinish(TimePoint now, const LimitSample& sample) {
  ++finished_requests_;
  missed_deadlines_ += sample.missed_deadline ? 1 : 0;
  Accumulate(now);
}

void FeedbackLimit::OnInFlight(TimePoint now, int in_flight) {
  Accumulate(now);
  in_flight_ = in_flight;
}

void FeedbackLimit::Accumulate(TimePoint now) {
  if (!started_) {
    started_ = true;
    period_start_ = now;
    accumulated_until_ = now;
  }
  busy_slot_us_ += static_cast<double>((now - accumulated_until_).count()) * in_flight_;
  accumulated_until_ = now;
  if (now - period_start_ >= kPeriod) {
    EndPeriod(now);
  }
}

void FeedbackLimit::EndPeriod(TimePoint now) {
  const auto elapsed = static_cast<double>((now - period_start_).count());
  const double utilisation = busy_slot_us_ / (elapsed * slots_);
  const double miss_ratio =
      finished_requests_ == 0 ? 0.0 : static_cast<double>(missed_deadlines_) / finished_requests_;
  const double change = std::min(kUtilisationGain * (kUtilisationSetpoint - utilisation),
                                 kMissGain * (kMissSetpoint - miss_ratio));
  limit_ = std::clamp(limit_ + change * slots_, 1.0, static_cast<double>(slots_));
  period_start_ = now;
  busy_slot_us_ = 0;
  finished_requests_ = 0;
  missed_deadlines_ = 0;
}

}  // namespace limpet
