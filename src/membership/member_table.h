#ifndef LIMPET_MEMBERSHIP_MEMBER_TABLE_H_
#define LIMPET_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "limpet/core/time.h"
#include "membership/bucket_digest.h"
#include "membership/member_order.h"

namespace limpet {

struct Member {
  wire::MemberRecord record;
  /// When this node stored the current state and the current record.
  TimePoint state_since;
  TimePoint changed_at;
  uint64_t rendezvous_hash = 0;
};

/// All known members, indexed by name and by data centre. Pointers to members stay valid until the
/// member is removed.
class MemberTable {
 public:
  /// Stores the record if the member is unknown or the record supersedes the known one. Returns
  /// true if it was stored.
  bool Apply(TimePoint now, const wire::MemberRecord& record);
  /// Removes members that have been dead or left since before `limit`.
  void ExpireTombstones(TimePoint limit);
  /// Sets `state_since` of every suspect member to `now`.
  void RestartSuspicionTimers(TimePoint now);

  /// Null if unknown.
  const Member* Find(std::string_view name) const;
  const std::map<std::string, Member, std::less<>>& members() const { return members_; }

  /// Alive and suspect members of a data centre, sorted by name; valid until the next change.
  const std::vector<const Member*>& Live(std::string_view data_centre) const;
  /// The 2 live members of a data centre with the highest rendezvous hash.
  const std::vector<const Member*>& Gateways(std::string_view data_centre) const;
  std::vector<std::string> DataCentres() const;

  /// Names of the suspect members.
  const std::set<std::string, std::less<>>& suspects() const { return suspects_; }
  /// Names of the dead and left members.
  const std::set<std::string, std::less<>>& tombstones() const { return tombstones_; }
  const BucketDigest& digest() const { return digest_; }
  /// Changes whenever a record changes.
  uint64_t generation() const { return generation_; }
  int live_count() const { return live_count_; }

 private:
  struct DataCentre {
    std::vector<const Member*> members;
    mutable std::vector<const Member*> live;
    mutable std::vector<const Member*> gateways;
    mutable bool is_stale = true;
  };

  void AddToIndexes(const Member& member);
  void RemoveFromIndexes(const Member& member);
  void AddToDataCentre(const Member& member);
  void RemoveFromDataCentre(const Member& member);
  const DataCentre& RefreshDataCentre(std::string_view name) const;

  std::map<std::string, Member, std::less<>> members_;
  std::map<std::string, DataCentre, std::less<>> data_centres_;
  std::set<std::string, std::less<>> suspects_;
  std::set<std::string, std::less<>> tombstones_;
  BucketDigest digest_;
  uint64_t generation_ = 0;
  int live_count_ = 0;
};

}  // namespace limpet

#endif  // LIMPET_MEMBERSHIP_MEMBER_TABLE_H_
