#ifndef LIMPET_CONFIGLOG_LEASE_KEEPER_H_
#define LIMPET_CONFIGLOG_LEASE_KEEPER_H_

#include <cstdint>
#include <string>

#include "limpet/configlog/system_replay.h"
#include "limpet/core/time.h"

namespace limpet {

/// Decides when one node claims one lease. Time decides only that; who holds the lease is decided
/// by the order of claims in the stream.
class LeaseKeeper {
 public:
  static constexpr Duration kLeaseDuration = std::chrono::seconds(10);
  static constexpr Duration kRenewInterval = std::chrono::seconds(3);
  /// Additional wait of a candidate for each better ranked one.
  static constexpr Duration kRankDelay = std::chrono::seconds(1);

  LeaseKeeper(std::string lease, std::string holder);

  const std::string& lease() const { return lease_; }
  wire::LeaseClaim Claim(int64_t incarnation) const;

  /// `table` reflects the whole stream as of a moment ago; `table_since` is when it first did.
  bool ShouldClaim(TimePoint now,
                   const LeaseTable& table,
                   int64_t incarnation,
                   int rank,
                   TimePoint table_since) const;
  /// Fencing token of this node's claim if that is the last one; 0 otherwise.
  int64_t Token(const LeaseTable& table, int64_t incarnation) const;

 private:
  std::string lease_;
  std::string holder_;
};

}  // namespace limpet

#endif  // LIMPET_CONFIGLOG_LEASE_KEEPER_H_
