#ifndef LIMPET_MEMBERSHIP_RENDEZVOUS_H_
#define LIMPET_MEMBERSHIP_RENDEZVOUS_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "membership/member_table.h"

namespace limpet {

/// Rendezvous (highest-random-weight) hash of a member. Does not depend on the order in which
/// members became known, so that all nodes with the same table select the same members.
uint64_t RendezvousHash(std::string_view name, std::string_view data_centre);

/// Returns the `count` members with the highest hash, highest first.
std::vector<const Member*> TopByHash(const std::vector<const Member*>& members, int count);

}  // namespace limpet

#endif  // LIMPET_MEMBERSHIP_RENDEZVOUS_H_
