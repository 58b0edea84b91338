#ifndef LIMPET_CONFIGLOG_LEASE_KEEPER_H_
#define LIMPET_CONFIGLOG_LEASE_KEEPER_H_

#include <cstdint>
#include <string>

#include "limpet/configlog/system_replay.h"
#include "limpet/core/time.h"

namespace limpet {

/// Decides when this node claims or renews one lease. Only the time of a claim depends on a clock;
/// the holder is the node whose claim is the last one in the stream.
class LeaseKeeper {
 public:
  static constexpr Duration kLeaseDuration = std::chrono::seconds(10);
  static constexpr Duration kRenewInterval = std::chrono::seconds(3);
  /// A candidate waits this much longer for each candidate that ranks before it.
  static constexpr Duration kRankDelay = std::chrono::seconds(1);

  LeaseKeeper(std::string lease, std::string holder);

  const std::string& lease() const { return lease_; }
  wire::LeaseClaim MakeClaim(int64_t incarnation) const;

  /// `table` must contain the claims up to the current end of the stream; `table_synced_at` is the
  /// time when it first did.
  bool ShouldClaim(TimePoint now,
                   const LeaseTable& table,
                   int64_t incarnation,
                   int rank,
                   TimePoint table_synced_at) const;
  /// Returns the fencing token of this node's claim if it is the last claim of the lease; 0
  /// otherwise.
  int64_t FindToken(const LeaseTable& table, int64_t incarnation) const;

 private:
  std::string lease_;
  std::string holder_;
};

}  // namespace limpet

#endif  // LIMPET_CONFIGLOG_LEASE_KEEPER_H_
