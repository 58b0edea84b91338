#ifndef LIMPET_EDGE_INBOUND_PROXY_H_
#define LIMPET_EDGE_INBOUND_PROXY_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "limpet/core/counters.h"
#include "limpet/core/latency_buckets.h"
#include "limpet/edge/http_connection.h"
#include "limpet/edge/http_header_names.h"
#include "limpet/edge/vm_link.h"
#include "limpet/traffic/target_gate.h"

namespace limpet::edge {

class Link;
struct ExchangeOutcome;

/// Receives the reply of a pending call: a link to another node, or this node itself.
class ReplySink {
 public:
  virtual ~ReplySink() = default;
  /// False once the reply can no longer be delivered.
  virtual bool IsOpen() const = 0;
  /// Whether the call came on this link. False for calls of this node.
  virtual bool IsFor(const Link& /*link*/) const { return false; }
  virtual void Deliver(wire::LinkReply reply, std::string body) = 0;
};

using ReplySinkPtr = std::shared_ptr<ReplySink>;

/// Forwards calls of nodes to the local target once the `TargetGate` admits them. If the link of a
/// call is lost, its reply is kept for a while, and the calling node gets it when it sends the call
/// again with the same key.
class InboundProxy {
 public:
  /// The references must outlive the proxy. `on_status` is called when the state, the instance or,
  /// by a considerable amount, the load of the target has changed.
  InboundProxy(const Executor& executor,
               const HttpHeaderNames& header_names,
               TargetGate& gate,
               Counters& counters,
               VmLink vm_link,
               std::function<void()> on_status);
  ~InboundProxy();

  /// `key` is unique among the calls of all nodes; a resent call has the same key. If the call
  /// announces a body (`body_bytes`) and is not refused, it waits for `AddBody`.
  /// `may_be_forgotten`: see `GateCall`.
  void Call(const std::string& key,
            wire::LinkCall call,
            std::string body,
            ReplySinkPtr sink,
            bool may_be_forgotten = false);
  /// See `TargetGate::id_retention`.
  Duration id_retention() const { return gate_.id_retention(); }
  /// Whether the body of this call is still to be received.
  bool IsAwaitingBody(const std::string& key) const;
  /// Adds bytes received on `link` to the body of a call that waits for it. Bytes with any other
  /// `offset` than the end of the body so far, or beyond its announced size, end the call. Bytes
  /// for other calls are dropped, and so are those of a link on which the call came before it was
  /// sent again: they may still be on their way.
  void AddBody(const std::string& key, const Link& link, int64_t offset, std::string_view bytes);
  /// Cancels a call whose reply is no longer needed. A non-idempotent request that has been sent to
  /// the target is not interrupted.
  void Cancel(const std::string& key);

  /// Ends a call that has not been sent to the target, with the outcome `kNotRun`. Other calls go
  /// on. A copy of a withdrawn call that arrives later is refused.
  void Withdraw(const std::string& key);

  /// Sets the local target; null if there is none.
  void SetTarget(const TargetAnnouncement* target);
  void StartDraining();
  /// While closed, all calls are refused; see `TargetGate::SetClosed`.
  void SetClosed(bool closed);
  /// Removes expired calls and replies. Call it about every 50 ms.
  void Tick();

  wire::TargetStatus Status() const;
  bool idle() const { return pending_.empty(); }
  /// Latency from the arrival of a call to the end of its exchange with the target.
  const LatencyBuckets& latency() const { return latency_; }

 private:
  struct PendingCall {
    wire::LinkCall call;
    std::string body;
    ReplySinkPtr sink;
    TimePoint arrived{};
    /// Time at which the request was sent to the target.
    TimePoint started{};
    TimePoint deadline{};
    HttpConnectionPtr connection;
    bool awaiting_body = false;
    bool reused_connection = false;
    /// Time at which the sink was first found closed; zero while it is open.
    TimePoint orphaned_since{};
  };
  struct FinishedReply {
    wire::LinkReply reply;
    std::string body;
    TimePoint expiry{};
  };

  using PendingCallMap = std::unordered_map<std::string, PendingCall>;

  /// Expected size of the response in bytes if its transfer is paced; 0 otherwise.
  std::size_t PacedBytes(const wire::LinkCall& call) const;
  /// Moves a call out of `pending_`.
  PendingCall TakePending(PendingCallMap::iterator call);
  void SendToTarget(const std::string& key, PendingCall& pending);
  HttpRequest MakeRequest(const PendingCall& pending, TimePoint now) const;
  HttpConnectionPtr AcquireConnection(TimePoint now, bool idempotent, bool& reused);
  void OnExchange(const std::string& key, ExchangeResult result);
  void Finish(const std::string& key, ExchangeOutcome outcome, std::string body);
  void HandleGateEvents(const std::vector<GateEvent>& events);
  void Refuse(const std::string& key, const GateDecision& decision);
  void LogRefusal(const PendingCall& pending, const GateDecision& decision);
  void Reply(PendingCall& pending, const std::string& key, wire::LinkReply reply, std::string body);
  void ReportStatusChange();

  Executor executor_;
  const HttpHeaderNames& header_names_;
  TargetGate& gate_;
  Counters& counters_;
  VmLink vm_link_;
  std::function<void()> on_status_;
  PendingCallMap pending_;
  /// Total expected size of the paced responses of `pending_`, in bytes.
  std::size_t admitted_bytes_ = 0;
  std::unordered_map<std::string, FinishedReply> finished_replies_;
  /// Withdrawn calls, until no copy of them can arrive any more.
  std::unordered_map<std::string, TimePoint> withdrawn_until_;
  PeerAddress target_address_;
  std::string target_instance_;
  std::vector<HttpConnectionPtr> idle_connections_;
  wire::TargetStatus reported_status_;
  LatencyBuckets latency_;
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_INBOUND_PROXY_H_
