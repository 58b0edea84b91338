#include "limpet/traffic/selection_strategy.h"

#include <cmath>
#include <utility>

namespace limpet {
namespace {

/// A slow endpoint gets no calls that could show its recovery. Its expected latency is therefore
/// halved for each such period without a success.
constexpr double kLatencyHalfLifeUs = 5e6;

double EstimateLatencyUs(TimePoint now, const EndpointStats& stats) {
  const auto idle_us = static_cast<double>((now - stats.last_success).count());
  return static_cast<double>(stats.expected_latency.count()) *
         std::exp2(-idle_us / kLatencyHalfLifeUs);
}

double EstimateCost(const EndpointStats& stats, double latency_us) {
  return (stats.in_flight + 1) * latency_us;
}

}  // namespace

size_t RoundRobin::Select(TimePoint /*now*/, const Candidates& candidates, Random& /*random*/) {
  return next_++ % candidates.size();
}

size_t LeastInFlight::Select(TimePoint /*now*/, const Candidates& candidates, Random& random) {
  size_t best = 0;
  uint64_t ties = 1;
  for (size_t i = 1; i < candidates.size(); ++i) {
    if (candidates[i]->in_flight < candidates[best]->in_flight) {
      best = i;
      ties = 1;
    } else if (candidates[i]->in_flight == candidates[best]->in_flight &&
               random.NextBelow(++ties) == 0) {
      best = i;
    }
  }
  return best;
}

size_t PowerOfTwo::Select(TimePoint now, const Candidates& candidates, Random& random) {
  const size_t first = random.NextBelow(candidates.size());
  if (candidates.size() == 1) {
    return first;
  }
  const size_t second = (first + 1 + random.NextBelow(candidates.size() - 1)) % candidates.size();
  double first_latency = EstimateLatencyUs(now, *candidates[first]);
  double second_latency = EstimateLatencyUs(now, *candidates[second]);
  // An endpoint without a success so far is assumed to be as fast as the other one.
  if (first_latency <= 0) {
    first_latency = second_latency > 0 ? second_latency : 1;
  }
  if (second_latency <= 0) {
    second_latency = first_latency;
  }
  return EstimateCost(*candidates[second], second_latency) <
                 EstimateCost(*candidates[first], first_latency)
             ? second
             : first;
}

std::unique_ptr<SelectionStrategy> MakeSelectionStrategy(SelectionKind kind) {
  switch (kind) {
    case SelectionKind::kRoundRobin:
      return std::make_unique<RoundRobin>();
    case SelectionKind::kLeastInFlight:
      return std::make_unique<LeastInFlight>();
    case SelectionKind::kPowerOfTwo:
      break;
  }
  return std::make_unique<PowerOfTwo>();
}

}  // namespace limpet
