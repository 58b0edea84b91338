#ifndef LIMPET_CORE_FAULT_H_
#define LIMPET_CORE_FAULT_H_

#include "limpet/core/enum_names.h"

namespace limpet {

/// Faults for mutation testing: `scripts/mutation-check` activates one at a time and expects that a
/// test fails. They are compiled in only with the CMake option LIMPET_FAULTS.
enum class Fault {
  kNone,
  kSkipBaseCheck,
  kAcceptOlderVersion,
  kSwapBeforeValidate,
  kSkipClosureCheck,
  kSkipFence,
  kSkipRepair,
  kReadyTooEarly,
  kSkipRefutation,
  kForgetLeaving,
  kRetryUnknown,
  kSkipDeduplication,
  kSkipIncarnationCheck,
  kFalseNotRun,
  kSkipAttemptMatch,
  kAcceptTruncated,
  kAdmitWhileDraining,
  kCutInFlightOnStop,
  kWaitForLostResponse,
  kKeepStuckReader,
  kWaitForHandshake,
  kDeliverLastRecord,
  kAcceptResponseWithoutId,
  kAcceptUntilGraceEnds,
  kAcceptMisplacedBody,
  kUseUnconfirmedTarget,
  kTrustEarlierCheck,
  kSkipCallerMemory,
  kSkipResponseCheck,
  kAcceptResponseAfterError,
  kSkipKnowledgeCheck,
  kAdoptUnknownKnowledge,
  kIgnoreStoreEpoch,
  kRequireConfiguration,  // nothing but a configuration is evidence for an epoch
  kKeepCallersAccount,
  kKeepLastSharedEntry,
  kSkipRolloutAnalysis,
  kKeepLostPartition,
  kSkipTakeoverProof,  // a new holder decides 1 s after its assignment
  kSpendExpiredTokens,
  kRepeatLostRequest,     // a request whose response was lost goes to the same target at once
  kNoTrialFromPlacement,  // no request is sent to a target that is down
  kKeepEarlierLinks,      // links that a process has replaced still count
};

inline constexpr EnumNames<Fault, 43> kFaultNames = {{
    {Fault::kNone, "none"},
    {Fault::kSkipBaseCheck, "skip_base_check"},
    {Fault::kAcceptOlderVersion, "accept_older_version"},
    {Fault::kSwapBeforeValidate, "swap_before_validate"},
    {Fault::kSkipClosureCheck, "skip_closure_check"},
    {Fault::kSkipFence, "skip_fence"},
    {Fault::kSkipRepair, "skip_repair"},
    {Fault::kReadyTooEarly, "ready_too_early"},
    {Fault::kSkipRefutation, "skip_refutation"},
    {Fault::kForgetLeaving, "forget_leaving"},
    {Fault::kRetryUnknown, "retry_unknown"},
    {Fault::kSkipDeduplication, "skip_ledger"},
    {Fault::kSkipIncarnationCheck, "skip_incarnation_check"},
    {Fault::kFalseNotRun, "false_not_run"},
    {Fault::kSkipAttemptMatch, "skip_attempt_match"},
    {Fault::kAcceptTruncated, "accept_truncated"},
    {Fault::kAdmitWhileDraining, "admit_while_draining"},
    {Fault::kCutInFlightOnStop, "cut_in_flight_on_stop"},
    {Fault::kWaitForLostResponse, "wait_for_lost_response"},
    {Fault::kKeepStuckReader, "keep_stuck_reader"},
    {Fault::kWaitForHandshake, "wait_for_handshake"},
    {Fault::kDeliverLastRecord, "deliver_last_record"},
    {Fault::kAcceptResponseWithoutId, "accept_response_without_id"},
    {Fault::kAcceptUntilGraceEnds, "accept_until_grace_ends"},
    {Fault::kAcceptMisplacedBody, "accept_misplaced_body"},
    {Fault::kUseUnconfirmedTarget, "use_unconfirmed_target"},
    {Fault::kTrustEarlierCheck, "trust_earlier_check"},
    {Fault::kSkipCallerMemory, "skip_caller_memory"},
    {Fault::kSkipResponseCheck, "skip_response_check"},
    {Fault::kAcceptResponseAfterError, "accept_response_after_error"},
    {Fault::kSkipKnowledgeCheck, "skip_knowledge_check"},
    {Fault::kAdoptUnknownKnowledge, "adopt_unknown_knowledge"},
    {Fault::kIgnoreStoreEpoch, "ignore_store_epoch"},
    {Fault::kRequireConfiguration, "require_configuration"},
    {Fault::kKeepCallersAccount, "keep_callers_account"},
    {Fault::kKeepLastSharedEntry, "keep_last_shared_entry"},
    {Fault::kSkipRolloutAnalysis, "skip_rollout_analysis"},
    {Fault::kKeepLostPartition, "keep_lost_partition"},
    {Fault::kSkipTakeoverProof, "skip_takeover_proof"},
    {Fault::kSpendExpiredTokens, "spend_expired_tokens"},
    {Fault::kRepeatLostRequest, "repeat_lost_request"},
    {Fault::kNoTrialFromPlacement, "no_trial_from_placement"},
    {Fault::kKeepEarlierLinks, "keep_earlier_links"},
}};

#ifdef LIMPET_FAULTS
/// Returns true if the environment variable LIMPET_FAULT names this fault.
bool IsFaultActive(Fault fault);
#else
constexpr bool IsFaultActive(Fault /*fault*/) {
  return false;
}
#endif

}  // namespace limpet

#endif  // LIMPET_CORE_FAULT_H_
