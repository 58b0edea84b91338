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

/// Bounds the checkpoint transfers that this node serves at once, so that a reconnect storm does
/// not take its memory and bandwidth.
class TransferLimiter {
 public:
  static constexpr std::size_t kMaxTransfers = 4;
  /// A slot is free again after this long, or when the requester is heard to have the version.
  static constexpr Duration kSlotTime = std::chrono::milliseconds(500);

  explicit TransferLimiter(Random random) : random_(random) {}

  /// Takes a slot for the requester. Otherwise returns when to ask again.
  std::optional<Duration> Admit(TimePoint now, const std::string& requester);
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
