#ifndef LIMPET_TRAFFIC_SERVICE_TIMES_H_
#define LIMPET_TRAFFIC_SERVICE_TIMES_H_

#include <string>
#include <unordered_map>

#include "limpet/core/time.h"

namespace limpet {

/// Taken for a target or service without a sample: close to a typical request, so that a target
/// that has just appeared is neither avoided nor preferred.
inline constexpr Duration kAssumedServiceTime = std::chrono::milliseconds(100);

/// Moving averages of the time that requests take at one target, by route and over all. Not safe
/// for concurrent use.
class ServiceTimes {
 public:
  /// `sample_weight` is the weight of a new sample, above 0 and at most 1. The default follows a
  /// target that becomes slow within about ten requests.
  explicit ServiceTimes(double sample_weight = 0.1) : sample_weight_(sample_weight) {}

  void Record(TimePoint now, const std::string& route, Duration service_time);

  /// Expected time of one request of `route`; the average over all routes for an unknown one, 0
  /// before the first sample.
  Duration Estimate(const std::string& route) const;
  /// The same without a fallback: 0 for a route without a sample.
  Duration AverageOfRoute(const std::string& route) const;
  Duration average() const { return Duration(static_cast<int64_t>(average_us_)); }
  /// False if the last sample is too old to tell how fast the target is now.
  bool IsFresh(TimePoint now) const;
  void Clear();

 private:
  void Move(double& average, double sample) const;

  double sample_weight_;
  std::unordered_map<std::string, double> by_route_us_;
  double average_us_ = 0;
  TimePoint last_sample_{};
};

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_SERVICE_TIMES_H_
