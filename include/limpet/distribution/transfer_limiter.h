#ifndef LIMPET_DISTRIBUTION_TRANSFER_LIMITER_H_
#define LIMPET_DISTRIBUTION_TRANSFER_LIMITER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "limpet/core/random.h"
#include "limpet/core/time.h"

namespace limpet {

/// Limits the checkpoint transfers that this node serves at the same time, so that many nodes that
/// reconnect together do not use up its memory and bandwidth.
class TransferLimiter {
 public:
  static constexpr std::size_t kMaxTransfers = 4;
  /// A slot is free again after this time, or when the requester reports that it has the version.
  static constexpr Duration kSlotTime = std::chrono::milliseconds(500);

  explicit TransferLimiter(Random random) : random_(random) {}

  /// Assigns a slot to the requester and returns nullopt; if no slot is free, returns the time to
  /// wait before the next request. A requester has at most one slot.
  std::optional<Duration> Admit(TimePoint now, const std::string& requester);
  /// Frees the slot of the requester, if it has one.
  void Finish(std::string_view requester);

 private:
  struct Slot {
    std::string requester;
    TimePoint until;
  };

  Random random_;
  std::vector<Slot> slots_;
};

}  // namespace limpet

#endif  // LIMPET_DISTRIBUTION_TRANSFER_LIMITER_H_
