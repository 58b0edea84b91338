#ifndef LIMPET_TRAFFIC_GRADIENT_LIMIT_H_
#define LIMPET_TRAFFIC_GRADIENT_LIMIT_H_

#include "limpet/traffic/limit_strategy.h"

namespace limpet {

/// Moves the limit by the ratio of the long-term to the short-term service time: a target that
/// becomes slower under the current limit is queueing internally, and the limit falls.
class GradientLimit : public LimitStrategy {
 public:
  explicit GradientLimit(int slots);

  int limit() const override;
  void OnFinish(TimePoint now, const LimitSample& sample) override;

 private:
  int max_;
  double limit_;
  double short_us_ = 0;
  double long_us_ = 0;
};

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_GRADIENT_LIMIT_H_
