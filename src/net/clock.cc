#include "limpet/net/clock.h"

#include <ctime>

namespace limpet {

TimePoint MonotonicNow() {
  // CLOCK_BOOTTIME includes the time during which a VM is suspended. Deadlines and leases that
  // expire during the suspension are therefore expired when the VM resumes.
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(now.tv_sec) +
                                                        std::chrono::nanoseconds(now.tv_nsec)));
}

int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace limpet
