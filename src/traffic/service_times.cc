#include "limpet/traffic/service_times.h"

namespace limpet {

namespace {

/// A slow target without a sample for this long may have recovered, so it should get requests
/// again.
constexpr Duration kMaxSampleAge = std::chrono::seconds(2);
/// Bounds the memory for routes that the configuration no longer has; a mesh has a few hundred at a
/// time. At the limit, the averages of all routes are dropped.
constexpr size_t kMaxRoutes = 4096;

}  // namespace

void ServiceTimes::UpdateAverage(double& average, double sample) const {
  average = average == 0 ? sample : average + sample_weight_ * (sample - average);
}

void ServiceTimes::Record(TimePoint now, const std::string& route, Duration service_time) {
  if (by_route_us_.size() >= kMaxRoutes) {
    by_route_us_.clear();
  }
  const auto sample = static_cast<double>(service_time.count());
  UpdateAverage(by_route_us_[route], sample);
  UpdateAverage(average_us_, sample);
  last_sample_ = now;
}

Duration ServiceTimes::Estimate(const std::string& route) const {
  const Duration time = AverageOfRoute(route);
  return time > Duration(0) ? time : average();
}

Duration ServiceTimes::AverageOfRoute(const std::string& route) const {
  const auto found = by_route_us_.find(route);
  return found == by_route_us_.end() ? Duration(0) : Duration(static_cast<int64_t>(found->second));
}

bool ServiceTimes::IsFresh(TimePoint now) const {
  return average_us_ > 0 && now - last_sample_ <= kMaxSampleAge;
}

void ServiceTimes::Clear() {
  *this = ServiceTimes(sample_weight_);
}

}  // namespace limpet
