#ifndef LIMPET_MEMBERSHIP_MEMBER_ORDER_H_
#define LIMPET_MEMBERSHIP_MEMBER_ORDER_H_

#include "limpet_types.h"

namespace limpet {

/// True if the member is alive or suspect.
bool IsLive(const wire::MemberRecord& record);

/// True if `a` supersedes `b`. Both are records of the same member.
bool IsNewer(const wire::MemberRecord& a, const wire::MemberRecord& b);

/// False for a record that a correct node cannot have sent.
bool IsWellFormed(const wire::MemberRecord& record);

/// Upper bound of the serialised size in bytes.
int MaxEncodedSize(const wire::MemberRecord& record);

}  // namespace limpet

#endif  // LIMPET_MEMBERSHIP_MEMBER_ORDER_H_
