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

/// Selects one of the endpoints that the balancer considers equally acceptable.
class SelectionStrategy {
 public:
  virtual ~SelectionStrategy() = default;

  /// Returns an index into `candidates`, which must not be empty.
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

/// Selects the endpoint with the fewest calls in flight from this node. Ties are broken at random.
class LeastInFlight : public SelectionStrategy {
 public:
  size_t Select(TimePoint now, const Candidates& candidates, Random& random) override;
};

/// Selects the better of two random candidates: the one with the lower product of calls in flight,
/// plus the new one, and expected latency.
class PowerOfTwo : public SelectionStrategy {
 public:
  size_t Select(TimePoint now, const Candidates& candidates, Random& random) override;
};

std::unique_ptr<SelectionStrategy> MakeSelectionStrategy(SelectionKind kind);

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_SELECTION_STRATEGY_H_
