#ifndef LIMPET_MEMBERSHIP_PROBE_SCHEDULER_H_
#define LIMPET_MEMBERSHIP_PROBE_SCHEDULER_H_

#include <string>
#include <string_view>
#include <vector>

#include "limpet/core/random.h"
#include "membership/member_table.h"

namespace limpet {

/// Selects the members of one data centre in shuffled round-robin order. Unlike a random choice,
/// this limits the time until each member is probed.
class ProbeScheduler {
 public:
  /// Returns the next member to probe, never `self`; null if there is none.
  const Member* Next(const MemberTable& table,
                     std::string_view data_centre,
                     std::string_view self,
                     Random& random);

 private:
  void StartRound(const std::vector<const Member*>& live, std::string_view self, Random& random);

  /// Members still to be probed in this round; the last element is probed next.
  std::vector<std::string> remaining_;
};

/// Returns up to `count` distinct members in random order, none of them named in `excluded`.
std::vector<const Member*> PickRandom(const std::vector<const Member*>& members,
                                      int count,
                                      const std::vector<std::string_view>& excluded,
                                      Random& random);

}  // namespace limpet

#endif  // LIMPET_MEMBERSHIP_PROBE_SCHEDULER_H_
