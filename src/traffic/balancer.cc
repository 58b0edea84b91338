#include "limpet/traffic/balancer.h"

#include <algorithm>
#include <utility>

#include "limpet/traffic/connection_subset.h"

namespace limpet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kFirstAvoidance = milliseconds(100);
constexpr Duration kLongestAvoidance = seconds(5);
/// The view reflects a leaving or restarted node within 2 s.
constexpr Duration kLeavingAvoidance = seconds(2);
constexpr Duration kOverloadAvoidance = milliseconds(50);
/// One timeout can be an ordinary slow request if other answers came in the meantime.
constexpr int kTimeoutsToAvoid = 2;
/// An answer this recent outranks a reachability flag.
constexpr Duration kEvidenceAge = seconds(5);
constexpr Duration kLoadReportAge = seconds(1);
/// Calls leave the data centre when its best endpoint is slower than a remote one by this factor.
constexpr double kSpillFactor = 3.0;
constexpr double kSlowStartFloor = 0.1;
/// Rises are followed faster than falls, so that a target that becomes slow loses calls soon.
constexpr double kRiseWeight = 0.3;
constexpr double kFallWeight = 0.1;

bool IsAvoided(TimePoint now, const EndpointStats& stats) {
  // While it has failures and a call in flight, that call is the probe and one is enough.
  return now < stats.avoid_until || (stats.avoid_until != TimePoint{} && stats.in_flight > 0);
}

bool IsFlagged(TimePoint now, const EndpointStats& stats) {
  const bool answered = stats.has_succeeded && now - stats.last_success < kEvidenceAge;
  return !stats.endpoint.reachable && !answered;
}

bool IsOverloaded(TimePoint now, const EndpointStats& stats) {
  return now < stats.overloaded_until;
}

bool IsSaturated(TimePoint now, const EndpointStats& stats) {
  const bool fresh = stats.load.limit > 0 && now - stats.load_time < kLoadReportAge;
  return IsOverloaded(now, stats) ||
         (fresh && (stats.load.queued > 0 || stats.load.in_flight >= stats.load.limit));
}

/// Drops the endpoints that look bad, unless they are the majority of `all`.
template <typename Predicate>
void DropMinority(Candidates& candidates, size_t all, Predicate bad) {
  const auto count = static_cast<size_t>(std::count_if(candidates.begin(), candidates.end(), bad));
  if (2 * count <= all && count < candidates.size()) {
    std::erase_if(candidates, bad);
  }
}

/// Lowest known expected latency; 0 if none is known.
Duration BestLatency(const Candidates& candidates) {
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
  RemoveUnused();
  has_view_ = true;
}

void Balancer::UpdateEndpoint(TimePoint now, const Endpoint& endpoint) {
  auto [position, is_new] = endpoints_.try_emplace(endpoint.node);
  EndpointStats& stats = position->second;
  if (is_new || stats.endpoint.incarnation != endpoint.incarnation) {
    const int in_flight = stats.in_flight;
    stats = EndpointStats{};
    stats.in_flight = in_flight;
    // Endpoints of the first view are taken as warm: this node started, not they.
    stats.slow_start = has_view_;
    stats.appeared = now;
  }
  stats.endpoint = endpoint;
  stats.in_view = true;
}

void Balancer::RemoveUnused() {
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
  Candidates good = Acceptable(now, Collect(table.subset, excluded));
  Candidates all;
  if (good.empty()) {
    all = Collect(table.nodes, excluded);
    good = Acceptable(now, all);
  }
  if (good.empty() && all.empty()) {
    return std::nullopt;
  }
  // If every endpoint failed at once, the fault is rather on this side: any of them will do.
  const Candidates candidates = good.empty() ? all : AllowSlowStart(now, PreferLocal(now, good));
  return candidates[table.strategy->Select(now, candidates, random_)]->endpoint;
}

Candidates Balancer::Collect(const std::vector<std::string>& nodes,
                             const std::vector<std::string>& excluded) const {
  Candidates found;
  for (const std::string& node : nodes) {
    if (std::find(excluded.begin(), excluded.end(), node) == excluded.end()) {
      found.push_back(&endpoints_.find(node)->second);
    }
  }
  return found;
}

Candidates Balancer::Acceptable(TimePoint now, const Candidates& all) const {
  Candidates good = all;
  std::erase_if(good, [&](const EndpointStats* stats) { return IsAvoided(now, *stats); });
  DropMinority(good, all.size(),
               [&](const EndpointStats* stats) { return IsFlagged(now, *stats); });
  DropMinority(good, all.size(),
               [&](const EndpointStats* stats) { return IsOverloaded(now, *stats); });
  return good;
}

Candidates Balancer::PreferLocal(TimePoint now, const Candidates& good) const {
  Candidates local;
  Candidates remote;
  for (const EndpointStats* stats : good) {
    if (stats->endpoint.data_centre != data_centre_) {
      remote.push_back(stats);
    } else if (!IsSaturated(now, *stats)) {
      local.push_back(stats);
    }
  }
  if (local.empty()) {
    return good;
  }
  const Duration best_remote = BestLatency(remote);
  const bool is_slow = best_remote > Duration(0) && BestLatency(local) > kSpillFactor * best_remote;
  return is_slow ? good : local;
}

Candidates Balancer::AllowSlowStart(TimePoint now, const Candidates& candidates) {
  Candidates allowed;
  for (const EndpointStats* stats : candidates) {
    const auto age = static_cast<double>((now - stats->appeared).count());
    const double ramp = age / static_cast<double>(options_.slow_start.count());
    if (!stats->slow_start || random_.NextFraction() < std::max(kSlowStartFloor, ramp)) {
      allowed.push_back(stats);
    }
  }
  return allowed.empty() ? candidates : allowed;
}

void Balancer::OnStart(TimePoint /*now*/, const std::string& node) {
  ++endpoints_[node].in_flight;
}

void Balancer::OnReply(TimePoint now,
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
      stats.failed_at = now;
      stats.avoid_until = now + kLeavingAvoidance;
      break;
    case wire::RefusalReason::kTargetTimeout:
    case wire::RefusalReason::kTruncatedReply:
      stats.expected_latency = std::max(stats.expected_latency, latency);
      if (++stats.failures >= kTimeoutsToAvoid || stats.last_success < now - latency) {
        OnFailure(now, stats);
      }
      break;
    case wire::RefusalReason::kConnectionLost:
    case wire::RefusalReason::kTargetUnavailable:
      ++stats.failures;
      OnFailure(now, stats);
      break;
    default:
      // Deadlines, copies and cancellations say nothing about the endpoint.
      break;
  }
}

void Balancer::OnSuccess(TimePoint now, EndpointStats& stats, Duration latency) {
  // An attempt sent before the failure says nothing about the time after it; a draining endpoint
  // still answers what it has.
  if (now - latency >= stats.failed_at) {
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
  stats.failed_at = now;
  const Duration avoidance = std::min(
      kLongestAvoidance, kFirstAvoidance * (1 << std::min(stats.failures - 1, kMaxDoublings)));
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
