#ifndef LIMPET_TESTS_SCENARIO_CALL_NETWORK_H_
#define LIMPET_TESTS_SCENARIO_CALL_NETWORK_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "limpet/core/random.h"
#include "limpet/membership/endpoint_view.h"
#include "limpet/traffic/balancer.h"
#include "limpet/traffic/inbound_gate.h"
#include "limpet/traffic/outbound_call.h"
#include "limpet/traffic/retry_policy.h"

namespace limpet::scenario {

/// Service time of a target and the faults injected between it and its callers.
struct CallFaults {
  Duration service_time = std::chrono::milliseconds(5);
  Duration reply_delay{0};
  bool lose_replies = false;
  bool duplicate_requests = false;
  bool cross_replies = false;
};

/// A call and its result as the caller sees it; no result while the call is pending.
struct CallRecord {
  std::string request_id;
  bool idempotent = false;
  std::optional<CallResult> result;
};

/// Outbound calls, inbound gates and targets of a few nodes in virtual time. Only the transport and
/// the targets are fakes; balancing, retries and admission are the library's code.
class CallNetwork {
 public:
  explicit CallNetwork(uint64_t seed) : random_(seed) {}

  /// Starts or restarts the balancer, retry policy and inbound gate of a node.
  void Start(const std::string& node, const std::string& data_centre, int64_t incarnation);
  /// Ends the process of the node. Its pending calls never get a result, and the requests that its
  /// target executes get no reply.
  void Kill(const std::string& node);
  void Drain(TimePoint now, const std::string& node);
  CallFaults& faults(const std::string& node) { return faults_[node]; }
  /// Sets the predicate that is true if messages from the first node to the second are lost.
  void set_blocked(std::function<bool(const std::string&, const std::string&)> is_blocked) {
    is_blocked_ = std::move(is_blocked);
  }

  void UpdateView(TimePoint now, const std::string& node, const EndpointView& view);
  /// Starts a call; returns its index in `calls()`.
  std::size_t StartCall(TimePoint now,
                        const std::string& node,
                        const std::string& service,
                        bool idempotent);
  /// Runs all events that are due at `now`, then expires queued attempts.
  void Step(TimePoint now);

  const std::vector<CallRecord>& calls() const { return calls_; }
  /// Number of executions of a request at all targets.
  int CountExecutions(const std::string& request_id) const;
  /// Number of executions that started at the target of a node, over all its restarts.
  int CountStartedExecutions(const std::string& node) const;
  int InFlight(const std::string& node) const;

 private:
  struct Node {
    int64_t generation = 0;
    std::unique_ptr<Balancer> balancer;
    std::unique_ptr<RetryPolicy> retry_policy;
    std::unique_ptr<InboundGate> gate;
    std::map<std::string, std::function<void(wire::CallReply)>> pending_replies;
  };

  struct PendingCall {
    std::string node;
    std::unique_ptr<OutboundCall> call;
  };

  struct Attempt {
    std::size_t call = 0;
    std::string from;
    std::string to;
    wire::CallRequest request;
  };

  void ResetNode(const std::string& node);
  void Schedule(TimePoint time, std::function<void(TimePoint)> action);
  void ApplyActions(TimePoint now,
                    std::size_t call,
                    const std::string& from,
                    const CallActions& actions);
  void Deliver(TimePoint now, const Attempt& attempt);
  void DeliverRequest(TimePoint now, const Attempt& attempt);
  void HandleQueueEvents(TimePoint now,
                         const std::string& node,
                         const std::vector<QueueEvent>& events);
  void Execute(TimePoint now, const std::string& node, const wire::CallRequest& request);
  void SendReply(TimePoint now, const Attempt& attempt, wire::CallReply reply);
  void FinishCall(std::size_t call, const CallResult& result);
  bool IsBlocked(const std::string& from, const std::string& to) const;

  Random random_;
  std::multimap<TimePoint, std::function<void(TimePoint)>> events_;
  std::map<std::string, Node> nodes_;
  std::map<std::string, CallFaults> faults_;
  std::map<std::string, Attempt> attempts_;
  std::map<std::string, int> executions_;
  std::map<std::string, int> started_executions_;
  std::map<std::string, wire::CallReply> last_reply_;
  std::vector<CallRecord> calls_;
  std::map<std::size_t, PendingCall> pending_calls_;
  std::function<bool(const std::string&, const std::string&)> is_blocked_;
};

}  // namespace limpet::scenario

#endif  // LIMPET_TESTS_SCENARIO_CALL_NETWORK_H_
