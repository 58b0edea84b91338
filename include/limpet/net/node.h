#ifndef LIMPET_NET_NODE_H_
#define LIMPET_NET_NODE_H_

#include <atomic>
#include <memory>
#include <string>

#include "limpet/core/counters.h"
#include "limpet/net/control_loop.h"
#include "limpet/net/http_server.h"
#include "limpet/net/inbound_service.h"
#include "limpet/net/outbound_service.h"
#include "limpet/net/peer_client.h"
#include "limpet/net/peer_server.h"
#include "limpet/net/span_exporter.h"
#include "limpet/net/target_client.h"
#include "limpet/net/target_monitor.h"
#include "limpet/net/tracer.h"
#include "limpet/settings/node_settings.h"

namespace limpet {

/// One node process: control loop, server for other nodes, HTTP server for callers and admin
/// requests.
class Node : private PeerHandler {
 public:
  /// Starts to listen and joins the mesh. Throws `ListenError`, or `FileError` if the span file
  /// cannot be opened.
  explicit Node(const NodeSettings& settings);
  ~Node() override;

  /// Planned stop: announces that the node leaves, refuses new work with outcome `not_run` and
  /// waits until work in flight has finished, at most for the setting drain_timeout_ms. Returns
  /// false if work was still in flight at that time.
  bool Stop();

 private:
  wire::CallReply OnCall(const wire::CallRequest& request, const ConnectionWatch& watch) override;
  void OnDeliver(const wire::Envelope& envelope) override;

  void OnControlState(const ControlState& state);
  HttpResponse OnHttp(const HttpRequest& request, const ConnectionWatch& watch);
  HttpResponse OnCallerRequest(const HttpRequest& request, const ConnectionWatch& watch);
  HttpResponse HandleMetrics();
  HttpResponse HandleHealth();
  HttpResponse HandleReady();
  HttpResponse HandleMembers();
  HttpResponse HandleConfig();
  HttpResponse StartDrain();
  HttpResponse ChangeTargetState(const std::string& body);
  bool WaitUntilIdle();

  const NodeSettings settings_;
  Counters counters_;
  SpanExporter exporter_;
  Tracer tracer_;
  PeerClient peers_;
  TargetClient target_;
  std::atomic<bool> draining_{false};
  std::atomic<int> callers_in_flight_{0};
  std::unique_ptr<InboundService> inbound_;
  std::unique_ptr<OutboundService> outbound_;
  std::unique_ptr<ControlLoop> control_;
  std::unique_ptr<TargetMonitor> monitor_;
  std::unique_ptr<PeerServer> peer_server_;
  std::unique_ptr<HttpServer> http_server_;
};

}  // namespace limpet

#endif  // LIMPET_NET_NODE_H_
