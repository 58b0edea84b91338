#ifndef LIMPET_EDGE_INBOUND_PROXY_H_
#define LIMPET_EDGE_INBOUND_PROXY_H_

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "limpet/core/counters.h"
#include "limpet/core/latency_buckets.h"
#include "limpet/edge/egress_pacer.h"
#include "limpet/edge/http_connection.h"
#include "limpet/edge/http_header_names.h"
#include "limpet/traffic/target_gate.h"

namespace limpet::edge {

/// The caller's side of an open call: a link from another node, or this node itself.
class ReplySink {
 public:
  virtual ~ReplySink() = default;
  /// False once nobody can take the reply any more.
  virtual bool IsOpen() const = 0;
  virtual void Deliver(wire::LinkReply reply, std::string body) = 0;
};

using ReplySinkPtr = std::shared_ptr<ReplySink>;

/// Runs calls of nodes at the target beside this node, behind the `TargetGate`. A reply whose link
/// has broken is kept for a while, so that the calling node gets it when it asks again with the
/// same key.
class InboundProxy {
 public:
  /// The references must outlive the proxy. `pacer` may be null. `on_status` is called when the
  /// target's status has changed so much that other nodes should know.
  InboundProxy(const Executor& executor,
               const HttpHeaderNames& header_names,
               TargetGate& gate,
               Counters& counters,
               std::shared_ptr<const EgressPacer> pacer,
               std::function<void()> on_status);
  ~InboundProxy();

  /// `key` is unique among the calls of all nodes; a call that is sent again has the same key.
  void Call(const std::string& key, wire::LinkCall call, std::string body, ReplySinkPtr sink);
  /// The caller is no longer interested. A non-idempotent request that runs is left to finish.
  void Cancel(const std::string& key);

  /// The target beside this node; null when there is none.
  void SetTarget(const TargetAnnouncement* target);
  void StartDraining();
  /// Removes what is out of time; called every 50 ms or so.
  void Tick();

  wire::TargetStatus Status() const;
  bool idle() const { return pending_.empty(); }
  /// From the arrival at the gate to the end of the exchange with the target.
  const LatencyBuckets& latency() const { return latency_; }

 private:
  struct Pending {
    wire::LinkCall call;
    std::string body;
    ReplySinkPtr sink;
    TimePoint arrived{};
    /// When it was sent to the target.
    TimePoint started{};
    TimePoint deadline{};
    HttpConnectionPtr connection;
    bool reused_connection = false;
    bool sent_again = false;
    /// Set when the sink was first found closed.
    TimePoint orphaned{};
  };
  struct FinishedReply {
    wire::LinkReply reply;
    std::string body;
    TimePoint expiry{};
  };
  struct Outcome {
    wire::LinkReply reply;
    TargetResult result = TargetResult::kBroken;
  };

  using PendingCalls = std::unordered_map<std::string, Pending>;

  /// Size of the response that the network link has to be free for; 0 if it is small.
  std::size_t PacedBytes(const wire::LinkCall& call) const;
  /// Takes a call out of `pending_`.
  Pending Take(PendingCalls::iterator call);
  void Run(const std::string& key, Pending& pending);
  HttpRequest MakeRequest(const Pending& pending, TimePoint now) const;
  HttpConnectionPtr Acquire(TimePoint now, bool idempotent, bool& reused);
  void OnExchange(const std::string& key, ExchangeResult result);
  Outcome Classify(const ExchangeResult& result) const;
  Outcome ClassifyResponse(const HttpResponse& response) const;
  void Finish(const std::string& key, Outcome outcome, std::string body);
  void Handle(const std::vector<GateEvent>& events);
  void Refuse(const std::string& key, const GateDecision& decision);
  void LogRefusal(const Pending& pending, const GateDecision& decision);
  void Reply(Pending& pending, const std::string& key, wire::LinkReply reply, std::string body);
  void ReportStatusChange();

  Executor executor_;
  const HttpHeaderNames& header_names_;
  TargetGate& gate_;
  Counters& counters_;
  std::shared_ptr<const EgressPacer> pacer_;
  std::function<void()> on_status_;
  PendingCalls pending_;
  /// Expected large responses of `pending_`.
  std::size_t admitted_bytes_ = 0;
  std::unordered_map<std::string, FinishedReply> finished_;
  PeerAddress target_address_;
  std::string target_instance_;
  std::vector<HttpConnectionPtr> idle_;
  wire::TargetStatus announced_;
  LatencyBuckets latency_;
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_INBOUND_PROXY_H_
