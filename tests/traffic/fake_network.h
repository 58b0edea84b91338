#ifndef LIMPET_TESTS_TRAFFIC_FAKE_NETWORK_H_
#define LIMPET_TESTS_TRAFFIC_FAKE_NETWORK_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "limpet/traffic/inbound_gate.h"
#include "limpet/traffic/outbound_call.h"
#include "traffic/call_oracle.h"

namespace limpet::test {

/// Probability of each fault in percent.
struct NetworkFaults {
  int lost = 0;
  int duplicated = 0;
  int late = 0;
  /// The reply is also passed to a random call.
  int crossed = 0;
  int truncated = 0;
  int refused_connection = 0;
  int target_refuses = 0;
};

/// Simulates two outbound nodes and three inbound nodes with their targets in virtual time.
class FakeNetwork {
 public:
  static constexpr size_t kCallers = 2;
  static constexpr size_t kTargets = 3;

  explicit FakeNetwork(uint64_t seed);

  void SetFaults(const NetworkFaults& faults) { faults_ = faults; }
  void SetServiceTime(Duration time) { service_time_ = time; }
  void StartCall(size_t caller, bool idempotent, Duration deadline, bool short_attempts);
  void CancelCall(size_t call);
  void Restart(size_t target);
  void Drain(size_t target);
  /// Shows the current incarnations and drains to the callers, which don't see them before.
  void RefreshViews();
  void Advance(Duration time);

  /// Processes all events, then checks that every call has ended and no slot is in use.
  void FinishAll();

 private:
  struct Caller {
    std::unique_ptr<Balancer> balancer;
    std::unique_ptr<RetryPolicy> retry_policy;
  };
  struct Target {
    std::string node;
    int64_t incarnation = 1;
    bool draining = false;
    std::unique_ptr<InboundGate> gate;
    std::map<std::string, wire::CallRequest> requests;
  };
  struct Call {
    size_t caller = 0;
    bool idempotent = false;
    std::unique_ptr<OutboundCall> state_machine;
    bool is_finished = false;
  };
  /// Connection of an attempt to one incarnation of a target. It ends when the target restarts.
  struct Connection {
    size_t call = 0;
    size_t target = 0;
    int64_t incarnation = 0;
  };

  /// True with a probability of `percent`.
  bool DrawChance(int percent) { return static_cast<int>(random_.NextBelow(100)) < percent; }
  Duration DrawDelay();
  void Schedule(Duration delay, std::function<void()> event);
  std::unique_ptr<InboundGate> MakeGate(int64_t incarnation) const;
  void ApplyActions(size_t call, const CallActions& actions);
  void Transmit(size_t call, const SendAttempt& send);
  void FailConnection(const std::string& attempt, bool first_byte_sent);
  void Deliver(size_t target, const wire::CallRequest& request);
  void HandleQueueEvents(size_t target, const std::vector<QueueEvent>& events);
  void Execute(size_t target, const std::string& attempt);
  void FinishAttempt(size_t target, const std::string& attempt, wire::Outcome::type outcome);
  void SendReply(size_t target,
                 const std::string& attempt,
                 wire::Outcome::type outcome,
                 wire::RefusalReason::type reason);
  void DeliverReply(size_t target, int64_t incarnation, const wire::CallReply& reply);
  void ExpireQueue(size_t target, int64_t incarnation);
  void RecordResult(size_t call, const CallResult& result);

  Random random_;
  NetworkFaults faults_;
  Duration service_time_ = std::chrono::milliseconds(5);
  TimePoint now_{std::chrono::seconds(1)};
  std::multimap<TimePoint, std::function<void()>> events_;
  std::vector<Caller> callers_;
  std::vector<Target> targets_;
  std::vector<Call> calls_;
  std::map<std::string, Connection> connections_;
  std::set<std::string> cancelled_;
  CallOracle oracle_;
};

}  // namespace limpet::test

#endif  // LIMPET_TESTS_TRAFFIC_FAKE_NETWORK_H_
