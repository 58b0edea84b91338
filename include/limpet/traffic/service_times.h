#ifndef LIMPET_TRAFFIC_SERVICE_TIMES_H_
#define LIMPET_TRAFFIC_SERVICE_TIMES_H_

#include <string>
#include <unordered_map>

#include "limpet/core/time.h"

namespace limpet {

/// Service time assumed for a target or service without a sample. It is close to that of a typical
/// request, so that a new target is neither avoided nor preferred.
inline constexpr Duration kAssumedServiceTime = std::chrono::milliseconds(100);

/// Moving averages of service times, by route and over all routes. Not safe for concurrent use.
class ServiceTimes {
 public:
  /// `sample_weight` is the weight of a new sample, above 0 and at most 1. The default follows a
  /// target that becomes slow within about ten requests.
  explicit ServiceTimes(double sample_weight = 0.1) : sample_weight_(sample_weight) {}

  void Record(TimePoint now, const std::string& route, Duration service_time);

  /// Expected service time of a request of `route`. For a route without a sample it is the average
  /// over all routes; 0 before the first sample.
  Duration Estimate(const std::string& route) const;
  /// Average of `route`; 0 for a route without a sample.
  Duration AverageOfRoute(const std::string& route) const;
  /// Average over all routes; 0 before the first sample.
  Duration average() const { return Duration(static_cast<int64_t>(average_us_)); }
  /// Returns false without a sample or if the last one is too old to represent the current speed.
  bool IsFresh(TimePoint now) const;
  void Clear();

 private:
  void UpdateAverage(double& average, double sample) const;

  double sample_weight_;
  std::unordered_map<std::string, double> by_route_us_;
  double average_us_ = 0;
  TimePoint last_sample_{};
};

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_SERVICE_TIMES_H_
