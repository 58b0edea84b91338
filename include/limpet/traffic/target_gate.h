#ifndef LIMPET_TRAFFIC_TARGET_GATE_H_
#define LIMPET_TRAFFIC_TARGET_GATE_H_

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "limpet/core/time.h"
#include "limpet/registry/target_registry.h"
#include "limpet/traffic/deduplication_table.h"
#include "limpet/traffic/service_times.h"
#include "limpet_types.h"

namespace limpet {

struct TargetGateOptions {
  /// Requests that may wait for a slot. Predicted waits bound the queue long before.
  size_t queue_capacity = 512;
  /// Ids of non-idempotent requests that are remembered.
  size_t deduplication_capacity = 65536;
  /// Ids are kept this long after the deadline, because a copy can be delayed on a link.
  Duration deduplication_margin = std::chrono::seconds(5);
  /// Failures in a row, without a response in between, after which the target counts as down.
  int failures_until_down = 3;
  /// A target that counts as down gets one request as a trial this often.
  Duration trial_interval = std::chrono::milliseconds(500);
};

/// One request that asks for a slot of the target.
struct GateCall {
  /// Unique among all calls of all nodes; a call that is sent again has the same key.
  std::string key;
  std::string request_id;
  std::string service;
  std::string instance;
  /// Requests of one route take similar times.
  std::string route;
  bool idempotent = false;
  /// 0 is the most urgent.
  int priority = 0;
  /// Time that requests of the route usually run, over all targets; 0 if unknown.
  Duration typical_service_time{0};
  TimePoint deadline{};
  /// When the response loses its full value.
  TimePoint latency_target{};
  /// May wait beyond the latency target.
  bool accepts_late = false;
  /// Time until the VM's network link has sent the large responses that were admitted before, and
  /// the time that this call's response takes on it; 0 for a small response.
  Duration link_queueing_delay{0};
  Duration link_transmission_time{0};
  /// Taken only into a free slot, because other targets may have one.
  bool free_slot_only = false;
};

enum class GateVerdict {
  kStart,
  kQueue,
  /// The call waits or runs already; it was sent again.
  kAttach,
  kRefuse,
};

struct GateDecision {
  GateVerdict verdict = GateVerdict::kRefuse;
  /// For `kRefuse` only: `kUnknown` for a copy of a request that may have run.
  wire::Outcome::type outcome = wire::Outcome::kNotRun;
  wire::RefusalReason::type reason = wire::RefusalReason::kNone;
  /// When room is expected; 0 if unknown.
  Duration retry_after{0};
};

/// A queued call that starts now, or is refused now and has not run.
struct GateEvent {
  std::string key;
  bool starts = false;
  wire::RefusalReason::type reason = wire::RefusalReason::kNone;
};

/// How a call at the target ended.
enum class TargetResult {
  kSucceeded,        // a complete response that is not a failure of the target
  kFailed,           // a complete response with a 5xx status
  kNotExecuted,      // the target refused before running
  kNoValidResponse,  // no response, an incomplete one, or an invalid one (status, signature)
  kUnreachable,      // no connection, so nothing was sent
  kTimedOut,
  kCancelled,
};

/// Admission to the target beside this node. This gate is the only way to the target, so it knows
/// exactly how many requests run there. Calls beyond the target's slots wait in a priority queue;
/// a call that cannot be served in time by the predicted wait is refused on arrival (load
/// shedding), so that its caller can go elsewhere at once. Not safe for concurrent use.
class TargetGate {
 public:
  explicit TargetGate(TargetGateOptions options);

  /// The target beside this node; null when there is none. Draining refuses all queued calls.
  std::vector<GateEvent> SetTarget(TimePoint now, const TargetAnnouncement* target);
  /// Refuses all later calls; calls at the target finish.
  std::vector<GateEvent> StartDraining(TimePoint now);

  GateDecision Admit(TimePoint now, const GateCall& call);
  /// Ends a call that started. Returns queued calls that start or are refused now.
  std::vector<GateEvent> Finish(TimePoint now, const std::string& key, TargetResult result);
  /// Takes a call out of the queue; false if it does not wait there.
  bool RemoveQueued(const std::string& key);
  /// Refuses queued calls that are out of time, and starts calls if there is room.
  std::vector<GateEvent> Tick(TimePoint now);

  wire::TargetStatus Status(TimePoint now) const;
  int running() const { return static_cast<int>(running_.size()); }
  size_t queued() const { return queue_.size(); }

 private:
  struct QueueKey {
    int priority = 0;
    TimePoint latency_target{};
    uint64_t sequence = 0;
    auto operator<=>(const QueueKey&) const = default;
  };
  struct Running {
    std::string route;
    int priority = 0;
    TimePoint started{};
    Duration typical_service_time{0};
  };
  /// Decaying sum of the time that requests of one priority have spent in slots.
  struct Use {
    double slot_us = 0;
    TimePoint updated{};
  };

  wire::RefusalReason::type CheckTarget(TimePoint now, const GateCall& call) const;
  /// Expected time of the call at the target, also before the first sample.
  Duration EstimateServiceTime(TimePoint now, const GateCall& call) const;
  Duration PredictWait(const QueueKey& position, Duration service_time) const;
  /// Time by which the response would leave too late; zero or less if it is in time.
  Duration PredictLateness(TimePoint now,
                           const GateCall& call,
                           Duration wait,
                           Duration service_time) const;
  void RecordUse(TimePoint now, int priority, Duration service_time);
  void RecordSlowdown(Duration service_time, Duration typical);
  /// Share of the slots that more urgent requests have taken lately, 0 to 1.
  double UrgentShare(int priority) const;
  void Start(TimePoint now, const GateCall& call);
  void RecordResult(TimePoint now, const Running& running, TargetResult result);
  bool IsDown(TimePoint now) const;
  std::vector<GateEvent> RefuseAll(wire::RefusalReason::type reason);
  void StartQueued(TimePoint now, std::vector<GateEvent>& events);

  TargetGateOptions options_;
  DeduplicationTable deduplication_;
  ServiceTimes service_times_;
  std::optional<TargetAnnouncement> target_;
  TimePoint cold_until_{};
  bool draining_ = false;
  std::map<QueueKey, GateCall> queue_;
  std::unordered_map<std::string, QueueKey> queued_keys_;
  std::unordered_map<std::string, Running> running_;
  uint64_t next_sequence_ = 0;
  std::map<int, Use> use_by_priority_;
  /// Moving average of run times relative to what the routes usually take; 0 without a sample.
  double slowdown_ = 0;
  /// Moving share of failed requests, 0 to 1.
  double failure_share_ = 0;
  int failures_in_row_ = 0;
  mutable TimePoint next_trial_{};
};

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_TARGET_GATE_H_
