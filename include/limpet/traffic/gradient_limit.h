#ifndef LIMPET_TRAFFIC_GRADIENT_LIMIT_H_
#define LIMPET_TRAFFIC_GRADIENT_LIMIT_H_

#include "limpet/traffic/limit_strategy.h"

namespace limpet {

/// Moves the limit by the ratio of the service time at a half empty target to the recent one: a
/// target that becomes slower as it fills is queueing internally, and the limit falls. Never above
/// the configured slots.
class GradientLimit : public LimitStrategy {
 public:
  explicit GradientLimit(int slots);

  int limit() const override;
  void OnFinish(TimePoint now, const LimitSample& sample) override;

 private:
  int max_;
  double limit_;
  double short_us_ = 0;
  double baseline_us_ = 0;
  int short_samples_ = 0;
  int baseline_samples_ = 0;
};

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_GRADIENT_LIMIT_H_
