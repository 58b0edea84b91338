#include "limpet/traffic/target_placement.h"

#include <algorithm>
#include <utility>

#include "limpet/traffic/egress_schedule.h"

namespace limpet {

namespace {

/// A cold target takes about twice as long (the platform's cold factor).
constexpr double kColdFactor = 2.0;
/// Expected cost of a failure in service times: the request has to run again elsewhere, if it may.
constexpr double kFailureCost = 6.0;
/// Microseconds that a failure costs at least, however short the requests are: a repeat takes a
/// round trip and a place in the retry budget.
constexpr double kMinFailureTime = 10'000;
/// Equal scores are spread, so that callers with the same view do not all choose the same target.
constexpr double kScoreNoise = 0.1;
/// Part of a service time that a full target costs more than an empty one.
constexpr double kOccupancyCost = 0.25;
/// A silent node is used only if all others are far busier.
constexpr double kUnresponsiveFactor = 20.0;

}  // namespace

TargetPlacement::TargetPlacement(PlacementOptions options, std::string data_centre, Random random)
    : options_(options), data_centre_(std::move(data_centre)), random_(random) {}

void TargetPlacement::Update(TimePoint now,
                             const std::string& node,
                             const std::string& data_centre,
                             const wire::TargetStatus& status) {
  Entry& entry = entries_[node];
  entry.data_centre = data_centre;
  entry.status = status;
  entry.cold_until = now + std::chrono::milliseconds(status.cold_ms);
  entry.unresponsive_until = {};
}

void TargetPlacement::SetReachable(const std::string& node, bool reachable) {
  entries_[node].reachable = reachable;
}

void TargetPlacement::OnUnresponsive(TimePoint now, const std::string& node) {
  entries_[node].unresponsive_until = now + options_.unresponsive_penalty;
}

bool TargetPlacement::IsUsable(const Entry& entry, const std::string& service) const {
  return entry.reachable && entry.status.state == wire::TargetState::kUp &&
         entry.status.service_name == service && entry.status.slots > 0;
}

double TargetPlacement::ExpectedTime(TimePoint now,
                                     const Entry& entry,
                                     const PlacementRequest& request) const {
  const wire::LoadReport& load = entry.status.load;
  // A report holds this node's open calls as well as those of others.
  const int total = std::max(load.in_flight + load.queued, entry.open_calls);
  double slowdown =
      entry.status.slowdown_permille > 0 ? entry.status.slowdown_permille / 1000.0 : 1;
  if (now < entry.cold_until) {
    slowdown = std::max(slowdown, kColdFactor);
  }
  const auto typical = static_cast<double>(request.typical_service_time.count());
  const double service_time = typical * slowdown;
  // What waits ahead is of all routes, so the target's average over them counts for the wait.
  const double ahead_time = load.service_time_us > 0 ? load.service_time_us : service_time;
  const double excess = std::max(0, total + 1 - entry.status.slots);
  double expected = service_time + ahead_time * excess / entry.status.slots;
  // Among targets with free slots the emptier one absorbs what others send at the same time.
  expected *= 1 + kOccupancyCost * std::min(1.0, static_cast<double>(total) / entry.status.slots);
  expected += std::max(service_time, kMinFailureTime) * kFailureCost *
              entry.status.failure_permille / 1000.0;
  if (request.expected_response_bytes >= kLargeResponseBytes) {
    expected += entry.status.egress_wait_us +
                static_cast<double>(entry.status.egress_us_per_kib) *
                    static_cast<double>(request.expected_response_bytes) / 1024;
  }
  return now < entry.unresponsive_until ? expected * kUnresponsiveFactor : expected;
}

double TargetPlacement::RemotePenalty(size_t bytes) const {
  return static_cast<double>(options_.remote_penalty.count()) +
         static_cast<double>(options_.remote_penalty_per_kib.count()) * static_cast<double>(bytes) /
             1024.0;
}

TargetPlacement::Option TargetPlacement::Best(TimePoint now,
                                              std::vector<Option>& candidates,
                                              const PlacementRequest& request) {
  Option best;
  for (std::size_t i = 0; i < candidates.size() && i < options_.candidates_compared; ++i) {
    std::swap(candidates[i], candidates[i + random_.NextBelow(candidates.size() - i)]);
    Option& option = candidates[i];
    const double noise = 1 + kScoreNoise * random_.NextFraction();
    option.time = ExpectedTime(now, *option.entry, request) * noise;
    if (best.node == nullptr || option.time < best.time) {
      best = option;
    }
  }
  return best;
}

std::optional<PlacedTarget> TargetPlacement::Choose(TimePoint now,
                                                    const PlacementRequest& request,
                                                    const std::vector<std::string>& excluded) {
  std::vector<Option> local_options;
  std::vector<Option> remote_options;
  for (const auto& [node, entry] : entries_) {
    if (IsUsable(entry, request.service) && std::ranges::find(excluded, node) == excluded.end()) {
      auto& options = entry.data_centre == data_centre_ ? local_options : remote_options;
      options.push_back({&node, &entry, 0});
    }
  }
  const Option local = Best(now, local_options, request);
  const Option remote = Best(now, remote_options, request);
  const double size_share = std::min(1.0, static_cast<double>(request.expected_response_bytes) /
                                              static_cast<double>(options_.local_share_bytes));
  const double limit =
      options_.local_share * size_share * static_cast<double>(request.remaining_latency.count());
  const bool local_wins =
      local.node != nullptr &&
      (remote.node == nullptr || local.time <= limit ||
       local.time <= remote.time + RemotePenalty(request.expected_response_bytes));
  const Option& best = local_wins ? local : remote;
  if (best.node == nullptr) {
    return std::nullopt;
  }
  const double penalty = RemotePenalty(request.expected_response_bytes);
  const bool wait = local_wins && penalty > static_cast<double>(request.remaining_latency.count());
  return PlacedTarget{*best.node, best.entry->status.instance, local_wins, wait};
}

bool TargetPlacement::HasAlternative(const std::string& service,
                                     const std::vector<std::string>& excluded) const {
  return std::ranges::any_of(entries_, [&](const auto& entry) {
    return IsUsable(entry.second, service) &&
           std::ranges::find(excluded, entry.first) == excluded.end();
  });
}

int TargetPlacement::MinSlots(const std::string& service) const {
  int slots = 0;
  for (const auto& [node, entry] : entries_) {
    if (IsUsable(entry, service)) {
      slots = slots == 0 ? entry.status.slots : std::min(slots, entry.status.slots);
    }
  }
  return slots;
}

void TargetPlacement::OnSend(const std::string& node) {
  Entry& entry = entries_[node];
  ++entry.open_calls;
  // Counted until the next report, which holds it.
  ++entry.status.load.in_flight;
}

void TargetPlacement::OnEnd(const std::string& node) {
  const auto found = entries_.find(node);
  if (found == entries_.end() || found->second.open_calls == 0) {
    return;
  }
  --found->second.open_calls;
  found->second.status.load.in_flight = std::max(0, found->second.status.load.in_flight - 1);
}

}  // namespace limpet
