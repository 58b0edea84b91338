#include "membership/probe_scheduler.h"

#include <algorithm>
#include <utility>

namespace limpet {

const Member* ProbeScheduler::Next(const MemberTable& table,
                                   std::string_view data_centre,
                                   std::string_view self,
                                   Random& random) {
  for (const bool is_new_round : {false, true}) {
    if (is_new_round) {
      StartRound(table.Live(data_centre), self, random);
    }
    while (!remaining_.empty()) {
      const Member* member = table.Find(remaining_.back());
      remaining_.pop_back();
      if (member != nullptr && IsLive(member->record) &&
          member->record.data_centre == data_centre) {
        return member;
      }
    }
  }
  return nullptr;
}

void ProbeScheduler::StartRound(const std::vector<const Member*>& live,
                                std::string_view self,
                                Random& random) {
  for (const Member* member : PickRandom(live, static_cast<int>(live.size()), {self}, random)) {
    remaining_.push_back(member->record.name);
  }
}

std::vector<const Member*> PickRandom(const std::vector<const Member*>& members,
                                      int count,
                                      const std::vector<std::string_view>& excluded,
                                      Random& random) {
  std::vector<const Member*> pool = members;
  std::erase_if(pool, [&](const Member* member) {
    return std::ranges::find(excluded, member->record.name) != excluded.end();
  });
  const auto picked_count = std::min(pool.size(), static_cast<std::size_t>(std::max(count, 0)));
  // Partial Fisher-Yates shuffle. The result of std::shuffle differs between standard libraries.
  for (std::size_t i = 0; i < picked_count; ++i) {
    std::swap(pool[i], pool[i + random.NextBelow(pool.size() - i)]);
  }
  pool.resize(picked_count);
  return pool;
}

}  // namespace limpet
