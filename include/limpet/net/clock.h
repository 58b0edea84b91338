#ifndef LIMPET_NET_CLOCK_H_
#define LIMPET_NET_CLOCK_H_

#include <cstdint>

#include "limpet/core/time.h"

namespace limpet {

/// The monotonic clock of this machine. Only shells read it; deciding code gets the time as an
/// argument.
TimePoint MonotonicNow();

/// The time of day in Unix milliseconds. It may jump; deadlines and leases use `MonotonicNow`.
int64_t UnixMs();

}  // namespace limpet

#endif  // LIMPET_NET_CLOCK_H_
