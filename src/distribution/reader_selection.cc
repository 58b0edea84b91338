#include "limpet/distribution/reader_selection.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace limpet {
namespace {

/// Returns the `kReadersPerDataCentre` highest-ranked alive members and the suspect members ranked
/// above them. A suspect member may be dead, so it is not counted; if it is alive, it keeps
/// reading. The two additional candidates allow for two suspect members at the same time.
std::vector<wire::MemberRecord> SelectReaders(const Membership& membership,
                                              std::string_view data_centre) {
  std::vector<wire::MemberRecord> ranked =
      membership.TopByRendezvous(kReadersPerDataCentre + 2, data_centre);
  std::vector<wire::MemberRecord> readers;
  int alive = 0;
  for (wire::MemberRecord& member : ranked) {
    if (alive == kReadersPerDataCentre) {
      break;
    }
    alive += member.state == wire::MemberState::kAlive ? 1 : 0;
    readers.push_back(std::move(member));
  }
  return readers;
}

}  // namespace

void ReaderSelection::Refresh(TimePoint now, const Membership& membership) {
  if (now < next_refresh_) {
    return;
  }
  next_refresh_ = now + kRefreshInterval;
  readers_ = SelectReaders(membership, membership.local().data_centre);
  const auto self = std::ranges::find(readers_, membership.local().name, &wire::MemberRecord::name);
  is_reader_ = self != readers_.end();
  status_rank_ = static_cast<int>(self - readers_.begin());
  checkpoint_rank_ = is_reader_ ? ComputeCheckpointRank(membership) : 0;
}

int ReaderSelection::ComputeCheckpointRank(const Membership& membership) const {
  const auto key = [](const wire::MemberRecord& member) {
    return std::pair(XXH3_64bits(member.name.data(), member.name.size()), member.name);
  };
  const auto own = key(membership.local());
  int rank = 0;
  for (const std::string& data_centre : membership.DataCentres()) {
    for (const wire::MemberRecord& member : SelectReaders(membership, data_centre)) {
      rank += key(member) < own ? 1 : 0;
    }
  }
  return rank;
}

}  // namespace limpet
