#include "limpet/traffic/balancer.h"

#include <algorithm>
#include <utility>

#include "limpet/traffic/connection_subset.h"

namespace limpet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kInitialAvoidance = milliseconds(100);
constexpr Duration kMaxAvoidance = seconds(5);
/// Within 2 s the view shows that a node is leaving or has restarted.
constexpr Duration kLeavingAvoidance = seconds(2);
constexpr Duration kOverloadAvoidance = milliseconds(50);
/// A single timeout can be caused by one slow request if other attempts succeeded in the meantime.
constexpr int kTimeoutsBeforeAvoidance = 2;
/// A success within this time overrides the reachability flag.
constexpr Duration kMaxSuccessAge = seconds(5);
constexpr Duration kMaxLoadReportAge = seconds(1);
/// Calls may go to other data centres when the lowest expected latency in the local data centre
/// exceeds the lowest remote one by this factor.
constexpr double kSpilloverLatencyRatio = 3.0;
/// Lowest probability with which an endpoint in slow start is considered for an attempt.
constexpr double kMinSlowStartShare = 0.1;
/// Weight of a sample in the expected latency. Rises have the greater weight, so that a target that
/// becomes slow soon gets fewer calls.
constexpr double kRiseWeight = 0.3;
constexpr double kFallWeight = 0.1;

bool IsAvoided(TimePoint now, const EndpointStats& stats) {
  // After failures one call at a time probes the endpoint.
  return now < stats.avoid_until || (stats.avoid_until != TimePoint{} && stats.in_flight > 0);
}

bool IsUnreachable(TimePoint now, const EndpointStats& stats) {
  const bool has_recent_success = stats.has_succeeded && now - stats.last_success < kMaxSuccessAge;
  return !stats.endpoint.reachable && !has_recent_success;
}

bool IsOverloaded(TimePoint now, const EndpointStats& stats) {
  return now < stats.overloaded_until;
}

bool IsSaturated(TimePoint now, const EndpointStats& stats) {
  const bool is_fresh = stats.load.limit > 0 && now - stats.load_time < kMaxLoadReportAge;
  return IsOverloaded(now, stats) ||
         (is_fresh && (stats.load.queued > 0 || stats.load.in_flight >= stats.load.limit));
}

/// Removes the candidates for which `is_bad` holds, unless they are more than half of
/// `total_endpoints` or all that are left.
template <typename Predicate>
void RemoveMinority(Candidates& candidates, size_t total_endpoints, Predicate is_bad) {
  const auto count =
      static_cast<size_t>(std::count_if(candidates.begin(), candidates.end(), is_bad));
  if (2 * count <= total_endpoints && count < candidates.size()) {
    std::erase_if(candidates, is_bad);
  }
}

/// Returns 0 if the expected latency of no candidate is known.
Duration FindLowestLatency(const Candidates& candidates) {
  Duration best{0};
  for (const EndpointStats* stats : candidates) {
    const Duration latency = stats->expected_latency;
    if (latency > Duration(0) && (best == Duration(0) || latency < best)) {
      best = latency;
    }
  }
  return best;
}

}  // namespace

Balancer::Balancer(BalancerOptions options,
                   std::string caller,
                   std::string data_centre,
                   Random random)
    : options_(options),
      caller_(std::move(caller)),
      data_centre_(std::move(data_centre)),
      random_(random) {}

void Balancer::Update(TimePoint now, const EndpointView& view) {
  for (auto& [node, stats] : endpoints_) {
    stats.in_view = false;
  }
  std::erase_if(services_,
                [&](const auto& entry) { return view.EndpointsOf(entry.first).empty(); });
  for (const auto& [name, endpoints] : view.services()) {
    ServiceTable& table = services_[name];
    table.nodes.clear();
    table.subset.clear();
    for (const Endpoint& endpoint : endpoints) {
      UpdateEndpoint(now, endpoint);
      table.nodes.push_back(endpoint.node);
    }
    for (const Endpoint& endpoint :
         SelectSubset(caller_, data_centre_, endpoints, options_.subset_width)) {
      table.subset.push_back(endpoint.node);
    }
    if (!table.strategy) {
      table.strategy = MakeSelectionStrategy(options_.selection);
    }
  }
  RemoveUnusedEndpoints();
  has_view_ = true;
}

void Balancer::UpdateEndpoint(TimePoint now, const Endpoint& endpoint) {
  auto [position, is_new] = endpoints_.try_emplace(endpoint.node);
  EndpointStats& stats = position->second;
  if (is_new || stats.endpoint.incarnation != endpoint.incarnation) {
    const int in_flight = stats.in_flight;
    stats = EndpointStats{};
    stats.in_flight = in_flight;
    // No slow start for the endpoints of the first view: this node has started, not the endpoints.
    stats.slow_start = has_view_;
    stats.slow_start_time = now;
  }
  stats.endpoint = endpoint;
  stats.in_view = true;
}

void Balancer::RemoveUnusedEndpoints() {
  std::erase_if(endpoints_, [](const auto& entry) {
    return !entry.second.in_view && entry.second.in_flight == 0;
  });
}

std::optional<Endpoint> Balancer::Pick(TimePoint now,
                                       std::string_view service,
                                       const std::vector<std::string>& excluded) {
  const auto position = services_.find(service);
  if (position == services_.end()) {
    return std::nullopt;
  }
  ServiceTable& table = position->second;
  Candidates acceptable = FilterAcceptable(now, CollectCandidates(table.subset, excluded));
  Candidates all;
  if (acceptable.empty()) {
    all = CollectCandidates(table.nodes, excluded);
    acceptable = FilterAcceptable(now, all);
  }
  if (acceptable.empty() && all.empty()) {
    return std::nullopt;
  }
  // If all endpoints failed, the fault is more likely on this node: any endpoint may be selected.
  const Candidates candidates =
      acceptable.empty() ? all : ApplySlowStart(now, PreferLocal(now, acceptable));
  return candidates[table.strategy->Select(now, candidates, random_)]->endpoint;
}

Candidates Balancer::CollectCandidates(const std::vector<std::string>& nodes,
                                       const std::vector<std::string>& excluded) const {
  Candidates found;
  for (const std::string& node : nodes) {
    if (std::find(excluded.begin(), excluded.end(), node) == excluded.end()) {
      found.push_back(&endpoints_.find(node)->second);
    }
  }
  return found;
}

Candidates Balancer::FilterAcceptable(TimePoint now, const Candidates& all) const {
  Candidates acceptable = all;
  std::erase_if(acceptable, [&](const EndpointStats* stats) { return IsAvoided(now, *stats); });
  RemoveMinority(acceptable, all.size(),
                 [&](const EndpointStats* stats) { return IsUnreachable(now, *stats); });
  RemoveMinority(acceptable, all.size(),
                 [&](const EndpointStats* stats) { return IsOverloaded(now, *stats); });
  return acceptable;
}

Candidates Balancer::PreferLocal(TimePoint now, const Candidates& acceptable) const {
  Candidates local;
  Candidates remote;
  for (const EndpointStats* stats : acceptable) {
    if (stats->endpoint.data_centre != data_centre_) {
      remote.push_back(stats);
    } else if (!IsSaturated(now, *stats)) {
      local.push_back(stats);
    }
  }
  if (local.empty()) {
    return acceptable;
  }
  const Duration best_remote = FindLowestLatency(remote);
  const bool is_slow =
      best_remote > Duration(0) && FindLowestLatency(local) > kSpilloverLatencyRatio * best_remote;
  return is_slow ? acceptable : local;
}

Candidates Balancer::ApplySlowStart(TimePoint now, const Candidates& candidates) {
  Candidates allowed;
  for (const EndpointStats* stats : candidates) {
    const auto age = static_cast<double>((now - stats->slow_start_time).count());
    const double ramp = age / static_cast<double>(options_.slow_start.count());
    if (!stats->slow_start || random_.NextFraction() < std::max(kMinSlowStartShare, ramp)) {
      allowed.push_back(stats);
    }
  }
  return allowed.empty() ? candidates : allowed;
}

void Balancer::OnAttemptStart(TimePoint /*now*/, const std::string& node) {
  ++endpoints_[node].in_flight;
}

void Balancer::OnAttemptEnd(TimePoint now,
                            const std::string& node,
                            wire::Outcome::type outcome,
                            wire::RefusalReason::type reason,
                            Duration latency,
                            const wire::LoadReport& load) {
  const auto position = endpoints_.find(node);
  if (position == endpoints_.end()) {
    return;
  }
  EndpointStats& stats = position->second;
  stats.in_flight = std::max(0, stats.in_flight - 1);
  if (load.limit > 0) {
    stats.load = load;
    stats.load_time = now;
  }
  switch (reason) {
    case wire::RefusalReason::kNone:
      if (outcome == wire::Outcome::kRan) {
        OnSuccess(now, stats, latency);
      }
      break;
    case wire::RefusalReason::kOverloaded:
    case wire::RefusalReason::kQueueTimeout:
    case wire::RefusalReason::kCallerShare:
      stats.overloaded_until = now + random_.Jitter(kOverloadAvoidance, 0.5);
      break;
    case wire::RefusalReason::kDraining:
    case wire::RefusalReason::kWrongIncarnation:
      ++stats.failures;
      stats.last_failure = now;
      stats.avoid_until = now + kLeavingAvoidance;
      break;
    case wire::RefusalReason::kTargetTimeout:
    case wire::RefusalReason::kTruncatedReply:
      stats.expected_latency = std::max(stats.expected_latency, latency);
      if (++stats.failures >= kTimeoutsBeforeAvoidance || stats.last_success < now - latency) {
        OnFailure(now, stats);
      }
      break;
    case wire::RefusalReason::kConnectionLost:
    case wire::RefusalReason::kTargetUnavailable:
      ++stats.failures;
      OnFailure(now, stats);
      break;
    default:
      // Passed deadlines, duplicates and cancellations say nothing about the state of the endpoint.
      break;
  }
}

void Balancer::OnSuccess(TimePoint now, EndpointStats& stats, Duration latency) {
  // The success of an attempt that was sent before the last failure does not show a recovery: a
  // draining endpoint still replies to the attempts that it has accepted.
  if (now - latency >= stats.last_failure) {
    stats.failures = 0;
    stats.avoid_until = TimePoint{};
  }
  stats.last_success = now;
  stats.has_succeeded = true;
  if (stats.expected_latency == Duration(0)) {
    stats.expected_latency = latency;
    return;
  }
  const double weight = latency > stats.expected_latency ? kRiseWeight : kFallWeight;
  const auto change = static_cast<double>((latency - stats.expected_latency).count()) * weight;
  stats.expected_latency += Duration(static_cast<Duration::rep>(change));
}

void Balancer::OnFailure(TimePoint now, EndpointStats& stats) {
  constexpr int kMaxDoublings = 6;
  stats.last_failure = now;
  const Duration avoidance = std::min(
      kMaxAvoidance, kInitialAvoidance * (1 << std::min(stats.failures - 1, kMaxDoublings)));
  stats.avoid_until = std::max(stats.avoid_until, now + random_.Jitter(avoidance, 0.2));
}

std::vector<Endpoint> Balancer::Subset(std::string_view service) const {
  std::vector<Endpoint> subset;
  const auto position = services_.find(service);
  if (position != services_.end()) {
    for (const std::string& node : position->second.subset) {
      subset.push_back(endpoints_.find(node)->second.endpoint);
    }
  }
  return subset;
}

const EndpointStats* Balancer::Find(const std::string& node) const {
  const auto position = endpoints_.find(node);
  return position == endpoints_.end() ? nullptr : &position->second;
}

}  // namespace limpet
