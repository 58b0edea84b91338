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
  bool idempotent = false;
  /// Targets that may receive the request, the first one included.
  int max_attempts = 1;
  TimePoint deadline{};
  TimePoint latency_target{};
  size_t expected_response_bytes = 0;
  /// Usual time of one attempt of this route; 0 if unknown.
  Duration typical_latency{0};
  /// Time that requests of the route usually run at a target; 0 if unknown.
  Duration typical_service_time{0};
};

/// How a call ends for its caller.
enum class CompletionKind {
  kForward,       // the reply at hand is passed on
  kForwardSaved,  // the failure that an earlier attempt got from its target is passed on
  kNotRun,        // refused; it has not run and will not
  kUnknown,       // it may have run
  kTimedOut,      // it may have run; the time is up
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
  /// For `kNotRun`: when the caller should return.
  Duration retry_after{0};
};

/// An attempt that the driver has to send.
struct AttemptToSend {
  /// Names the attempt in later events.
  int attempt = 0;
  PlacedTarget target;
  /// Runs beside an open attempt.
  bool hedge = false;
  /// The target's gate should refuse rather than queue it.
  bool free_slot_only = false;
};

/// What the driver has to do after an event.
struct CallStep {
  /// The reply at hand is kept for `CompletionKind::kForwardSaved`.
  bool save_reply = false;
  std::optional<AttemptToSend> send;
  /// Set with `send`: `OnHedgeTimer` is due after this long.
  std::optional<Duration> hedge_delay;
  /// All attempts that are still open are to be cancelled.
  std::optional<CallCompletion> finish;
};

/// The call of one caller through its attempts. A request that is not idempotent is sent again only
/// if the earlier attempt proved that it has not run. An idempotent one whose response is overdue
/// gets a second attempt beside the first (hedged request). The first attempts look for a free
/// slot, because what a node knows of the load elsewhere may be old; refusals bring the present
/// load along, by which a queue is chosen in the end. Free of I/O.
class MeshCall {
 public:
  /// The references must outlive the call.
  MeshCall(MeshCallOptions options, TargetPlacement& placement, SharedRetryBudget& budget);
  ~MeshCall();
  MeshCall(const MeshCall&) = delete;
  MeshCall& operator=(const MeshCall&) = delete;

  CallStep Start(TimePoint now);
  CallStep OnReply(TimePoint now, int attempt, const wire::LinkReply& reply);
  /// The attempt was not handed to the node, so nothing has run.
  CallStep OnNotSent(TimePoint now, int attempt);
  /// The link was lost after the attempt was handed over, and its outcome cannot be asked for.
  CallStep OnLost(TimePoint now, int attempt);
  /// The target has answered and its large response is on its way over the network.
  void OnTransfer(int attempt);
  /// The response is overdue.
  CallStep OnHedgeTimer(TimePoint now);
  CallStep OnDeadline(TimePoint now);
  /// The caller has left; no finish follows.
  void OnCallerDisconnected();

  /// Attempts that are known to have reached a target.
  int attempts_reached_target() const { return attempts_reached_target_; }
  const MeshCallOptions& options() const { return options_; }

 private:
  struct OpenAttempt {
    int attempt = 0;
    std::string node;
    bool free_slot_only = false;
    bool transferring = false;
  };

  CallStep SendNext(TimePoint now, bool hedge);
  CallStep Finish(CompletionKind kind, wire::RefusalReason::type reason);
  /// Ends the call without a success, unless another attempt is still open.
  CallStep FinishIfNoneOpen(wire::RefusalReason::type reason);
  CallStep OnRefused(TimePoint now, const OpenAttempt& attempt, const wire::LinkReply& reply);
  std::optional<PlacedTarget> Choose(TimePoint now, bool free_slot_only) const;
  CallStep OnFailedRun(TimePoint now, wire::RefusalReason::type reason, bool has_reply);
  bool TrySpendRetry(TimePoint now);
  std::optional<Duration> HedgeDelay(TimePoint now) const;
  OpenAttempt Close(int attempt);
  void CloseAll();

  MeshCallOptions options_;
  TargetPlacement& placement_;
  SharedRetryBudget& budget_;
  std::vector<OpenAttempt> open_;
  int last_attempt_ = 0;
  /// Nodes that are not chosen again.
  std::vector<std::string> excluded_;
  /// Nodes without a free slot a moment ago; they may still queue the request.
  std::vector<std::string> full_;
  int attempts_reached_target_ = 0;
  /// Refusals to queue the request.
  int refusals_ = 0;
  int attempts_sent_ = 0;
  bool may_have_run_ = false;
  bool has_saved_reply_ = false;
  Duration retry_after_{0};
};

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_MESH_CALL_H_
