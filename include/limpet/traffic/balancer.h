#ifndef LIMPET_TRAFFIC_BALANCER_H_
#define LIMPET_TRAFFIC_BALANCER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "limpet/core/random.h"
#include "limpet/core/time.h"
#include "limpet/membership/endpoint_view.h"
#include "limpet/traffic/endpoint_stats.h"
#include "limpet/traffic/selection_strategy.h"
#include "limpet_types.h"

namespace limpet {

struct BalancerOptions {
  SelectionKind selection = SelectionKind::kPowerOfTwo;
  /// Endpoints of one service that a node connects to.
  size_t subset_width = 8;
  /// An endpoint that appears after the first view ramps up over this time.
  Duration slow_start = std::chrono::seconds(10);
};

/// Selects the endpoint of each attempt for one caller node. Not safe for concurrent use.
///
/// Endpoints are ranked in tiers: own data centre, other data centres, suspected ones. Replies
/// outrank reachability flags, and a signal that condemns most endpoints at once is ignored because
/// it rather shows a fault of the signal or of this node.
class Balancer {
 public:
  /// `caller` is the name of this node; it determines the connection subset.
  Balancer(BalancerOptions options, std::string caller, std::string data_centre, Random random);

  /// Takes over a new view. Evidence about endpoints of unchanged incarnation is kept.
  void Update(TimePoint now, const EndpointView& view);

  /// Nothing if the service has no endpoint outside `excluded` (node names).
  std::optional<Endpoint> Pick(TimePoint now,
                               std::string_view service,
                               const std::vector<std::string>& excluded);

  /// An attempt was given to `node`. Each OnStart is followed by exactly one OnReply.
  void OnStart(TimePoint now, const std::string& node);

  /// An attempt ended: by a reply, or with `kConnectionLost`, `kTargetTimeout` or `kCancelled`.
  /// `load` is empty (limit 0) without a reply.
  void OnReply(TimePoint now,
               const std::string& node,
               wire::Outcome::type outcome,
               wire::RefusalReason::type reason,
               Duration latency,
               const wire::LoadReport& load);

  /// Endpoints that this node should hold connections to; sorted by rank.
  std::vector<Endpoint> Subset(std::string_view service) const;

  /// Null for an unknown node.
  const EndpointStats* Find(const std::string& node) const;

 private:
  struct ServiceTable {
    std::vector<std::string> nodes;
    std::vector<std::string> subset;
    std::unique_ptr<SelectionStrategy> strategy;
  };

  void UpdateEndpoint(TimePoint now, const Endpoint& endpoint);
  void RemoveUnused();
  Candidates Collect(const std::vector<std::string>& nodes,
                     const std::vector<std::string>& excluded) const;
  Candidates Acceptable(TimePoint now, const Candidates& all) const;
  Candidates PreferLocal(TimePoint now, const Candidates& good) const;
  Candidates AllowSlowStart(TimePoint now, const Candidates& candidates);
  void OnSuccess(TimePoint now, EndpointStats& stats, Duration latency);
  void OnFailure(TimePoint now, EndpointStats& stats);

  BalancerOptions options_;
  std::string caller_;
  std::string data_centre_;
  Random random_;
  bool has_view_ = false;
  std::map<std::string, EndpointStats, std::less<>> endpoints_;
  std::map<std::string, ServiceTable, std::less<>> services_;
};

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_BALANCER_H_
