#ifndef LIMPET_TRAFFIC_ENDPOINT_STATS_H_
#define LIMPET_TRAFFIC_ENDPOINT_STATS_H_

#include "limpet/core/time.h"
#include "limpet/membership/endpoint_view.h"
#include "limpet_types.h"

namespace limpet {

/// What one caller node knows of one endpoint from its own calls.
struct EndpointStats {
  Endpoint endpoint;
  int in_flight = 0;
  /// Moving average over replies that ran; 0 until the first one.
  Duration expected_latency{0};
  /// Last load that the endpoint reported with a reply.
  wire::LoadReport load;
  TimePoint load_time{};
  /// Connection failures, timeouts and unavailable targets since the last answer.
  int failures = 0;
  TimePoint failed_at{};
  /// Until then the endpoint is avoided because of `failures`.
  TimePoint avoid_until{};
  /// Until then the endpoint is avoided because it refused for overload.
  TimePoint overloaded_until{};
  TimePoint last_success{};
  bool has_succeeded = false;
  /// Start of the slow start; meaningful while `slow_start` is set.
  TimePoint appeared{};
  bool slow_start = false;
  bool in_view = true;
};

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_ENDPOINT_STATS_H_
