#ifndef LIMPET_LOAD_POLICY_SIM_H_
#define LIMPET_LOAD_POLICY_SIM_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "limpet/core/histogram.h"
#include "limpet/core/random.h"
#include "limpet/traffic/balancer.h"
#include "limpet/traffic/inbound_gate.h"
#include "limpet/traffic/outbound_call.h"
#include "limpet/traffic/retry_policy.h"

namespace limpet {

struct SimTarget {
  std::string node;
  std::string data_centre;
  /// Requests that the target executes at once; further ones wait in its own queue.
  int slots = 1;
  /// Slots that the gate is configured with; differs from `slots` if the inventory is wrong.
  int configured_slots = 1;
  Duration service_time{0};
};

struct SimOptions {
  uint64_t seed = 1;
  std::vector<SimTarget> targets;
  int callers = 30;
  Duration deadline = std::chrono::milliseconds(500);
  int max_attempts = 3;
  double idempotent_share = 0.5;
  BalancerOptions balancer;
  RetryOptions retry;
  GateOptions gate;
  LimitKind limit = kDefaultLimit;
  /// Share by which each request in the target's queue lengthens the service time, as on a VM short
  /// of memory.
  double thrashing = 0;
  /// Turns admission control off, as a baseline: every request goes to the target.
  bool unlimited = false;
};

/// Results of the calls that started from `from` until before `to`, both since the start of the
/// run.
struct SimWindow {
  Duration from{0};
  Duration to{0};
  int64_t offered = 0;
  int64_t succeeded = 0;
  int64_t refused = 0;
  int64_t unknown = 0;
  int64_t attempts = 0;
  Histogram latency;

  double seconds() const { return std::chrono::duration<double>(to - from).count(); }
  double goodput() const { return static_cast<double>(succeeded) / seconds(); }
};

/// Discrete-event simulation of the traffic policies in virtual time: callers with Poisson arrivals
/// and their own balancers, and inbound gates in front of targets. The control plane is not
/// simulated. All `Set...`, `LoseDataCentre`, `Restart` and `AddWindow` calls come before `Run`.
class PolicySim {
 public:
  explicit PolicySim(SimOptions options);

  void SetRate(Duration at, double calls_per_second);
  void SetSlowdown(Duration at, size_t target, double factor);
  void SetReachable(Duration at, size_t target, bool reachable);
  /// The targets of the data centre stop receiving requests and sending replies, and its callers
  /// start no more calls. The endpoints are marked as unreachable 5 s later.
  void LoseDataCentre(Duration at, const std::string& data_centre);
  /// Stops the target for 3 s and starts it with a new incarnation, which is 5 times slower in its
  /// first 5 s.
  void Restart(Duration at, size_t target);
  size_t AddWindow(Duration from, Duration to);

  void Run(Duration until);

  const SimWindow& window(size_t index) const { return windows_[index]; }

 private:
  struct Event {
    TimePoint time;
    uint64_t sequence;
    std::function<void()> run;
    bool operator>(const Event& other) const {
      return time != other.time ? time > other.time : sequence > other.sequence;
    }
  };
  struct PendingAttempt {
    wire::CallRequest request;
    size_t call = 0;
    TimePoint started{};
  };
  struct Target {
    SimTarget spec;
    int64_t incarnation = 1;
    bool reachable = true;
    bool lost = false;
    bool stopped = false;
    double slowdown = 1;
    TimePoint warm_up_end{};
    int running = 0;
    std::unique_ptr<InboundGate> gate;
    std::unordered_map<std::string, PendingAttempt> pending_attempts;
    std::deque<std::string> queue;
  };
  struct Caller {
    std::string name;
    std::string data_centre;
    bool lost = false;
    std::unique_ptr<Balancer> balancer;
    std::unique_ptr<RetryPolicy> retry_policy;
  };
  struct Call {
    size_t caller = 0;
    bool idempotent = false;
    TimePoint started{};
    std::unique_ptr<OutboundCall> outbound_call;
  };

  void ScheduleAfter(Duration delay, std::function<void()> run);
  void Schedule(TimePoint time, std::function<void()> run);
  void ScheduleArrival(int64_t epoch);
  void StartCall();
  void ApplyActions(size_t call, const CallActions& actions);
  void Transmit(size_t call, const SendAttempt& send);
  void FinishCall(size_t call, const CallResult& result);
  void Deliver(size_t target, size_t call, const wire::CallRequest& request);
  void HandleQueueEvents(size_t target, const std::vector<QueueEvent>& events);
  void SubmitToTarget(size_t target, const std::string& attempt);
  void StartExecution(size_t target, const std::string& attempt);
  void OnExecutionFinished(size_t target, const std::string& attempt, int64_t incarnation);
  void SendReply(size_t target,
                 size_t call,
                 const std::string& attempt,
                 wire::Outcome::type outcome,
                 wire::RefusalReason::type reason);
  void Tick();
  void PublishView();
  std::unique_ptr<InboundGate> MakeGate(const Target& target) const;
  Duration Latency(size_t caller, size_t target) const;
  SimWindow* FindWindow(TimePoint started);

  SimOptions options_;
  /// Separate from `random_`, so that variants with the same seed get the same calls.
  Random arrivals_;
  Random random_;
  TimePoint now_{};
  uint64_t sequence_ = 0;
  double rate_ = 0;
  int64_t rate_epoch_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::vector<Target> targets_;
  std::vector<Caller> callers_;
  std::unordered_map<size_t, Call> calls_;
  size_t next_call_ = 0;
  std::vector<SimWindow> windows_;
};

}  // namespace limpet

#endif  // LIMPET_LOAD_POLICY_SIM_H_
