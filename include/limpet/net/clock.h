#ifndef LIMPET_NET_CLOCK_H_
#define LIMPET_NET_CLOCK_H_

#include "limpet/core/time.h"

namespace limpet {

/// The monotonic clock of this machine. Only shells read it; deciding code gets the time as an
/// argument.
TimePoint MonotonicNow();

}  // namespace limpet

#endif  // LIMPET_NET_CLOCK_H_
