#ifndef LIMPET_EDGE_ROLLOUT_AGENT_H_
#define LIMPET_EDGE_ROLLOUT_AGENT_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "limpet/core/counters.h"
#include "limpet/decision/decision_lease.h"
#include "limpet/edge/coordination.h"
#include "limpet/edge/inbound_proxy.h"
#include "limpet/edge/peer_links.h"
#include "limpet/edge/shared_state_agent.h"
#include "limpet/rollout/rollout_controller.h"
#include "limpet/rollout/rollout_meter.h"
#include "limpet/rollout/rollout_table.h"

namespace limpet::edge {

/// What the agent uses of its node. The references must outlive the agent.
struct RolloutAgentDependencies {
  RolloutTable& table;
  TargetGate& gate;
  InboundProxy& inbound;
  SharedStateAgent& shared_state;
  PeerLinks& links;
  Coordination& coordination;
  const DecisionLease& lease;
  Counters& counters;
};

/// Takes part in roll-outs: passes the operator's orders on, applies the published states, reports
/// the results of the local target, and decides on the services whose lease this node holds.
class RolloutAgent {
 public:
  RolloutAgent(std::string self, RolloutOptions options, RolloutAgentDependencies dependencies);

  /// Call it before `Coordination::WatchConfig`.
  void Start();
  void OnReport(TimePoint now, const std::string& node, const wire::RolloutReport& report);
  /// Call it about every 50 ms.
  void Tick(TimePoint now);
  /// Whether an order is known, so that a decision may be needed.
  bool has_orders() const { return !orders_.empty(); }

 private:
  struct Held {
    std::unique_ptr<RolloutController> controller;
    int64_t token = 0;
    /// The state that an earlier holder stored was read; no decision before.
    bool resumed = false;
  };

  void OnStoreOrder(const RolloutOrder& order, int64_t token);
  void OnOrderEntry(const wire::SharedEntry& entry);
  void OnStatusEntry(const wire::SharedEntry& entry);
  void ReportTarget(TimePoint now);
  /// Refuses or admits calls to the local target as its version's roll-out requires.
  void CloseTarget();
  void Decide(TimePoint now, const RolloutOrder& order);
  void ReadStored(TimePoint now, const std::string& service);
  void WriteStored(TimePoint now, const std::string& service);
  void Publish(const std::string& service, int64_t token, const RolloutStatus& status);

  std::string self_;
  RolloutOptions options_;
  RolloutAgentDependencies node_;
  RolloutMeter meter_;
  /// Orders by service.
  std::map<std::string, RolloutOrder> orders_;
  std::map<std::string, Held> held_;
  bool closed_ = false;
  TimePoint next_report_{};
  bool read_pending_ = false;
  bool write_pending_ = false;
  TimePoint next_store_call_{};
  /// Empty after destruction; callbacks of the store that run later check it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_ROLLOUT_AGENT_H_
