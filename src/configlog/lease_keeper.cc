#include "limpet/configlog/lease_keeper.h"

#include <utility>

namespace limpet {

LeaseKeeper::LeaseKeeper(std::string lease, std::string holder)
    : lease_(std::move(lease)), holder_(std::move(holder)) {}

wire::LeaseClaim LeaseKeeper::MakeClaim(int64_t incarnation) const {
  wire::LeaseClaim claim;
  claim.lease = lease_;
  claim.holder = holder_;
  claim.incarnation = incarnation;
  return claim;
}

bool LeaseKeeper::ShouldClaim(TimePoint now,
                              const LeaseTable& table,
                              int64_t incarnation,
                              int rank,
                              TimePoint table_synced_at) const {
  if (FindToken(table, incarnation) != 0) {
    return now - table.Find(lease_)->read_at >= kRenewInterval;
  }
  const LeaseEntry* entry = table.Find(lease_);
  if (entry == nullptr) {
    return now - table_synced_at >= rank * kRankDelay;
  }
  return now - entry->read_at >= kLeaseDuration + rank * kRankDelay;
}

int64_t LeaseKeeper::FindToken(const LeaseTable& table, int64_t incarnation) const {
  const LeaseEntry* entry = table.Find(lease_);
  const bool is_own =
      entry != nullptr && entry->holder == holder_ && entry->incarnation == incarnation;
  return is_own ? entry->token : 0;
}

}  // namespace limpet
