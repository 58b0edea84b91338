#include "limpet/registry/target_registry.h"

#include <algorithm>

namespace limpet {

namespace {

/// Heartbeats can arrive seconds late; ten minutes is much longer than any network delay.
constexpr Duration kEndedInstanceLifetime = std::chrono::minutes(10);
/// Each target instance numbers its heartbeats anew, starting with this value.
constexpr int64_t kFirstSequence = 1;

}  // namespace

bool TargetRegistry::IsLate(const TargetAnnouncement& announcement) const {
  const auto ended = ended_instances_.find(announcement.instance);
  if (ended != ended_instances_.end() &&
      announcement.start_time_ms <= ended->second.start_time_ms) {
    // The clock may have been ahead at the time of the leave, which makes the estimated start time
    // too late. The first heartbeat of an instance shows that the instance is new.
    return !ended->second.estimated || announcement.sequence > kFirstSequence;
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
  RemoveExpired(now);
  if (announcement.address != address_) {
    return AnnouncementResult::kWrongPlace;
  }
  if (IsLate(announcement)) {
    return AnnouncementResult::kLate;
  }
  const bool same_instance = current_ && current_->IsSameInstance(announcement);
  if (current_ && !same_instance) {
    ended_instances_[current_->instance] = {current_->start_time_ms, now, false};
  }
  if (const auto ended = ended_instances_.find(announcement.instance);
      ended != ended_instances_.end() && ended->second.estimated) {
    ended->second = {std::min(ended->second.start_time_ms, announcement.start_time_ms - 1), now,
                     false};
  }
  // Draining is final for a target instance; a reordered heartbeat does not end it.
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
  // A node that has just restarted may receive the leave of a target before any of its heartbeats.
  const bool is_start_known = is_current && current_->start_time_ms != 0;
  const bool estimated = !start_time_ms && !is_start_known;
  const int64_t fallback_start_ms = is_start_known ? current_->start_time_ms : unix_ms;
  const int64_t start_time = start_time_ms.value_or(fallback_start_ms);
  EndedInstance& ended = ended_instances_[instance];
  if (start_time >= ended.start_time_ms) {
    ended = {start_time, now, estimated};
  }
  if (is_current) {
    current_.reset();
  }
}

bool TargetRegistry::OnDiscovered(const std::string& instance,
                                  const std::string& service,
                                  int slots) {
  if (current_ || ended_instances_.contains(instance)) {
    return false;
  }
  current_.emplace();
  current_->instance = instance;
  current_->service = service;
  current_->address = address_;
  current_->slots = slots;
  return true;
}

void TargetRegistry::RemoveExpired(TimePoint now) {
  std::erase_if(ended_instances_, [now](const auto& entry) {
    return now - entry.second.ended_at > kEndedInstanceLifetime;
  });
}

}  // namespace limpet
