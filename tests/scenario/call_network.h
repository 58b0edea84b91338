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

/// What can be wrong with a target and the way to it.
struct CallFaults {
  Duration service_time = std::chrono::milliseconds(5);
  Duration reply_delay{0};
  bool lose_replies = false;
  bool duplicate_requests = false;
  bool cross_replies = false;
};

/// One call as its caller sees it.
struct CallRecord {
  std::string request_id;
  bool idempotent = false;
  std::optional<CallResult> result;
};

/// Outbound calls, inbound gates and targets of a few nodes in virtual time. Only transport and
/// targets are fakes; every decision is made by the library.
class CallNetwork {
 public:
  explicit CallNetwork(uint64_t seed) : random_(seed) {}

  /// Starts or restarts the traffic side of a node.
  void Start(const std::string& node, const std::string& data_centre, int64_t incarnation);
  /// Calls in flight at the node end without an answer.
  void Kill(const std::string& node);
  void Drain(TimePoint now, const std::string& node);
  CallFaults& faults(const std::string& node) { return faults_[node]; }
  /// True if no message passes from one node to the other.
  void set_blocked(std::function<bool(const std::string&, const std::string&)> blocked) {
    blocked_ = std::move(blocked);
  }

  void UpdateView(TimePoint now, const std::string& node, const EndpointView& view);
  /// Starts a call; returns its index in `calls()`.
  std::size_t Call(TimePoint now,
                   const std::string& node,
                   const std::string& service,
                   bool idempotent);
  /// Handles everything due until `now`.
  void Step(TimePoint now);

  const std::vector<CallRecord>& calls() const { return calls_; }
  /// Executions of a request at all targets.
  int Executions(const std::string& request_id) const;
  /// Executions that began at the target of a node.
  int Started(const std::string& node) const;
  int InFlight(const std::string& node) const;

 private:
  struct Node {
    int64_t life = 0;
    std::unique_ptr<Balancer> balancer;
    std::unique_ptr<RetryPolicy> retry_policy;
    std::unique_ptr<InboundGate> gate;
    std::map<std::string, std::function<void(wire::CallReply)>> waiting;
  };

  struct OpenCall {
    std::string node;
    std::unique_ptr<OutboundCall> call;
  };

  struct Exchange {
    std::size_t call = 0;
    std::string from;
    std::string to;
    wire::CallRequest request;
  };

  void Stop(const std::string& node);
  void At(TimePoint time, std::function<void(TimePoint)> action);
  void Perform(TimePoint now,
               std::size_t call,
               const std::string& from,
               const CallActions& actions);
  void Deliver(TimePoint now, const Exchange& exchange);
  void DeliverRequest(TimePoint now, const Exchange& exchange);
  void Handle(TimePoint now, const std::string& node, const std::vector<QueueEvent>& events);
  void Execute(TimePoint now, const std::string& node, const wire::CallRequest& request);
  void Reply(TimePoint now, const Exchange& exchange, wire::CallReply reply);
  void Finish(std::size_t call, const CallResult& result);
  bool IsBlocked(const std::string& from, const std::string& to) const;

  Random random_;
  std::multimap<TimePoint, std::function<void(TimePoint)>> events_;
  std::map<std::string, Node> nodes_;
  std::map<std::string, CallFaults> faults_;
  std::map<std::string, Exchange> exchanges_;
  std::map<std::string, int> executions_;
  std::map<std::string, int> started_;
  std::map<std::string, wire::CallReply> last_reply_;
  std::vector<CallRecord> calls_;
  std::map<std::size_t, OpenCall> open_;
  std::function<bool(const std::string&, const std::string&)> blocked_;
};

}  // namespace limpet::scenario

#endif  // LIMPET_TESTS_SCENARIO_CALL_NETWORK_H_
