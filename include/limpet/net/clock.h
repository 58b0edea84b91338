#ifndef LIMPET_NET_CLOCK_H_
#define LIMPET_NET_CLOCK_H_

#include <cstdint>

#include "limpet/core/time.h"

namespace limpet {

/// Reads the monotonic clock. Only code that performs I/O calls this; decision logic receives the
/// time as an argument.
TimePoint MonotonicNow();

/// Returns the wall-clock time in Unix milliseconds. The wall clock may jump, so deadlines and
/// leases use `MonotonicNow`.
int64_t UnixMs();

}  // namespace limpet

#endif  // LIMPET_NET_CLOCK_H_
