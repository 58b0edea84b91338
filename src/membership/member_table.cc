#include "membership/member_table.h"

#include <algorithm>
#include <utility>

#include "membership/rendezvous.h"

namespace limpet {
namespace {

constexpr int kGatewayCount = 2;

}  // namespace

bool MemberTable::Apply(TimePoint now, const wire::MemberRecord& record) {
  const auto it = members_.find(record.name);
  if (it == members_.end()) {
    Member& member = members_[record.name];
    member = {record, now, now, RendezvousHash(record.name, record.data_centre)};
    AddToDataCentre(member);
    AddToIndexes(member);
    return true;
  }
  Member& member = it->second;
  if (!IsNewer(record, member.record)) {
    return false;
  }
  RemoveFromIndexes(member);
  const bool has_moved = record.data_centre != member.record.data_centre;
  if (has_moved) {
    RemoveFromDataCentre(member);
  }
  if (record.state != member.record.state) {
    member.state_since = now;
  }
  member.changed_at = now;
  member.record = record;
  if (has_moved) {
    member.rendezvous_hash = RendezvousHash(record.name, record.data_centre);
    AddToDataCentre(member);
  }
  AddToIndexes(member);
  return true;
}

void MemberTable::ExpireTombstones(TimePoint limit) {
  for (auto it = tombstones_.begin(); it != tombstones_.end();) {
    const Member& member = members_.find(*it)->second;
    ++it;
    if (member.state_since < limit) {
      RemoveFromIndexes(member);
      RemoveFromDataCentre(member);
      members_.erase(members_.find(member.record.name));
    }
  }
}

void MemberTable::RestartSuspicionTimers(TimePoint now) {
  for (const std::string& name : suspects_) {
    members_.find(name)->second.state_since = now;
  }
}

const Member* MemberTable::Find(std::string_view name) const {
  const auto it = members_.find(name);
  return it == members_.end() ? nullptr : &it->second;
}

const std::vector<const Member*>& MemberTable::Live(std::string_view data_centre) const {
  return RefreshDataCentre(data_centre).live;
}

const std::vector<const Member*>& MemberTable::Gateways(std::string_view data_centre) const {
  return RefreshDataCentre(data_centre).gateways;
}

std::vector<std::string> MemberTable::DataCentres() const {
  std::vector<std::string> names;
  for (const auto& [name, data_centre] : data_centres_) {
    names.push_back(name);
  }
  return names;
}

void MemberTable::AddToIndexes(const Member& member) {
  const wire::MemberRecord& record = member.record;
  if (!IsLive(record)) {
    tombstones_.insert(record.name);
  } else {
    ++live_count_;
  }
  if (record.state == wire::MemberState::kSuspect) {
    suspects_.insert(record.name);
  }
  digest_.Toggle(record);
  ++generation_;
  data_centres_.find(record.data_centre)->second.is_stale = true;
}

void MemberTable::RemoveFromIndexes(const Member& member) {
  const wire::MemberRecord& record = member.record;
  if (!IsLive(record)) {
    tombstones_.erase(record.name);
  } else {
    --live_count_;
  }
  suspects_.erase(record.name);
  digest_.Toggle(record);
  ++generation_;
  data_centres_.find(record.data_centre)->second.is_stale = true;
}

void MemberTable::AddToDataCentre(const Member& member) {
  data_centres_[member.record.data_centre].members.push_back(&member);
}

void MemberTable::RemoveFromDataCentre(const Member& member) {
  const auto it = data_centres_.find(member.record.data_centre);
  std::erase(it->second.members, &member);
  if (it->second.members.empty()) {
    data_centres_.erase(it);
  }
}

const MemberTable::DataCentre& MemberTable::RefreshDataCentre(std::string_view name) const {
  static const DataCentre kNone;
  const auto it = data_centres_.find(name);
  if (it == data_centres_.end()) {
    return kNone;
  }
  const DataCentre& data_centre = it->second;
  if (data_centre.is_stale) {
    data_centre.live.clear();
    std::ranges::copy_if(data_centre.members, std::back_inserter(data_centre.live),
                         [](const Member* member) { return IsLive(member->record); });
    std::ranges::sort(data_centre.live, {}, [](const Member* member) -> const std::string& {
      return member->record.name;
    });
    data_centre.gateways = TopByHash(data_centre.live, kGatewayCount);
    data_centre.is_stale = false;
  }
  return data_centre;
}

}  // namespace limpet
