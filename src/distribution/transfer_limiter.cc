#include "limpet/distribution/transfer_limiter.h"

#include <algorithm>

namespace limpet {

std::optional<Duration> TransferLimiter::Admit(TimePoint now, const std::string& requester) {
  std::erase_if(slots_,
                [&](const Slot& slot) { return slot.until <= now || slot.requester == requester; });
  if (slots_.size() < kMaxTransfers) {
    slots_.push_back({requester, now + kSlotTime});
    return std::nullopt;
  }
  const TimePoint next = std::ranges::min_element(slots_, {}, &Slot::until)->until;
  // The random time keeps refused requesters from all asking again at the same moment.
  return (next - now) + Duration(static_cast<Duration::rep>(
                            random_.NextBelow(static_cast<uint64_t>(2 * kSlotTime.count()))));
}

void TransferLimiter::Finish(std::string_view requester) {
  std::erase_if(slots_, [&](const Slot& slot) { return slot.requester == requester; });
}

}  // namespace limpet
