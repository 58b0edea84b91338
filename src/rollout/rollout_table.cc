#include "limpet/rollout/rollout_table.h"

#include <algorithm>

namespace limpet {

bool RolloutTable::SetOrder(TimePoint now, const RolloutOrder& order) {
  Service& entry = services_[order.service];
  if (entry.order == order) {
    return false;
  }
  entry.order = order;
  entry.order_seen_at = now;
  return true;
}

void RolloutTable::SetStatus(TimePoint now,
                             const std::string& service,
                             const RolloutStatus& status) {
  Service& entry = services_[service];
  const bool was_completed = entry.status && entry.status->order == status.order &&
                             entry.status->state == RolloutState::kCompleted;
  if (status.state == RolloutState::kCompleted && !was_completed) {
    entry.completed_at = now;
  }
  entry.status = status;
  entry.status_received_at = now;
}

void RolloutTable::OnVersion(TimePoint now,
                             const std::string& service,
                             const std::string& version) {
  if (service.empty() || version.empty()) {
    return;
  }
  Service& entry = services_[service];
  const bool is_first = entry.versions.empty();
  const auto [found, is_new] = entry.versions.try_emplace(version, Version{now, is_first});
  if (!knowledge_) {
    found->second.allowed = true;
    return;
  }
  const auto proof = knowledge_();
  if (proof && !first_proof_at_) {
    first_proof_at_ = now;
  }
  if (!proof || found->second.allowed) {
    return;
  }
  found->second.allowed =
      *proof >= found->second.first_seen || found->second.first_seen <= *first_proof_at_;
}

const RolloutTable::Service* RolloutTable::Find(const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? nullptr : &found->second;
}

const std::string& RolloutTable::TargetVersion(const Service& entry) {
  return entry.order ? entry.order->target_version : entry.status->target_version;
}

bool RolloutTable::HasRollout(const std::string& service) const {
  const Service* entry = Find(service);
  return entry != nullptr && (entry->order || entry->status);
}

VersionUse RolloutTable::Use(const std::string& service, const std::string& version) const {
  const Service* entry = Find(service);
  if (entry == nullptr || version.empty()) {
    return VersionUse::kOld;
  }
  const auto found = entry->versions.find(version);
  const bool allowed = found == entry->versions.end() ? !knowledge_ : found->second.allowed;
  if (!entry->order && !entry->status) {
    return allowed ? VersionUse::kOld : VersionUse::kHeldBack;
  }
  if (entry->status) {
    const RolloutStatus& status = *entry->status;
    const bool rolled_back =
        (status.state == RolloutState::kRolledBack && status.target_version == version) ||
        std::ranges::find(status.excluded_versions, version) != status.excluded_versions.end();
    if (rolled_back) {
      return VersionUse::kExcluded;
    }
  }
  if (version == TargetVersion(*entry)) {
    return VersionUse::kNew;
  }
  const bool order_is_applied =
      !entry->order || (entry->status && entry->status->order == entry->order->Id());
  if (entry->status && !order_is_applied && entry->status->target_version == version &&
      entry->status->state != RolloutState::kCompleted) {
    // The roll-out of this version was replaced before its verdict.
    return VersionUse::kHeldBack;
  }
  if (!allowed) {
    return VersionUse::kHeldBack;
  }
  const bool after_completion =
      entry->status && order_is_applied && entry->status->state == RolloutState::kCompleted &&
      found != entry->versions.end() && found->second.first_seen > entry->completed_at;
  return after_completion ? VersionUse::kNew : VersionUse::kOld;
}

double RolloutTable::Share(const std::string& service) const {
  const Service* entry = Find(service);
  if (entry == nullptr || !entry->status ||
      (entry->order && entry->status->order != entry->order->Id())) {
    return 0;
  }
  switch (entry->status->state) {
    case RolloutState::kRunning:
      return entry->status->share;
    case RolloutState::kClosing:
    case RolloutState::kCompleted:
      return 1;
    case RolloutState::kRolledBack:
      break;
  }
  return 0;
}

bool RolloutTable::IsClosed(const std::string& service, const std::string& version) const {
  if (!HasRollout(service)) {
    return false;
  }
  const VersionUse use = Use(service, version);
  return use == VersionUse::kExcluded || (use == VersionUse::kOld && Share(service) >= 1);
}

const RolloutOrder* RolloutTable::FindOrder(const std::string& service) const {
  const Service* entry = Find(service);
  return entry == nullptr || !entry->order ? nullptr : &*entry->order;
}

TimePoint RolloutTable::OrderSeenAt(const std::string& service) const {
  const Service* entry = Find(service);
  return entry == nullptr ? TimePoint{} : entry->order_seen_at;
}

std::optional<RolloutStatus> RolloutTable::FindStatus(TimePoint now,
                                                      const std::string& service) const {
  const Service* entry = Find(service);
  if (entry == nullptr || !entry->status) {
    return std::nullopt;
  }
  RolloutStatus status = *entry->status;
  status.elapsed += now - entry->status_received_at;
  return status;
}

}  // namespace limpet
