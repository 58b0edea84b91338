#ifndef LIMPET_EDGE_OUTBOUND_PROXY_H_
#define LIMPET_EDGE_OUTBOUND_PROXY_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "limpet/access/access_policy.h"
#include "limpet/core/counters.h"
#include "limpet/core/latency_buckets.h"
#include "limpet/edge/http_header_names.h"
#include "limpet/edge/http_session.h"
#include "limpet/edge/inbound_proxy.h"
#include "limpet/edge/peer_links.h"
#include "limpet/edge/quota_agent.h"
#include "limpet/routing/route_table.h"
#include "limpet/routing/traffic_splitter.h"
#include "limpet/traffic/mesh_call.h"
#include "limpet/traffic/service_times.h"

namespace limpet::edge {

struct OutboundProxyOptions {
  std::string node;
  std::string data_centre;
  /// Service on this VM; sent with every request as the service of its caller.
  std::string service;
  /// Longest time for which a message that is read now may have waited.
  std::function<Duration()> max_input_age = [] { return Duration(0); };
};

/// Handles requests of callers on this VM: matches the route, selects targets, makes attempts and
/// sends the response.
class OutboundProxy {
 public:
  /// The references must outlive the proxy. `routes` returns null before the first configuration.
  OutboundProxy(const Executor& executor,
                OutboundProxyOptions options,
                const HttpHeaderNames& header_names,
                std::function<RouteTablePtr()> routes,
                TargetPlacement& placement,
                SharedRetryBudget& budget,
                PeerLinks& links,
                InboundProxy& inbound,
                QuotaAgent& quota,
                Counters& counters,
                AccessPolicy& access,
                Random random);
  ~OutboundProxy();

  void Handle(const HttpSessionPtr& session);
  /// Responds with 503 and Retry-After: the request did not run.
  void Refuse(const HttpSessionPtr& session, std::string_view reason, Duration retry_after);
  /// The process ends soon: every request gets its response by `answer_by`. Requests that cannot be
  /// served by then are refused at once, or are withdrawn from the queues in which they wait.
  void StartStopping(TimePoint answer_by) { answer_by_ = answer_by; }
  /// Withdraws and ends the calls for which the time is up. Call it about every 50 ms after
  /// `StartStopping`.
  void TickStopping(TimePoint now);
  bool idle() const { return calls_.empty(); }
  /// Latency from the receipt of the complete request until its response is ready to be sent.
  const LatencyBuckets& latency() const { return latency_; }
  void set_service(std::string service) { options_.service = std::move(service); }

 private:
  class ActiveCall;

  void Respond(const HttpSessionPtr& session, int status, std::string_view reason, Duration retry);
  /// Waits for a token of the account, then starts the call or refuses it.
  void AdmitByQuota(const HttpSessionPtr& session,
                    const RouteTablePtr& routes,
                    const MeshRoute& route,
                    const MeshCallOptions& options);
  void StartCall(const HttpSessionPtr& session,
                 const MeshRoute& route,
                 MeshCallOptions options,
                 std::function<void()> on_not_run);
  /// Removes the key and a name of an account that the caller sent, and adds the name of `account`.
  void ReplaceCredentials(HttpHeaders& headers, const std::string& account) const;
  MeshCallOptions MakeCallOptions(const MeshRoute& route, const HttpRequest& request);
  /// True if this process has less time left than the request needs.
  bool IsTooLate(TimePoint now, Duration typical_service_time) const;
  /// Time after which a new process of this node should accept requests.
  Duration UntilSuccessor(TimePoint now) const;

  Executor executor_;
  OutboundProxyOptions options_;
  const HttpHeaderNames& header_names_;
  std::function<RouteTablePtr()> routes_;
  TargetPlacement& placement_;
  SharedRetryBudget& budget_;
  PeerLinks& links_;
  InboundProxy& inbound_;
  QuotaAgent& quota_;
  Counters& counters_;
  AccessPolicy& access_;
  TrafficSplitter traffic_splitter_;
  ServiceTimes route_latencies_;
  /// Service times by route. Samples of fast and slow targets mix, so a small weight of new samples
  /// is needed.
  ServiceTimes service_times_{0.03};
  LatencyBuckets latency_;
  /// Moving average of the response size by route, in bytes.
  std::unordered_map<std::string, double> response_bytes_;
  std::unordered_set<std::shared_ptr<ActiveCall>> calls_;
  /// Set while the process is stopping: time by which all responses are due.
  std::optional<TimePoint> answer_by_;
  int64_t next_local_call_ = 1;
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_OUTBOUND_PROXY_H_
