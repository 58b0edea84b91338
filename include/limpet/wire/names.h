#ifndef LIMPET_WIRE_NAMES_H_
#define LIMPET_WIRE_NAMES_H_

#include "limpet/core/enum_names.h"
#include "limpet_types.h"

namespace limpet {

/// Names of the refusal reasons, for logs and responses.
inline constexpr EnumNames<wire::RefusalReason::type, 16> kRefusalReasonNames = {{
    {wire::RefusalReason::kNone, "none"},
    {wire::RefusalReason::kOverloaded, "overloaded"},
    {wire::RefusalReason::kQueueTimeout, "queue_timeout"},
    {wire::RefusalReason::kDraining, "draining"},
    {wire::RefusalReason::kDeadlinePassed, "deadline_passed"},
    {wire::RefusalReason::kDuplicate, "duplicate"},
    {wire::RefusalReason::kWrongIncarnation, "wrong_incarnation"},
    {wire::RefusalReason::kTargetUnavailable, "target_unavailable"},
    {wire::RefusalReason::kNoEndpoint, "no_endpoint"},
    {wire::RefusalReason::kNoRoute, "no_route"},
    {wire::RefusalReason::kCallerShare, "caller_share"},
    {wire::RefusalReason::kTruncatedReply, "truncated_reply"},
    {wire::RefusalReason::kTargetTimeout, "target_timeout"},
    {wire::RefusalReason::kConnectionLost, "connection_lost"},
    {wire::RefusalReason::kCancelled, "cancelled"},
    {wire::RefusalReason::kNotReady, "not_ready"},
}};

}  // namespace limpet

#endif  // LIMPET_WIRE_NAMES_H_
