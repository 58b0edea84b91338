#ifndef LIMPET_TRAFFIC_MESH_CALL_H_
#define LIMPET_TRAFFIC_MESH_CALL_H_

#include <optional>
#include <string>
#include <vector>

#include "limpet/core/enum_names.h"
#include "limpet/core/time.h"
#include "limpet/traffic/shared_retry_budget.h"
#include "limpet/traffic/target_placement.h"
#include "limpet_types.h"

namespace limpet {

struct MeshCallOptions {
  std::string service;
  /// Client account that made the request; empty without one.
  std::string account;
  /// 0 is the most urgent.
  int priority = 0;
  bool idempotent = false;
  /// Maximum number of targets that may receive the request, including the first.
  int max_attempts = 1;
  TimePoint deadline{};
  /// A response after this time is late and has less value for the caller.
  TimePoint latency_target{};
  size_t request_bytes = 0;
  size_t expected_response_bytes = 0;
  /// Moving average of the latency of one attempt on this route; 0 if unknown.
  Duration typical_latency{0};
  /// Moving average of the service time of the route; 0 if unknown.
  Duration typical_service_time{0};
};

/// What the caller gets when the call completes.
enum class CompletionKind {
  kForward,       // the current reply is forwarded
  kForwardSaved,  // the saved reply of an earlier, failed attempt is forwarded
  kNotRun,        // refused: the request has not run and will not run
  kUnknown,       // the request may have run
  kTimedOut,      // the deadline has passed; the request may have run
};

inline constexpr EnumNames<CompletionKind, 5> kCompletionKindNames = {{
    {CompletionKind::kForward, "forward"},
    {CompletionKind::kForwardSaved, "forward_saved"},
    {CompletionKind::kNotRun, "not_run"},
    {CompletionKind::kUnknown, "unknown"},
    {CompletionKind::kTimedOut, "timed_out"},
}};

struct CallCompletion {
  CompletionKind kind = CompletionKind::kUnknown;
  wire::RefusalReason::type reason = wire::RefusalReason::kNone;
  /// For `kNotRun`: time after which the caller should retry.
  Duration retry_after{0};
};

/// An attempt that the driver of the call has to send.
struct AttemptToSend {
  /// Identifies the attempt in later events.
  int attempt = 0;
  PlacedTarget target;
  /// Sent while another attempt is open.
  bool hedge = false;
  /// Immediate-only attempt: the target's gate should refuse it rather than queue it.
  bool free_slot_only = false;
};

/// What the driver has to do after an event.
struct CallStep {
  /// Keep the current reply: `CompletionKind::kForwardSaved` forwards it.
  bool save_reply = false;
  std::optional<AttemptToSend> send;
  /// Set only with `send`: call `OnHedgeTimer` after this time.
  std::optional<Duration> hedge_delay;
  /// If set, the call is complete: cancel all open attempts and respond to the caller.
  std::optional<CallCompletion> finish;
};

/// One request of a caller and its attempts. A non-idempotent request is sent again only if the
/// earlier attempt is known not to have run. An idempotent request whose response is overdue gets a
/// second attempt while the first stays open (hedged request). The first attempts are
/// immediate-only, because this node's view of the load of other nodes may be outdated. Refusals
/// carry the current load, by which the node that may queue the request is chosen. Free of I/O: a
/// driver reports events and performs the returned steps.
class MeshCall {
 public:
  /// The references must outlive the call.
  MeshCall(MeshCallOptions options, TargetPlacement& placement, SharedRetryBudget& budget);
  ~MeshCall();
  MeshCall(const MeshCall&) = delete;
  MeshCall& operator=(const MeshCall&) = delete;

  CallStep Start(TimePoint now);
  CallStep OnReply(TimePoint now, int attempt, const wire::LinkReply& reply);
  /// The attempt could not be sent to its node, so it has not run.
  CallStep OnNotSent(TimePoint now, int attempt);
  /// The link was lost after the attempt was sent, and its outcome cannot be queried.
  CallStep OnConnectionLost(TimePoint now, int attempt);
  /// The target has responded and its large response is being transferred. Prevents a hedge.
  void OnTransfer(int attempt);
  /// The hedge delay has passed without a response. Sends a hedge if the request is idempotent,
  /// another target is available and the retry budget allows it; otherwise the step is empty.
  CallStep OnHedgeTimer(TimePoint now);
  CallStep OnDeadline(TimePoint now);
  /// No further attempt is made. Open attempts go on.
  void StopSending() { sending_stopped_ = true; }
  /// This node ends now: completes the call although attempts may be open.
  CallStep OnNodeEnds();
  /// The caller closed its connection. Ends all open attempts without a `CallCompletion`.
  void OnCallerDisconnected();

  /// Attempts that reached a target; one whose link was lost counts too.
  int attempts_reached_target() const { return attempts_reached_target_; }
  const MeshCallOptions& options() const { return options_; }

 private:
  struct OpenAttempt {
    int attempt = 0;
    std::string node;
    bool free_slot_only = false;
    bool transferring = false;
  };

  /// Sends a further attempt, or completes the call if there is no target and no attempt is open.
  CallStep SendNext(TimePoint now, bool hedge);
  CallStep Finish(CompletionKind kind, wire::RefusalReason::type reason);
  /// Completes the call without a success. Returns an empty step if another attempt is still open.
  CallStep FinishIfNoneOpen(wire::RefusalReason::type reason);
  CallStep OnRefused(TimePoint now, const OpenAttempt& attempt, const wire::LinkReply& reply);
  std::optional<PlacedTarget> Choose(TimePoint now, bool free_slot_only) const;
  CallStep OnAttemptFailed(TimePoint now, wire::RefusalReason::type reason, bool has_reply);
  /// Spends one retry of the budget. Returns false if `max_attempts`, the deadline or the budget
  /// does not allow a retry.
  bool TrySpendRetry(TimePoint now);
  /// Returns std::nullopt if no hedge may be sent or too little time remains for one.
  std::optional<Duration> HedgeDelay(TimePoint now) const;
  /// Returns an empty `OpenAttempt` if the attempt is not open.
  OpenAttempt Close(int attempt);
  void CloseAll();

  MeshCallOptions options_;
  TargetPlacement& placement_;
  SharedRetryBudget& budget_;
  std::vector<OpenAttempt> open_attempts_;
  int last_attempt_id_ = 0;
  /// Nodes that are not chosen again for this call.
  std::vector<std::string> excluded_nodes_;
  /// Excluded nodes whose target closed the connection without a response. They may get the request
  /// again if there is no other target.
  std::vector<std::string> nodes_with_lost_response_;
  /// Nodes that refused an immediate-only attempt; they may still queue the request.
  std::vector<std::string> nodes_without_free_slot_;
  int attempts_reached_target_ = 0;
  /// Number of nodes that refused to queue the request.
  int queue_refusals_ = 0;
  int attempts_sent_ = 0;
  bool sending_stopped_ = false;
  bool may_have_run_ = false;
  bool has_saved_reply_ = false;
  Duration retry_after_{0};
  /// Set once, so that a request that is refused by targets of one version is not sent to the other
  /// more often than the canary share allows.
  double version_draw_;
};

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_MESH_CALL_H_
