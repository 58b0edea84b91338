#ifndef LIMPET_ROLLOUT_ROLLOUT_METER_H_
#define LIMPET_ROLLOUT_ROLLOUT_METER_H_

#include <map>
#include <string>
#include <vector>

#include "limpet/rollout/rollout_analysis.h"
#include "limpet/traffic/target_gate.h"
#include "limpet_types.h"

namespace limpet {

/// Counts the results of one target during a roll-out. Not safe for concurrent use.
class RolloutMeter {
 public:
  /// Counts from 0 if the order or the target instance is another one than before.
  void Start(int64_t order, const std::string& instance);
  void OnSample(const TargetSample& sample);
  std::vector<wire::RolloutRouteResults> Results() const;

 private:
  int64_t order_ = 0;
  std::string instance_;
  std::map<std::string, RolloutCounts> counts_;
};

}  // namespace limpet

#endif  // LIMPET_ROLLOUT_ROLLOUT_METER_H_
