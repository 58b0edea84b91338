#ifndef LIMPET_EDGE_EDGE_NODE_H_
#define LIMPET_EDGE_EDGE_NODE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "limpet/core/counters.h"
#include "limpet/distribution/store_readers.h"
#include "limpet/edge/coordination.h"
#include "limpet/edge/http_header_names.h"
#include "limpet/edge/link_server.h"
#include "limpet/edge/listener.h"
#include "limpet/edge/outbound_proxy.h"
#include "limpet/edge/peer_links.h"
#include "limpet/edge/target_probe.h"
#include "limpet/registry/target_registry.h"
#include "limpet/routing/config_holder.h"
#include "limpet/settings/node_settings.h"

namespace limpet::edge {

/// Decoding of what targets say of themselves and of the other requests that a deployment sends to
/// a node. Implemented by an adapter.
class AnnouncementCodec {
 public:
  struct Leave {
    std::string instance;
    std::optional<int64_t> start_time_ms;
  };
  struct Message {
    /// Exactly one is set.
    std::optional<TargetAnnouncement> announcement;
    std::optional<Leave> leave;
  };

  virtual ~AnnouncementCodec() = default;
  /// Throws `DecodeError` for a request that names no target to use.
  virtual Message Decode(const HttpRequest& request) const = 0;
  /// Answer to a heartbeat that was taken in.
  virtual HttpResponse Acknowledge() const = 0;
  virtual bool IsReadinessRequest(const HttpRequest& request) const = 0;
};

/// One node of the mesh on one event loop: callers, links, the target beside it, configuration and
/// readiness.
class EdgeNode final : private PeerLinksObserver {
 public:
  /// The references must outlive the node. Throws `ListenError`.
  EdgeNode(const Executor& executor,
           NodeSettings settings,
           HttpHeaderNames header_names,
           AnnouncementCodec& codec,
           Coordination& coordination);
  ~EdgeNode() override;

  void Start();
  /// Takes over changed settings; addresses that are listened on stay as they are.
  void Reload(const NodeSettings& settings);
  /// Leaves the mesh gracefully; `on_stopped` is called when no request is open or the grace period
  /// is nearly over.
  void Stop(std::function<void()> on_stopped);

  const Counters& counters() const { return counters_; }

 private:
  void OnPeerStatus(const wire::NodeAddress& node, const wire::TargetStatus& status) override;
  void OnPeerReachable(const std::string& node, bool reachable) override;
  void OnPeerUnresponsive(const std::string& node) override;
  void OnPeerVersion(const wire::NodeAddress& node,
                     int64_t version,
                     bool store_unreachable) override;
  void OnPeerConfig(const std::string& node, const wire::LinkConfig& change) override;
  void OnPeerAddresses(const std::vector<wire::NodeAddress>& nodes) override;

  LinkServerHooks MakeLinkHooks();
  void OnStoreConfig(MeshConfig config);
  void RecordConfigUpdate(ConfigUpdateResult result, std::string_view source);
  void RequestNewer(const std::string& node, int64_t version);
  void ProbeReaders(TimePoint now);
  void OnStatusChanged();
  void OnAnnouncement(const HttpSessionPtr& session);
  void ApplyAnnouncement(const TargetAnnouncement& announcement);
  void OnCallerRequest(const HttpSessionPtr& session);
  void OnReadiness(const HttpSessionPtr& session);
  void OnMetrics(const HttpSessionPtr& session);
  bool IsReady() const;
  void PushStatus(TimePoint now);
  void Tick();
  void CheckStopped();
  /// Looks for the target of a node that has just started.
  void DiscoverTarget(TimePoint now);

  Executor executor_;
  NodeSettings settings_;
  /// Identifies this process start to other nodes.
  int64_t incarnation_;
  HttpHeaderNames header_names_;
  AnnouncementCodec& codec_;
  Coordination& coordination_;
  Counters counters_;
  ConfigHolder config_;
  StoreReaders readers_;
  TargetRegistry registry_;
  TargetGate gate_;
  TargetPlacement placement_;
  SharedRetryBudget budget_;
  std::unique_ptr<PeerLinks> links_;
  std::unique_ptr<InboundProxy> inbound_;
  std::unique_ptr<OutboundProxy> outbound_;
  std::unique_ptr<LinkServer> link_server_;
  HttpSessionOptions caller_sessions_;
  HttpSessionOptions readiness_sessions_;
  HttpSessionOptions announcement_sessions_;
  HttpSessionOptions metrics_sessions_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  Timer tick_timer_;
  TimePoint started_{};
  TimePoint last_push_{};
  int local_pushes_ = 0;
  bool push_due_ = false;
  /// What other nodes were told last.
  wire::TargetStatus pushed_;
  TimePoint last_probe_{};
  TimePoint last_reader_probe_{};
  TimePoint config_requested_{};
  bool joined_ = false;
  TimePoint joined_at_{};
  TargetProbe target_probe_;
  TimePoint last_discovery_{};
  /// The target has announced itself or its leave.
  bool target_announced_ = false;
  bool stopping_ = false;
  /// Calls of other nodes are refused from now on.
  bool inbound_stopped_ = false;
  TimePoint stop_begun_{};
  std::function<void()> on_stopped_;
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_EDGE_NODE_H_
