#ifndef LIMPET_EDGE_EDGE_NODE_H_
#define LIMPET_EDGE_EDGE_NODE_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "limpet/core/counters.h"
#include "limpet/core/pause_monitor.h"
#include "limpet/distribution/store_readers.h"
#include "limpet/edge/caller_memory_report.h"
#include "limpet/edge/coordination.h"
#include "limpet/edge/freshness_agent.h"
#include "limpet/edge/http_header_names.h"
#include "limpet/edge/lease_agent.h"
#include "limpet/edge/link_server.h"
#include "limpet/edge/listener.h"
#include "limpet/edge/local_target.h"
#include "limpet/edge/outbound_proxy.h"
#include "limpet/edge/peer_links.h"
#include "limpet/edge/quota_agent.h"
#include "limpet/edge/rollout_agent.h"
#include "limpet/edge/shared_state_agent.h"
#include "limpet/routing/config_holder.h"
#include "limpet/settings/node_settings.h"

namespace limpet::edge {

/// One node of the mesh on one event loop. Serves callers, links and the local target, and handles
/// configuration and readiness.
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
  /// Applies changed settings. Listen addresses do not change.
  void Reload(const NodeSettings& settings);
  /// Stops gracefully. `on_stopped` is called when no request is pending or shortly before the
  /// grace period ends.
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
  int64_t OnProbe(const std::string& node) override { return freshness_->OnProbe(node); }
  void OnProbeReply(const std::string& node, const wire::LinkProbe& reply) override {
    freshness_->OnProbeReply(node, reply);
  }

  LinkServerHooks MakeLinkHooks();
  /// Whether this node should be a member of the group of deciding nodes.
  bool WantsDecisions() const;
  /// Receives messages of the shared state, quotas and roll-outs.
  void OnPeerMessage(const std::string& node, const wire::LinkMessage& message);
  void OnStoreConfig(MeshConfig config);
  void RecordConfigUpdate(ConfigUpdateResult result, std::string_view source);
  void RequestNewerConfig(const std::string& node, const std::string& data_centre, int64_t version);
  void OnStatusChanged();
  void OnCallerRequest(const HttpSessionPtr& session);
  void OnReadiness(const HttpSessionPtr& session);
  void OnMetrics(const HttpSessionPtr& session);
  bool IsReady() const;
  void PushStatus(TimePoint now);
  /// Runs a tick and starts the timer of the next one.
  void Tick();
  void RunTick(TimePoint now);
  void LogTraffic(TimePoint now);
  void CheckStopped();
  Executor executor_;
  NodeSettings settings_;
  /// Random id of this process start; other nodes detect a restart by it.
  int64_t incarnation_;
  HttpHeaderNames header_names_;
  AnnouncementCodec& codec_;
  Coordination& coordination_;
  Counters counters_;
  ConfigHolder config_;
  StoreReaders readers_;
  TargetGate gate_;
  RolloutTable rollout_table_{nullptr};
  TargetPlacement placement_;
  SharedRetryBudget budget_;
  PauseMonitor pause_monitor_;
  std::shared_ptr<LinkTraffic> traffic_;
  std::unique_ptr<PeerLinks> links_;
  std::unique_ptr<FreshnessAgent> freshness_;
  std::unique_ptr<SharedStateAgent> shared_state_;
  std::unique_ptr<LeaseAgent> leases_;
  std::unique_ptr<QuotaAgent> quota_;
  std::unique_ptr<RolloutAgent> rollouts_;
  std::unique_ptr<InboundProxy> inbound_;
  std::unique_ptr<LocalTarget> local_target_;
  std::unique_ptr<OutboundProxy> outbound_;
  std::unique_ptr<LinkServer> link_server_;
  std::unique_ptr<CallerMemoryReport> memory_report_;
  HttpSessionOptions caller_sessions_;
  HttpSessionOptions readiness_sessions_;
  HttpSessionOptions announcement_sessions_;
  HttpSessionOptions metrics_sessions_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  Timer tick_timer_;
  TimePoint started_{};
  TimePoint last_push_{};
  bool push_due_ = false;
  /// Status that was last pushed to other nodes.
  wire::TargetStatus last_pushed_status_;
  /// Status that was last pushed to other data centres, and when.
  wire::TargetStatus last_remote_status_;
  TimePoint last_remote_push_{};
  TimePoint last_traffic_log_{};
  TimePoint config_requested_{};
  /// Time at which a newer configuration was first reported; zero if this node is up to date.
  TimePoint behind_since_{};
  bool joined_ = false;
  TimePoint joined_at_{};
  bool stopping_ = false;
  /// Calls from other nodes are refused because this node is stopping.
  bool inbound_stopped_ = false;
  TimePoint stopping_since_{};
  std::function<void()> on_stopped_;
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_EDGE_NODE_H_
