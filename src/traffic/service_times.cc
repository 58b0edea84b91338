#include "limpet/traffic/service_times.h"

namespace limpet {

namespace {

/// Without a sample for this long a slow target may have recovered, so it is tried again.
constexpr Duration kFreshFor = std::chrono::seconds(2);
/// Routes come and go with the configuration; a mesh has a few hundred at a time.
constexpr size_t kMaxRoutes = 4096;

}  // namespace

void ServiceTimes::Move(double& average, double sample) const {
  average = average == 0 ? sample : average + sample_weight_ * (sample - average);
}

void ServiceTimes::Record(TimePoint now, const std::string& route, Duration service_time) {
  if (by_route_us_.size() >= kMaxRoutes) {
    by_route_us_.clear();
  }
  const auto sample = static_cast<double>(service_time.count());
  Move(by_route_us_[route], sample);
  Move(average_us_, sample);
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
  return average_us_ > 0 && now - last_sample_ <= kFreshFor;
}

void ServiceTimes::Clear() {
  *this = ServiceTimes(sample_weight_);
}

}  // namespace limpet
