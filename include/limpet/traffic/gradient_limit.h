#ifndef LIMPET_TRAFFIC_GRADIENT_LIMIT_H_
#define LIMPET_TRAFFIC_GRADIENT_LIMIT_H_

#include "limpet/traffic/limit_strategy.h"

namespace limpet {

/// Adapts the limit to the ratio of two service times: that of the target when it is at most half
/// full (the baseline) and the recent one. A target whose service time grows with its load queues
/// requests internally; the limit is then lowered. It never exceeds the configured slots.
class GradientLimit : public LimitStrategy {
 public:
  explicit GradientLimit(int slots);

  int limit() const override;
  void OnFinish(TimePoint now, const LimitSample& sample) override;

 private:
  int slots_;
  double limit_;
  double short_term_us_ = 0;
  double baseline_us_ = 0;
  int short_term_samples_ = 0;
  int baseline_samples_ = 0;
};

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_GRADIENT_LIMIT_H_
