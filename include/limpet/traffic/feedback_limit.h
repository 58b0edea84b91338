#ifndef LIMPET_TRAFFIC_FEEDBACK_LIMIT_H_
#define LIMPET_TRAFFIC_FEEDBACK_LIMIT_H_

#include "limpet/traffic/limit_strategy.h"

namespace limpet {

/// Utilisation and miss-ratio feedback: once per period the limit changes by the lower of
/// Ku * (Us - U) and Km * (Ms - M), where U is the mean share of busy slots and M the share of
/// finished requests that missed their deadline.
class FeedbackLimit : public LimitStrategy {
 public:
  explicit FeedbackLimit(int slots);

  int limit() const override;
  void OnFinish(TimePoint now, const LimitSample& sample) override;
  void OnInFlight(TimePoint now, int in_flight) override;

 private:
  void Accumulate(TimePoint now);
  void ClosePeriod(TimePoint now);

  int slots_;
  double limit_;
  bool started_ = false;
  TimePoint period_start_{};
  TimePoint last_change_{};
  int in_flight_ = 0;
  double busy_us_ = 0;
  int finished_ = 0;
  int missed_ = 0;
};

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_FEEDBACK_LIMIT_H_
