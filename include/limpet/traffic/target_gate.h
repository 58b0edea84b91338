#ifndef LIMPET_TRAFFIC_TARGET_GATE_H_
#define LIMPET_TRAFFIC_TARGET_GATE_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "limpet/core/random.h"
#include "limpet/core/time.h"
#include "limpet/registry/target_registry.h"
#include "limpet/traffic/deduplication_table.h"
#include "limpet/traffic/service_times.h"
#include "limpet_types.h"

namespace limpet {

struct TargetGateOptions {
  /// Maximum number of queued requests. Refusals by predicted wait normally keep the queue far
  /// shorter.
  size_t queue_capacity = 512;
  /// Maximum number of ids of non-idempotent requests in the deduplication table.
  size_t deduplication_capacity = 65536;
  /// Ids are kept this long after the deadline of their request, because a copy of the request can
  /// be delayed on a link. A copy that comes later is not run, see `GateCall::may_be_forgotten`.
  Duration deduplication_margin = std::chrono::seconds(15);
  /// Number of consecutive requests without a valid response after which the target counts as down.
  int failures_until_down = 3;
  /// Time until the first trial request after the target counts as down. It doubles with each
  /// further trial up to `max_trial_interval`, which bounds the time until a sound target is used
  /// again; both are spread by `trial_jitter`, because targets often fail together.
  Duration trial_interval = std::chrono::milliseconds(400);
  Duration max_trial_interval = std::chrono::milliseconds(1300);
  double trial_jitter = 0.2;
  /// A trial without a result for this long no longer keeps the next one back: the target may have
  /// lost its response.
  Duration trial_timeout = std::chrono::seconds(1);
};

/// A request for admission to the target.
struct GateCall {
  /// Unique among the calls of all nodes. A copy of a call that is sent again has the same key.
  std::string key;
  std::string request_id;
  std::string service;
  std::string instance;
  /// Service times are averaged by route, because requests of one route have similar ones.
  std::string route;
  bool idempotent = false;
  /// An earlier copy of the call may have been accepted so long ago that its id is not kept any
  /// more. Unless that copy is still queued or running, a non-idempotent call is then refused with
  /// the outcome `kUnknown`.
  bool may_be_forgotten = false;
  /// 0 is the most urgent.
  int priority = 0;
  /// Client account that made the request; empty if it has none.
  std::string account;
  /// Moving average of the service time of the route over all targets; 0 if unknown.
  Duration typical_service_time{0};
  TimePoint deadline{};
  /// A response after this time is late and has less value for the caller.
  TimePoint latency_target{};
  /// The request may be queued beyond its latency target, until its deadline.
  bool accepts_late = false;
  /// Time until the VM's network link has sent the large responses that were admitted before, and
  /// transmission time of this call's response; both 0 for a small response.
  Duration link_queueing_delay{0};
  Duration link_transmission_time{0};
  /// Immediate-only attempt: refused if no slot is free, because another target may have one.
  bool free_slot_only = false;
  /// The request body is still to be received. The call waits without a slot until `OnBody`.
  bool body_pending = false;
  /// Expected time until the request body has been received.
  Duration body_delay{0};
};

enum class GateVerdict {
  kStart,
  kQueue,
  /// The call was sent again; the first copy is queued or running.
  kAttach,
  kRefuse,
};

struct GateDecision {
  GateVerdict verdict = GateVerdict::kRefuse;
  /// For `kRefuse` only: `kUnknown` if the call is a copy of a request that may have run.
  wire::Outcome::type outcome = wire::Outcome::kNotRun;
  wire::RefusalReason::type reason = wire::RefusalReason::kNone;
  /// For `kRefuse`: estimated time until the call could be admitted; 0 if unknown.
  Duration retry_after{0};
};

/// A queued call that starts now (`starts`) or is refused now for `reason`, without having run.
struct GateEvent {
  std::string key;
  bool starts = false;
  wire::RefusalReason::type reason = wire::RefusalReason::kNone;
};

/// How a call at the target ended.
enum class TargetResult {
  kSucceeded,         // a complete response that is not a failure of the target
  kFailed,            // a complete response with a 5xx status
  kNotExecuted,       // the target refused before running
  kNoValidResponse,   // no response, an incomplete one, or an invalid one (status, signature)
  kConnectionClosed,  // a kept connection ended without a response, perhaps one closed while idle
  kUnreachable,       // no connection, so nothing was sent
  kTimedOut,
  kCancelled,
};

/// The end of a request at the target, for statistics.
struct TargetSample {
  std::string route;
  TargetResult result = TargetResult::kSucceeded;
  Duration service_time{0};
  /// Moving average of the service time of the route over all targets; 0 if unknown.
  Duration typical_service_time{0};
  /// The target was in the slow phase after its start.
  bool cold = false;
};

/// Admission control for the target of this node. All requests to the target pass through this
/// gate, so its count of running requests is exact. Calls beyond the target's slots wait in a
/// priority queue; within one priority, client accounts get equal shares of the slot time while
/// they wait (start-time fair queueing), so that the load of one account does not delay the others.
/// A call that is predicted to miss its time limit is refused on arrival (load shedding), so that
/// the node that sent it can try another target at once. Not safe for concurrent use.
class TargetGate {
 public:
  explicit TargetGate(TargetGateOptions options, Random random = Random(0));

  /// Sets the target of this node; null if there is none. Refuses all queued calls if there is no
  /// target, if it is another target instance than before, or if it is draining. Returns the queued
  /// calls that start or are refused now. Calls at the target continue.
  std::vector<GateEvent> SetTarget(TimePoint now, const TargetAnnouncement* target);
  /// Refuses all queued and all later calls; calls at the target continue. Returns the queued
  /// calls.
  std::vector<GateEvent> StartDraining(TimePoint now);

  /// While closed, the gate refuses all calls, because a roll-out has excluded the version of the
  /// target. Calls at the target continue. Returns the queued calls.
  std::vector<GateEvent> SetClosed(bool closed);
  /// True if the gate is closed and no call is queued or running.
  bool HasClosed() const { return closed_ && running_.empty() && queue_.empty(); }
  /// Called at the end of each request at the target.
  void set_on_sample(std::function<void(const TargetSample&)> on_sample) {
    on_sample_ = std::move(on_sample);
  }

  /// Decides whether the call starts, is queued or is refused.
  GateDecision Admit(TimePoint now, const GateCall& call);
  /// Ends a running call; does nothing for any other. Returns the queued calls that start or are
  /// refused now.
  std::vector<GateEvent> Finish(TimePoint now, const std::string& key, TargetResult result);
  /// The body of a call that was admitted with `body_pending` has been received. Returns the queued
  /// calls that start or are refused now.
  std::vector<GateEvent> OnBody(TimePoint now, const std::string& key);
  /// Removes a call from the queue. Returns false if it is not queued.
  bool RemoveQueued(const std::string& key);
  /// Refuses queued calls that cannot end before their deadline any more and starts queued calls in
  /// free slots. Returns both.
  std::vector<GateEvent> Tick(TimePoint now);

  wire::TargetStatus Status(TimePoint now) const;
  /// Time since which the target has counted as down; zero if it does not.
  TimePoint down_since() const { return down_since_; }
  /// Ids of accepted calls are kept at least for this time after the arrival of the call.
  Duration id_retention() const { return options_.deduplication_margin; }
  int running() const { return static_cast<int>(running_.size()); }
  size_t queued() const { return queue_.size(); }

 private:
  struct QueueKey {
    int priority = 0;
    /// Start tag of fair queueing between accounts; 0 for requests without an account.
    Duration start_tag{0};
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
  /// Decaying sum of the service times of the requests of one priority.
  struct SlotUse {
    double slot_us = 0;
    TimePoint updated{};
  };

  /// Returns the reason why the target cannot take the call, `kNone` if it can or is down.
  wire::RefusalReason::type CheckTarget(TimePoint now, const GateCall& call) const;
  /// Expected service time of the call. Without a sample of the target it is the average of the
  /// route over all targets or, if that is unknown, a share of the time until the latency target.
  Duration EstimateServiceTime(TimePoint now, const GateCall& call) const;
  /// Expected time until a slot is free for a call at `position`; 0 if one is free now.
  /// `service_time` is used if no service time of the target is known.
  Duration PredictWait(const QueueKey& position, Duration service_time) const;
  /// Time by which the response is expected to miss its limit; zero or less if it is in time.
  Duration PredictLateness(TimePoint now,
                           const GateCall& call,
                           Duration wait,
                           Duration service_time) const;
  /// Start tag of the next call of the account.
  Duration StartTag(const std::string& account) const;
  /// Moves the account's next start tag on by the service time of one call.
  void ChargeAccount(const std::string& account, Duration service_time);
  void RecordSlotUse(TimePoint now, int priority, Duration service_time);
  void RecordSlowdown(Duration service_time, Duration typical);
  /// Share of the slot time that requests more urgent than `priority` have used recently: 0 to 1,
  /// capped at `kMaxUrgentSlotShare`.
  double UrgentSlotShare(int priority) const;
  void Start(TimePoint now, const GateCall& call);
  void RecordResult(TimePoint now, const Running& running, TargetResult result);
  /// Whether the target counts as down: it takes nothing but trial requests then.
  bool IsDown() const { return consecutive_failures_ >= options_.failures_until_down; }
  /// Time at which the target, which is down, may get the next trial request.
  TimePoint NextTrial() const;
  void StartTrial(TimePoint now, const std::string& key);
  /// Counts a request without a valid response (`responded` is false) or with one.
  void RecordResponse(TimePoint now, bool responded);
  using Queue = std::map<QueueKey, GateCall>;
  /// Removes an entry of the queue. Returns the position after it.
  Queue::iterator Dequeue(Queue::iterator entry);
  /// True if a queued call could start in a free slot now.
  bool HasStartable() const { return static_cast<int>(queue_.size()) > bodies_pending_; }
  std::vector<GateEvent> RefuseAll(wire::RefusalReason::type reason);
  void StartQueued(TimePoint now, std::vector<GateEvent>& events);

  TargetGateOptions options_;
  Random random_;
  DeduplicationTable deduplication_;
  ServiceTimes service_times_;
  std::optional<TargetAnnouncement> target_;
  TimePoint cold_until_{};
  bool draining_ = false;
  bool closed_ = false;
  std::function<void(const TargetSample&)> on_sample_;
  Queue queue_;
  /// Number of queued calls whose body is still to be received.
  int bodies_pending_ = 0;
  std::unordered_map<std::string, QueueKey> queued_keys_;
  std::unordered_map<std::string, Running> running_;
  uint64_t next_sequence_ = 0;
  std::map<int, SlotUse> slot_use_by_priority_;
  /// Fair queueing since the last time at which a slot was free: the highest start tag of a call
  /// that left the queue, and the tag with which the next call of an account starts at the
  /// earliest.
  Duration virtual_time_{0};
  std::unordered_map<std::string, Duration> account_tags_;
  /// Moving average of service times relative to the typical ones of their routes; 0 without a
  /// sample.
  double slowdown_ = 0;
  /// Moving average of the share of requests that did not succeed, 0 to 1.
  double failure_share_ = 0;
  /// Consecutive requests without a valid response.
  int consecutive_failures_ = 0;
  /// Trial request that is running; empty if there is none.
  std::string trial_key_;
  TimePoint trial_started_{};
  Duration trial_backoff_{0};
  TimePoint next_trial_{};
  TimePoint down_since_{};
};

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_TARGET_GATE_H_
