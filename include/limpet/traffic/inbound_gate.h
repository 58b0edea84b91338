#ifndef LIMPET_TRAFFIC_INBOUND_GATE_H_
#define LIMPET_TRAFFIC_INBOUND_GATE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "limpet/core/time.h"
#include "limpet/traffic/deduplication_table.h"
#include "limpet/traffic/fair_queue.h"
#include "limpet/traffic/limit_strategy.h"
#include "limpet_types.h"

namespace limpet {

struct GateOptions {
  size_t queue_length = 12;
  /// Longest time in the queue, even if the deadline is later.
  Duration queue_wait = std::chrono::milliseconds(100);
  /// Maximum number of ids in the deduplication table, two for each attempt.
  size_t deduplication_capacity = 131072;
  /// Ids are kept for this time after the deadline. A copy can be delayed in the network, and the
  /// relative deadline that it carries still looks valid when it is received.
  Duration deduplication_margin = std::chrono::seconds(5);
};

enum class Admission { kAdmitted, kQueued, kRefused };

/// States that a queued attempt starts now or is refused now with outcome `not_run`.
struct QueueEvent {
  std::string attempt_id;
  bool starts = false;
  wire::RefusalReason::type reason = wire::RefusalReason::kNone;
};

struct AdmissionDecision {
  Admission admission = Admission::kRefused;
  /// For `kRefused` only. `kUnknown` when another copy of the attempt may run or have run.
  wire::Outcome::type outcome = wire::Outcome::kNotRun;
  wire::RefusalReason::type reason = wire::RefusalReason::kNone;
  /// Other attempts that start or are refused in the same step.
  std::vector<QueueEvent> events;
};

enum class CancelResult {
  /// Neither queued nor running here.
  kUnknownAttempt,
  /// Removed from the queue; it has not run and will not run.
  kRemoved,
  /// Running at the target. It holds its slot until Finish.
  kRunning,
};

/// Admission control of one node in front of its target. Not safe for concurrent use.
///
/// An attempt that is admitted, or started from the queue, holds a slot until Finish is called for
/// it. Finish must be called exactly once for each.
class InboundGate {
 public:
  /// `incarnation` identifies this process start.
  InboundGate(GateOptions options, int64_t incarnation, std::unique_ptr<LimitStrategy> limit);

  /// Raises the incarnation to `incarnation`; a lower value has no effect. A restarted node raises
  /// its incarnation above one that other nodes still report for it.
  void RaiseIncarnation(int64_t incarnation);

  AdmissionDecision Admit(TimePoint now, const wire::CallRequest& request);

  /// Releases the slot of an attempt to which the target has responded, or that failed or timed
  /// out. `outcome` may be `kNotRun` only if no byte reached the target, or if the target refused
  /// the request without running it. Returns the queued attempts that start or are refused now.
  std::vector<QueueEvent> Finish(TimePoint now,
                                 const std::string& attempt_id,
                                 wire::Outcome::type outcome,
                                 Duration service_time);

  CancelResult Cancel(TimePoint now, const std::string& attempt_id);

  /// Refuses all later attempts. Queued attempts are refused and returned; attempts that run at the
  /// target continue.
  std::vector<QueueEvent> StartDraining(TimePoint now);

  /// While the target itself drains, new attempts are refused. Unlike StartDraining this can be
  /// reversed.
  void SetTargetDraining(bool draining) { target_draining_ = draining; }

  /// Returns the queued attempts that have expired, which are refused, or that start now. To be
  /// called regularly.
  std::vector<QueueEvent> Expire(TimePoint now);

  wire::LoadReport load() const;
  bool draining() const { return draining_; }
  int in_flight() const { return static_cast<int>(running_.size()); }

 private:
  struct Attempt {
    std::string request_id;
    bool idempotent = false;
    TimePoint deadline{};
  };

  /// True if every later copy of the attempt will be refused as well, so that the deduplication
  /// table need not record the refusal.
  bool IsPermanentRefusal(wire::RefusalReason::type reason) const;
  /// If true, `decision` holds the refusal.
  bool IsDuplicate(const wire::CallRequest& request, AdmissionDecision& decision) const;
  wire::RefusalReason::type CheckRequest(const wire::CallRequest& request) const;
  AdmissionDecision Refuse(TimePoint now,
                           const wire::CallRequest& request,
                           wire::RefusalReason::type reason);
  AdmissionDecision StartOrQueue(TimePoint now, const wire::CallRequest& request);
  AdmissionDecision Enqueue(TimePoint now, const wire::CallRequest& request, Attempt attempt);
  void StartQueued(TimePoint now, std::vector<QueueEvent>& events);
  void RefuseQueued(const QueuedAttempt& queued,
                    wire::RefusalReason::type reason,
                    std::vector<QueueEvent>& events);
  void StartRunning(TimePoint now, const std::string& attempt_id, Attempt attempt);
  void Record(const std::string& attempt_id, const Attempt& attempt, DeduplicationState state);

  GateOptions options_;
  int64_t incarnation_;
  std::unique_ptr<LimitStrategy> limit_;
  DeduplicationTable deduplication_;
  FairQueue queue_;
  std::unordered_map<std::string, Attempt> queued_;
  std::unordered_map<std::string, Attempt> running_;
  double service_time_us_ = 0;
  bool draining_ = false;
  bool target_draining_ = false;
};

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_INBOUND_GATE_H_
