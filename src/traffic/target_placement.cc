#include "limpet/traffic/target_placement.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "limpet/core/fault.h"
#include "limpet/traffic/link_schedule.h"

namespace limpet {

namespace {

/// Slowdown assumed for a cold target: it takes about twice as long (the platform's cold factor).
constexpr double kColdFactor = 2.0;
/// Expected cost of a failure in service times: the request has to run again on another target, if
/// it may be retried.
constexpr double kFailureCostFactor = 6.0;
/// Lower limit of the service time in the cost of a failure, however short the requests are: a
/// retry takes a round trip and a part of the retry budget.
constexpr double kMinFailureServiceTimeUs = 10'000;
/// Scores are increased by a random share of up to this value, so that nodes with the same view do
/// not all choose the same target.
constexpr double kScoreNoise = 0.1;
/// Share by which the expected time of a full target is increased over that of an empty one.
constexpr double kOccupancyCostShare = 0.25;
/// Factor on the expected time of an unresponsive node, which is used only if all others are far
/// busier.
constexpr double kUnresponsiveFactor = 20.0;

}  // namespace

TargetPlacement::TargetPlacement(PlacementOptions options,
                                 std::string data_centre,
                                 Random random,
                                 RolloutTable* rollouts)
    : options_(options),
      data_centre_(std::move(data_centre)),
      random_(random),
      rollouts_(rollouts) {}

void TargetPlacement::Update(TimePoint now,
                             const std::string& node,
                             const std::string& data_centre,
                             const wire::TargetStatus& status) {
  Entry& entry = entries_[node];
  entry.data_centre = data_centre;
  entry.status = status;
  entry.cold_until = now + std::chrono::milliseconds(status.cold_ms);
  entry.unresponsive_until = {};
  if (rollouts_ != nullptr) {
    rollouts_->OnVersion(now, status.service_name, status.software);
  }
  const bool states_trial = status.trial_due || status.next_trial_ms > 0;
  entry.next_trial =
      states_trial ? now + std::chrono::milliseconds(status.next_trial_ms) : TimePoint{};
}

void TargetPlacement::SetReachable(const std::string& node, bool reachable) {
  entries_[node].reachable = reachable;
}

void TargetPlacement::OnUnresponsive(TimePoint now, const std::string& node) {
  entries_[node].unresponsive_until = now + options_.unresponsive_penalty;
}

bool TargetPlacement::Serves(const Entry& entry, const std::string& service) const {
  return entry.reachable && entry.status.service_name == service && entry.status.slots > 0;
}

bool TargetPlacement::IsUsable(const Entry& entry, const std::string& service) const {
  return entry.status.state == wire::TargetState::kUp && Serves(entry, service);
}

bool TargetPlacement::IsTrialDue(TimePoint now,
                                 const Entry& entry,
                                 const std::string& service) const {
  return entry.status.state == wire::TargetState::kDown && Serves(entry, service) &&
         entry.next_trial != TimePoint{} && now >= entry.next_trial &&
         !IsFaultActive(Fault::kNoTrialFromPlacement);
}

std::optional<PlacedTarget> TargetPlacement::ChooseTrial(TimePoint now,
                                                         const std::string& service,
                                                         const std::vector<std::string>& excluded) {
  std::vector<std::string> nodes;
  for (const auto& [node, entry] : entries_) {
    if (IsTrialDue(now, entry, service) && std::ranges::find(excluded, node) == excluded.end()) {
      nodes.push_back(node);
    }
  }
  if (nodes.empty()) {
    return std::nullopt;
  }
  const std::string& node = nodes[random_.NextBelow(nodes.size())];
  Entry& entry = entries_.at(node);
  // The gate admits one trial only; its reply states when the next one is due.
  entry.next_trial = now + options_.trial_reply_wait;
  return PlacedTarget{node, entry.status.instance, entry.data_centre == data_centre_, false};
}

std::optional<Duration> TargetPlacement::UntilNextTrial(TimePoint now,
                                                        const std::string& service) const {
  std::optional<Duration> until;
  for (const auto& [node, entry] : entries_) {
    const bool states_trial = entry.status.state == wire::TargetState::kDown &&
                              Serves(entry, service) && entry.next_trial != TimePoint{};
    if (states_trial) {
      const Duration wait = std::max(Duration(0), entry.next_trial - now);
      until = until ? std::min(*until, wait) : wait;
    }
  }
  return until;
}

double TargetPlacement::EstimateCompletionUs(TimePoint now,
                                             const Entry& entry,
                                             const PlacementRequest& request) const {
  const wire::LoadReport& load = entry.status.load;
  // A load report includes this node's open attempts, so the two counts are not added.
  const int total = std::max(load.in_flight + load.queued, entry.open_attempts);
  double slowdown =
      entry.status.slowdown_permille > 0 ? entry.status.slowdown_permille / 1000.0 : 1;
  if (now < entry.cold_until) {
    slowdown = std::max(slowdown, kColdFactor);
  }
  const auto typical = static_cast<double>(request.typical_service_time.count());
  const double service_time = typical * slowdown;
  // The requests ahead belong to all routes, so the wait is computed from the target's average over
  // all routes.
  const double ahead_time = load.service_time_us > 0 ? load.service_time_us : service_time;
  const double excess = std::max(0, total + 1 - entry.status.slots);
  double expected = service_time + ahead_time * excess / entry.status.slots;
  // Prefers the emptier of two targets with free slots: it has room for requests that other nodes
  // send at the same time.
  expected *=
      1 + kOccupancyCostShare * std::min(1.0, static_cast<double>(total) / entry.status.slots);
  expected += std::max(service_time, kMinFailureServiceTimeUs) * kFailureCostFactor *
              entry.status.failure_permille / 1000.0;
  if (request.expected_response_bytes >= kLargeBodyBytes) {
    expected += entry.status.egress_wait_us +
                static_cast<double>(entry.status.egress_us_per_kib) *
                    static_cast<double>(request.expected_response_bytes) / 1024;
  }
  if (request.request_bytes >= kLargeBodyBytes) {
    // Both directions of the link have the same rate.
    expected += entry.status.ingress_wait_us + static_cast<double>(entry.status.egress_us_per_kib) *
                                                   static_cast<double>(request.request_bytes) /
                                                   1024;
  }
  return now < entry.unresponsive_until ? expected * kUnresponsiveFactor : expected;
}

double TargetPlacement::RemotePenaltyUs(size_t bytes) const {
  return static_cast<double>(options_.remote_penalty.count()) +
         static_cast<double>(options_.remote_penalty_per_kib.count()) * static_cast<double>(bytes) /
             1024.0;
}

TargetPlacement::Candidate TargetPlacement::SelectBest(TimePoint now,
                                                       std::vector<Candidate>& candidates,
                                                       const PlacementRequest& request) {
  Candidate best;
  for (std::size_t i = 0; i < candidates.size() && i < options_.candidates_compared; ++i) {
    std::swap(candidates[i], candidates[i + random_.NextBelow(candidates.size() - i)]);
    Candidate& candidate = candidates[i];
    const double noise = 1 + kScoreNoise * random_.NextFraction();
    candidate.expected_us = EstimateCompletionUs(now, *candidate.entry, request) * noise;
    if (best.node == nullptr || candidate.expected_us < best.expected_us) {
      best = candidate;
    }
  }
  return best;
}

bool TargetPlacement::MayUseVersion(const Entry& entry) const {
  if (rollouts_ == nullptr) {
    return true;
  }
  const std::string& service = entry.status.service_name;
  switch (rollouts_->Use(service, entry.status.software)) {
    case VersionUse::kOld:
      return true;
    case VersionUse::kNew:
      return rollouts_->Share(service) > 0;
    case VersionUse::kHeldBack:
    case VersionUse::kExcluded:
      break;
  }
  return false;
}

std::optional<std::vector<std::string>> TargetPlacement::FindVersionNodes(
    const PlacementRequest& request,
    const std::vector<std::string>& excluded) const {
  if (rollouts_ == nullptr) {
    return std::nullopt;
  }
  std::vector<std::string> old_nodes;
  /// With the hashes by which all nodes rank the new targets in the same order.
  std::vector<std::pair<uint64_t, std::string>> ranked;
  bool uses_all = true;
  for (const auto& [node, entry] : entries_) {
    if (!Serves(entry, request.service)) {
      continue;
    }
    switch (rollouts_->Use(request.service, entry.status.software)) {
      case VersionUse::kOld:
        old_nodes.push_back(node);
        break;
      case VersionUse::kNew:
        if (entry.status.state == wire::TargetState::kUp) {
          ranked.emplace_back(XXH3_64bits(node.data(), node.size()), node);
        }
        uses_all = false;
        break;
      case VersionUse::kHeldBack:
      case VersionUse::kExcluded:
        uses_all = false;
        break;
    }
  }
  if (uses_all) {
    return std::nullopt;
  }
  const double share = rollouts_->Share(request.service);
  std::vector<std::string> new_nodes;
  std::ranges::sort(ranked);
  // As many new targets as give each about the load of an old one, so that faults under load show.
  const double wanted =
      share >= 1 ? static_cast<double>(ranked.size())
                 : std::ceil(share / (1 - share) * static_cast<double>(old_nodes.size()));
  for (const auto& [hash, node] : ranked) {
    if (!old_nodes.empty() && static_cast<double>(new_nodes.size()) >= std::max(1.0, wanted)) {
      break;
    }
    new_nodes.push_back(node);
  }
  const auto is_excluded = [&](const std::string& node) {
    return std::ranges::find(excluded, node) != excluded.end();
  };
  const bool draws_new = request.version_draw < share &&
                         !std::ranges::all_of(new_nodes, is_excluded) && !new_nodes.empty();
  return draws_new || old_nodes.empty() ? new_nodes : old_nodes;
}

std::optional<PlacedTarget> TargetPlacement::Choose(TimePoint now,
                                                    const PlacementRequest& request,
                                                    const std::vector<std::string>& excluded) {
  const auto version_nodes = FindVersionNodes(request, excluded);
  if (version_nodes) {
    std::vector<std::string> skipped = excluded;
    for (const auto& [node, entry] : entries_) {
      if (std::ranges::find(*version_nodes, node) == version_nodes->end()) {
        skipped.push_back(node);
      }
    }
    return ChooseOutside(now, request, skipped);
  }
  return ChooseOutside(now, request, excluded);
}

std::optional<PlacedTarget> TargetPlacement::ChooseOutside(
    TimePoint now,
    const PlacementRequest& request,
    const std::vector<std::string>& excluded) {
  std::vector<Candidate> local_candidates;
  std::vector<Candidate> remote_candidates;
  for (const auto& [node, entry] : entries_) {
    if (IsUsable(entry, request.service) && std::ranges::find(excluded, node) == excluded.end()) {
      auto& candidates = entry.data_centre == data_centre_ ? local_candidates : remote_candidates;
      candidates.push_back({&node, &entry, 0});
    }
  }
  const bool none_up = local_candidates.empty() && remote_candidates.empty();
  if (none_up || request.may_be_trial) {
    if (auto trial = ChooseTrial(now, request.service, excluded)) {
      return trial;
    }
  }
  const Candidate local = SelectBest(now, local_candidates, request);
  const Candidate remote = SelectBest(now, remote_candidates, request);
  const std::size_t bytes = request.request_bytes + request.expected_response_bytes;
  const double size_share = std::min(
      1.0, static_cast<double>(bytes) / static_cast<double>(options_.full_local_share_bytes));
  const double limit_us = options_.local_latency_share * size_share *
                          static_cast<double>(request.remaining_latency.count());
  const bool use_local =
      local.node != nullptr && (remote.node == nullptr || local.expected_us <= limit_us ||
                                local.expected_us <= remote.expected_us + RemotePenaltyUs(bytes));
  const Candidate& best = use_local ? local : remote;
  if (best.node == nullptr) {
    return std::nullopt;
  }
  const double penalty_us = RemotePenaltyUs(bytes);
  const bool may_wait =
      use_local && penalty_us > static_cast<double>(request.remaining_latency.count());
  return PlacedTarget{*best.node, best.entry->status.instance, use_local, may_wait};
}

bool TargetPlacement::HasAlternative(const std::string& service,
                                     const std::vector<std::string>& excluded) const {
  return std::ranges::any_of(entries_, [&](const auto& entry) {
    return IsUsable(entry.second, service) && MayUseVersion(entry.second) &&
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

void TargetPlacement::OnAttemptStart(const std::string& node) {
  Entry& entry = entries_[node];
  ++entry.open_attempts;
  // Counts the request until the next load report, which includes it.
  ++entry.status.load.in_flight;
}

void TargetPlacement::OnAttemptEnd(const std::string& node) {
  const auto found = entries_.find(node);
  if (found == entries_.end() || found->second.open_attempts == 0) {
    return;
  }
  --found->second.open_attempts;
  found->second.status.load.in_flight = std::max(0, found->second.status.load.in_flight - 1);
}

}  // namespace limpet
