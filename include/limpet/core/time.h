#ifndef LIMPET_CORE_TIME_H_
#define LIMPET_CORE_TIME_H_

#include <chrono>

namespace limpet {

/// The unit of every duration in the library is the microsecond.
using Duration = std::chrono::microseconds;

/// Time of a monotonic clock. Only the difference of two time points is meaningful; time points of
/// different processes must not be compared.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Returns `duration` times `factor`, rounded towards zero.
constexpr Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

}  // namespace limpet

#endif  // LIMPET_CORE_TIME_H_
