#ifndef LIMPET_TRAFFIC_FEEDBACK_LIMIT_H_
#define LIMPET_TRAFFIC_FEEDBACK_LIMIT_H_

#include "limpet/traffic/limit_strategy.h"

namespace limpet {

/// Feedback control of utilisation and deadline misses. Once per period the limit changes by the
/// lower of Ku * (Us - U) and Km * (Ms - M), as a share of the slots. U is the mean share of busy
/// slots, M the share of finished requests that missed their deadline, Us and Ms are the setpoints
/// and Ku and Km the gains.
class FeedbackLimit : public LimitStrategy {
 public:
  explicit FeedbackLimit(int slots);

  int limit() const override;
  void OnFinish(TimePoint now, const LimitSample& sample) override;
  void OnInFlight(TimePoint now, int in_flight) override;

 private:
  void Accumulate(TimePoint now);
  void EndPeriod(TimePoint now);

  int slots_;
  double limit_;
  bool started_ = false;
  TimePoint period_start_{};
  TimePoint accumulated_until_{};
  int in_flight_ = 0;
  double busy_slot_us_ = 0;
  int finished_requests_ = 0;
  int missed_deadlines_ = 0;
};

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_FEEDBACK_LIMIT_H_
