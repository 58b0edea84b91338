#ifndef LIMPET_NET_OUTBOUND_SERVICE_H_
#define LIMPET_NET_OUTBOUND_SERVICE_H_

#include <functional>
#include <mutex>
#include <string>

#include "limpet/config/snapshot.h"
#include "limpet/core/counters.h"
#include "limpet/core/random.h"
#include "limpet/net/http_server.h"
#include "limpet/net/peer_client.h"
#include "limpet/net/tracer.h"
#include "limpet/traffic/balancer.h"
#include "limpet/traffic/outbound_call.h"
#include "limpet/traffic/retry_policy.h"

namespace limpet {

/// Sends the calls of local callers to other nodes: finds the route, runs the state machine
/// `OutboundCall` and returns an HTTP response. Blocks the calling thread; safe for concurrent use.
///
/// Every response has the header `X-Limpet-Outcome`; a refusal also has `X-Limpet-Reason`.
class OutboundService {
 public:
  using SnapshotSource = std::function<ConfigSnapshotPtr()>;

  OutboundService(std::string node,
                  std::string data_centre,
                  SelectionKind selection,
                  Random random,
                  PeerClient& peers,
                  SnapshotSource snapshots,
                  Tracer& tracer,
                  Counters& counters);

  HttpResponse Handle(const HttpRequest& request, const ConnectionWatch& caller);
  void UpdateEndpoints(const EndpointView& view);

 private:
  struct Call;

  CallResult RunCall(const OutboundCallOptions& options,
                     const HttpRequest& request,
                     const std::string& traceparent,
                     const ConnectionWatch& caller);
  Call MakeCall(const OutboundCallOptions& options, const HttpRequest& request);
  OutboundCallOptions MakeOptions(const ConfigSnapshot& snapshot,
                                  const wire::Route& route,
                                  const HttpRequest& request) const;
  wire::CallRequest MakeCallRequest(const HttpRequest& request) const;
  CallActions RunAttempt(Call& call, const SendAttempt& send, const ConnectionWatch& caller);
  CallActions Send(Call& call, const SendAttempt& send, const ConnectionWatch& caller);
  HttpResponse ToHttpResponse(CallResult result) const;

  Counter& calls_;
  Counter& attempts_;
  Counter& refusals_;
  PeerClient& peers_;
  SnapshotSource snapshots_;
  Tracer& tracer_;
  std::mutex mutex_;
  Random random_;
  Balancer balancer_;
  RetryPolicy retry_policy_;
};

/// Makes the HTTP response of a refused call: the status that belongs to `reason`, and the outcome
/// and reason headers.
HttpResponse MakeRefusal(wire::Outcome::type outcome, wire::RefusalReason::type reason);

}  // namespace limpet

#endif  // LIMPET_NET_OUTBOUND_SERVICE_H_
