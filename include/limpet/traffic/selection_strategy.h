#ifndef LIMPET_TRAFFIC_SELECTION_STRATEGY_H_
#define LIMPET_TRAFFIC_SELECTION_STRATEGY_H_

#include <cstddef>
#include <memory>
#include <vector>

#include "limpet/core/enum_names.h"
#include "limpet/core/random.h"
#include "limpet/traffic/endpoint_stats.h"

namespace limpet {

using Candidates = std::vector<const EndpointStats*>;

/// Chooses one of the endpoints that the balancer considers equally acceptable.
class SelectionStrategy {
 public:
  virtual ~SelectionStrategy() = default;

  /// Index into `candidates`, which is not empty.
  virtual size_t Select(TimePoint now, const Candidates& candidates, Random& random) = 0;
};

enum class SelectionKind { kRoundRobin, kLeastInFlight, kPowerOfTwo };

inline constexpr EnumNames<SelectionKind, 3> kSelectionNames = {{
    {SelectionKind::kRoundRobin, "round_robin"},
    {SelectionKind::kLeastInFlight, "least_in_flight"},
    {SelectionKind::kPowerOfTwo, "power_of_two"},
}};

class RoundRobin : public SelectionStrategy {
 public:
  size_t Select(TimePoint now, const Candidates& candidates, Random& random) override;

 private:
  size_t next_ = 0;
};

/// Fewest calls in flight from this node; ties are broken at random.
class LeastInFlight : public SelectionStrategy {
 public:
  size_t Select(TimePoint now, const Candidates& candidates, Random& random) override;
};

/// The better of two random candidates by in-flight x expected latency.
class PowerOfTwo : public SelectionStrategy {
 public:
  size_t Select(TimePoint now, const Candidates& candidates, Random& random) override;
};

std::unique_ptr<SelectionStrategy> MakeSelectionStrategy(SelectionKind kind);

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_SELECTION_STRATEGY_H_
