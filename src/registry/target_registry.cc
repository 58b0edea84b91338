#include "limpet/registry/target_registry.h"

#include <algorithm>

namespace limpet {

namespace {

/// Heartbeats can be seconds late; ten minutes is far beyond any delay in the network.
constexpr Duration kDepartedLifetime = std::chrono::minutes(10);
/// Sequence numbers start anew with each start of a target.
constexpr int64_t kFirstSequence = 1;

}  // namespace

bool TargetRegistry::IsLate(const TargetAnnouncement& announcement) const {
  const auto departed = departed_.find(announcement.instance);
  if (departed != departed_.end() && announcement.start_time_ms <= departed->second.start_time_ms) {
    // The time of day may have jumped ahead before the leave; the first heartbeat of a start shows
    // that it is a new one.
    return !departed->second.estimated || announcement.sequence > kFirstSequence;
  }
  if (!current_) {
    return false;
  }
  if (announcement.start_time_ms != current_->start_time_ms) {
    return announcement.start_time_ms < current_->start_time_ms;
  }
  return announcement.instance == current_->instance && announcement.sequence < current_->sequence;
}

AnnouncementResult TargetRegistry::OnAnnouncement(TimePoint now,
                                                  const TargetAnnouncement& announcement) {
  Forget(now);
  if (announcement.address != address_) {
    return AnnouncementResult::kWrongPlace;
  }
  if (IsLate(announcement)) {
    return AnnouncementResult::kLate;
  }
  const bool same_instance = current_ && current_->IsSameInstance(announcement);
  if (current_ && !same_instance) {
    departed_[current_->instance] = {current_->start_time_ms, now, false};
  }
  if (const auto departed = departed_.find(announcement.instance);
      departed != departed_.end() && departed->second.estimated) {
    departed->second = {std::min(departed->second.start_time_ms, announcement.start_time_ms - 1),
                        now, false};
  }
  // Draining is final for one start, whatever a reordered heartbeat says.
  const bool draining = announcement.draining || (same_instance && current_->draining);
  current_ = announcement;
  current_->draining = draining;
  return draining ? AnnouncementResult::kDraining : AnnouncementResult::kCurrent;
}

void TargetRegistry::OnLeave(TimePoint now,
                             int64_t unix_ms,
                             const std::string& instance,
                             std::optional<int64_t> start_time_ms) {
  const bool is_current = current_ && current_->instance == instance &&
                          (!start_time_ms || *start_time_ms >= current_->start_time_ms);
  // A node that has just restarted may hear the leave of a target before any heartbeat of it.
  const bool start_known = is_current && current_->start_time_ms != 0;
  const bool estimated = !start_time_ms && !start_known;
  const int64_t known = start_known ? current_->start_time_ms : unix_ms;
  const int64_t start_time = start_time_ms.value_or(known);
  Departed& departed = departed_[instance];
  if (start_time >= departed.start_time_ms) {
    departed = {start_time, now, estimated};
  }
  if (is_current) {
    current_.reset();
  }
}

bool TargetRegistry::OnDiscovered(const std::string& instance,
                                  const std::string& service,
                                  int slots) {
  if (current_ || departed_.contains(instance)) {
    return false;
  }
  current_.emplace();
  current_->instance = instance;
  current_->service = service;
  current_->address = address_;
  current_->slots = slots;
  return true;
}

void TargetRegistry::Forget(TimePoint now) {
  std::erase_if(departed_,
                [now](const auto& entry) { return now - entry.second.at > kDepartedLifetime; });
}

}  // namespace limpet
