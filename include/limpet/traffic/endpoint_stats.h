#ifndef LIMPET_TRAFFIC_ENDPOINT_STATS_H_
#define LIMPET_TRAFFIC_ENDPOINT_STATS_H_

#include "limpet/core/time.h"
#include "limpet/membership/endpoint_view.h"
#include "limpet_types.h"

namespace limpet {

/// Statistics of one endpoint from the calls of this node.
struct EndpointStats {
  Endpoint endpoint;
  int in_flight = 0;
  /// Moving average over attempts that ran; 0 before the first one.
  Duration expected_latency{0};
  /// Latest load that the endpoint reported in a reply, and the time when it was received.
  wire::LoadReport load;
  TimePoint load_time{};
  /// Failed attempts since the last success: lost connection, timeout, truncated reply, unavailable
  /// target, draining or wrong incarnation.
  int failures = 0;
  TimePoint last_failure{};
  /// End of the avoidance after `failures`.
  TimePoint avoid_until{};
  /// End of the avoidance after a refusal because of overload.
  TimePoint overloaded_until{};
  TimePoint last_success{};
  bool has_succeeded = false;
  /// Time at which the slow start began; only meaningful if `slow_start` is true.
  TimePoint slow_start_time{};
  bool slow_start = false;
  bool in_view = true;
};

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_ENDPOINT_STATS_H_
