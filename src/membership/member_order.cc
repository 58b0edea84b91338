#include "membership/member_order.h"

#include <tuple>

namespace limpet {

using wire::MemberRecord;
using wire::MemberState;
using wire::TargetState;

bool IsLive(const MemberRecord& record) {
  return record.state == MemberState::kAlive || record.state == MemberState::kSuspect;
}

bool IsNewer(const MemberRecord& a, const MemberRecord& b) {
  return std::tie(a.incarnation, a.sequence, a.state) >
         std::tie(b.incarnation, b.sequence, b.state);
}

bool IsWellFormed(const MemberRecord& record) {
  return !record.name.empty() && !record.data_centre.empty() && record.incarnation >= 0 &&
         record.sequence >= 0 && record.state >= MemberState::kAlive &&
         record.state <= MemberState::kDead && record.target_state >= TargetState::kStarting &&
         record.target_state <= TargetState::kDown && record.port >= 0 && record.port <= 65535;
}

int MaxEncodedSize(const MemberRecord& record) {
  // Nine field headers, the stop field, variable-length integers of 10, 5, 1, 1 and 3 bytes and
  // four string lengths of at most 2 bytes.
  constexpr int kFixedBytes = 9 + 1 + 20 + 8;
  return kFixedBytes + static_cast<int>(record.name.size() + record.data_centre.size() +
                                        record.service_name.size() + record.host.size());
}

}  // namespace limpet
