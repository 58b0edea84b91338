#ifndef LIMPET_CORE_TIME_H_
#define LIMPET_CORE_TIME_H_

#include <chrono>

namespace limpet {

/// Microseconds; the unit of every duration in the library.
using Duration = std::chrono::microseconds;

/// A point on a monotonic clock. Only differences have a meaning; points of different processes are
/// never compared.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// `duration` times `factor`, rounded towards zero.
constexpr Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

}  // namespace limpet

#endif  // LIMPET_CORE_TIME_H_
