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
  Duration usual_latency{0};
};

/// How a call ends for its caller.
enum class CallEnd {
  kForward,       // the reply at hand is passed on
  kForwardSaved,  // the failure that an earlier attempt got from its target is passed on
  kNotRun,        // refused; it has not run and will not
  kUnknown,       // it may have run
  kTimedOut,      // it may have run; the time is up
};

inline constexpr EnumNames<CallEnd, 5> kCallEndNames = {{
    {CallEnd::kForward, "forward"},
    {CallEnd::kForwardSaved, "forward_saved"},
    {CallEnd::kNotRun, "not_run"},
    {CallEnd::kUnknown, "unknown"},
    {CallEnd::kTimedOut, "timed_out"},
}};

struct CallFinish {
  CallEnd end = CallEnd::kUnknown;
  wire::RefusalReason::type reason = wire::RefusalReason::kNone;
  /// For `kNotRun`: when the caller should return.
  Duration retry_after{0};
};

/// What the driver has to do after an event.
struct CallStep {
  /// The open attempt is to be cancelled.
  bool cancel = false;
  /// The reply at hand is kept for `CallEnd::kForwardSaved`.
  bool save_reply = false;
  std::optional<PlacedTarget> send;
  /// Set with `send`: the attempt is given up after this long; empty if it may use all the time.
  std::optional<Duration> attempt_timeout;
  std::optional<CallFinish> finish;
};

/// The call of one caller through its attempts: at most one at a time. A request that is not
/// idempotent is sent again only if the earlier attempt proved that it has not run. Free of I/O.
class MeshCall {
 public:
  /// The references must outlive the call.
  MeshCall(MeshCallOptions options, TargetPlacement& placement, SharedRetryBudget& budget);
  ~MeshCall();
  MeshCall(const MeshCall&) = delete;
  MeshCall& operator=(const MeshCall&) = delete;

  CallStep Start(TimePoint now);
  CallStep OnReply(TimePoint now, const wire::LinkReply& reply);
  /// The attempt was not handed to the node, so nothing has run.
  CallStep OnNotSent(TimePoint now);
  /// The link was lost after the attempt was handed over, and its outcome cannot be asked for.
  CallStep OnLost(TimePoint now);
  CallStep OnAttemptTimeout(TimePoint now);
  CallStep OnDeadline(TimePoint now);
  /// The caller has left; no finish follows.
  CallStep OnCallerGone(TimePoint now);

  /// Empty without an open attempt.
  const std::string& open_node() const { return open_node_; }
  int arrivals() const { return arrivals_; }
  const MeshCallOptions& options() const { return options_; }

 private:
  CallStep SendNext(TimePoint now);
  CallStep Finish(CallEnd end, wire::RefusalReason::type reason);
  CallStep OnRefused(TimePoint now, const wire::LinkReply& reply);
  CallStep OnFailedRun(TimePoint now, wire::RefusalReason::type reason, bool has_reply);
  bool MayRepeat(TimePoint now);
  std::optional<Duration> AttemptTimeout(TimePoint now) const;
  void CloseAttempt();

  MeshCallOptions options_;
  TargetPlacement& placement_;
  SharedRetryBudget& budget_;
  std::string open_node_;
  std::vector<std::string> tried_;
  /// Attempts that reached a target.
  int arrivals_ = 0;
  int refusals_ = 0;
  bool may_have_run_ = false;
  bool has_saved_reply_ = false;
  Duration retry_after_{0};
};

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_MESH_CALL_H_
