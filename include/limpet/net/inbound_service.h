#ifndef LIMPET_NET_INBOUND_SERVICE_H_
#define LIMPET_NET_INBOUND_SERVICE_H_

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "limpet/core/counters.h"
#include "limpet/net/http_server.h"
#include "limpet/net/target_client.h"
#include "limpet/net/tracer.h"
#include "limpet/traffic/inbound_gate.h"
#include "limpet_types.h"

namespace limpet {

/// Serves the attempts that other nodes send to this node's target: admission by `InboundGate`,
/// then one HTTP exchange. All requests to the target pass through it. Blocks the calling thread;
/// safe for concurrent use.
class InboundService {
 public:
  InboundService(InboundGate gate, TargetClient& target, Tracer& tracer, Counters& counters);

  wire::CallReply OnCall(const wire::CallRequest& request, const ConnectionWatch& caller);

  void RaiseIncarnation(int64_t incarnation);
  /// While the target drains, attempts are refused with outcome `not_run`.
  void SetTargetState(wire::TargetState::type state);
  /// Refuses all later attempts and the queued ones. Attempts that the target is executing finish.
  void StartDraining();
  int in_flight() const;

 private:
  wire::CallReply Serve(const wire::CallRequest& request,
                        const std::string& traceparent,
                        const ConnectionWatch& caller);

  /// A thread whose attempt is queued.
  struct Waiter {
    std::condition_variable changed;
    bool decided = false;
    bool starts = false;
    wire::RefusalReason::type reason = wire::RefusalReason::kNone;
  };

  /// Blocks until the attempt leaves the queue. Returns `kNone` if it may start, otherwise the
  /// reason of the refusal.
  wire::RefusalReason::type WaitInQueue(std::unique_lock<std::mutex>& lock,
                                        const wire::CallRequest& request,
                                        const ConnectionWatch& caller);
  /// Wakes the threads of the queued attempts that start or are refused.
  void HandleQueueEvents(const std::vector<QueueEvent>& events);
  wire::CallReply Run(const wire::CallRequest& request,
                      const std::string& traceparent,
                      TimePoint deadline,
                      const ConnectionWatch& caller);
  wire::CallReply SendToTarget(const wire::CallRequest& request,
                               const std::string& traceparent,
                               TimePoint deadline,
                               const ConnectionWatch& caller);
  wire::CallReply Complete(wire::CallReply reply, const wire::CallRequest& request);

  mutable std::mutex mutex_;
  InboundGate gate_;
  std::map<std::string, Waiter*> waiters_;
  TargetClient& target_;
  Tracer& tracer_;
  Counter& calls_;
  Counter& refusals_;
  Counter& cancelled_;
};

}  // namespace limpet

#endif  // LIMPET_NET_INBOUND_SERVICE_H_
