#include "limpet/net/clock.h"

namespace limpet {

TimePoint MonotonicNow() {
  return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

}  // namespace limpet
