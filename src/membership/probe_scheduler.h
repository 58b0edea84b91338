#ifndef LIMPET_MEMBERSHIP_PROBE_SCHEDULER_H_
#define LIMPET_MEMBERSHIP_PROBE_SCHEDULER_H_

#include <string>
#include <string_view>
#include <vector>

#include "limpet/core/random.h"
#include "membership/member_table.h"

namespace limpet {

/// Shuffled round robin over the members of one data centre. Bounds the time until a member is
/// probed, which a random choice does not.
class ProbeScheduler {
 public:
  /// Next member to probe, never `self`; null if there is none.
  const Member* Next(const MemberTable& table,
                     std::string_view data_centre,
                     std::string_view self,
                     Random& random);

 private:
  void StartRound(const std::vector<const Member*>& live, std::string_view self, Random& random);

  /// Members still to probe in this round, the next one last.
  std::vector<std::string> remaining_;
};

/// Up to `count` distinct members in random order, without the names in `excluded`.
std::vector<const Member*> PickRandom(const std::vector<const Member*>& members,
                                      int count,
                                      const std::vector<std::string_view>& excluded,
                                      Random& random);

}  // namespace limpet

#endif  // LIMPET_MEMBERSHIP_PROBE_SCHEDULER_H_
