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
  /// Number of endpoints of one service that a node connects to.
  size_t subset_width = 8;
  /// An endpoint that is added after the first view, or that restarts, gets its full share of the
  /// calls only after this time; see `Balancer::ApplySlowStart`.
  Duration slow_start = std::chrono::seconds(10);
};

/// Selects the endpoint of each attempt for one caller node. Not safe for concurrent use.
///
/// Endpoints in the data centre of this node are preferred to those in other data centres, and both
/// to endpoints that failed, are marked as unreachable or refused calls because of overload. A
/// recent success overrides the reachability flag. A flag or overload that affects most endpoints
/// at once is ignored, because the cause is then more likely the signal itself or this node.
class Balancer {
 public:
  /// `caller` is the name of this node. It determines the connection subset.
  Balancer(BalancerOptions options, std::string caller, std::string data_centre, Random random);

  /// Installs a new view. The statistics of an endpoint are kept as long as its incarnation does
  /// not change; the count of calls in flight is always kept.
  void Update(TimePoint now, const EndpointView& view);

  /// Returns nothing if the service is unknown or has no endpoint outside `excluded` (node names).
  std::optional<Endpoint> Pick(TimePoint now,
                               std::string_view service,
                               const std::vector<std::string>& excluded);

  /// Counts a new attempt at `node`. Each OnAttemptStart must be followed by exactly one
  /// OnAttemptEnd.
  void OnAttemptStart(TimePoint now, const std::string& node);

  /// Records the end of an attempt, with or without a reply. Without one, `reason` is
  /// `kConnectionLost`, `kTargetTimeout` or `kCancelled` and `load` is empty (limit 0).
  void OnAttemptEnd(TimePoint now,
                    const std::string& node,
                    wire::Outcome::type outcome,
                    wire::RefusalReason::type reason,
                    Duration latency,
                    const wire::LoadReport& load);

  /// Endpoints that this node should hold connections to, in the order of SelectSubset. Empty for
  /// an unknown service.
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
  void RemoveUnusedEndpoints();
  Candidates CollectCandidates(const std::vector<std::string>& nodes,
                               const std::vector<std::string>& excluded) const;
  Candidates FilterAcceptable(TimePoint now, const Candidates& all) const;
  /// Returns the unsaturated endpoints of the local data centre, or all of `acceptable` if there
  /// are none or the best of them is much slower than the best remote endpoint.
  Candidates PreferLocal(TimePoint now, const Candidates& acceptable) const;
  /// Keeps an endpoint in slow start with a probability that grows with the time since it was
  /// added.
  Candidates ApplySlowStart(TimePoint now, const Candidates& candidates);
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
