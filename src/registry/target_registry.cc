#include "limpet/registry/target_registry.h"

#include <algorithm>

#include "limpet/core/fault.h"

namespace limpet {

namespace {

/// Heartbeats can arrive seconds late; ten minutes is much longer than any network delay.
constexpr Duration kEndedStartLifetime = std::chrono::minutes(10);
/// Longest delay of a heartbeat where no health check can show its age.
constexpr Duration kMaxHeartbeatDelay = std::chrono::seconds(10);
/// Several heartbeat intervals: a target that still runs has sent another heartbeat by then.
constexpr Duration kCandidateLifetime = std::chrono::seconds(5);
constexpr std::size_t kMaxCandidates = 8;
/// A failed health check of a candidate is repeated after this time, then after twice the time.
constexpr Duration kMinCheckBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxCheckBackoff = std::chrono::seconds(1);

}  // namespace

AnnouncementResult TargetRegistry::OnAnnouncement(TimePoint now,
                                                  const TargetAnnouncement& announcement) {
  RemoveExpired(now);
  // A drain is acknowledged, so it counts for a known instance whatever address it states.
  const bool is_known = candidates_.contains(announcement.instance) ||
                        (current_ && current_->instance == announcement.instance);
  if (announcement.address != address_ && !(announcement.draining && is_known)) {
    return AnnouncementResult::kWrongPlace;
  }
  if (announcement.draining) {
    return OnDraining(now, announcement);
  }
  if (IsOfCurrentStart(announcement)) {
    return OnCurrentAnnouncement(announcement);
  }
  if (HasEnded(announcement)) {
    return AnnouncementResult::kLate;
  }
  const bool is_older = current_ && announcement.start_time_ms < current_->start_time_ms;
  // An instance that is in use stays so: its requests reach whichever start has this name.
  if (is_older && !current_->draining && announcement.instance == current_->instance) {
    return AnnouncementResult::kLate;
  }
  if (IsFaultActive(Fault::kUseUnconfirmedTarget)) {
    current_ = announcement;
    return AnnouncementResult::kCurrent;
  }
  return AddCandidate(now, announcement);
}

bool TargetRegistry::IsOfCurrentStart(const TargetAnnouncement& announcement) const {
  // Without a start time, a later start with this name cannot be told from one that drains.
  const bool is_unknown_drained = current_ && current_->draining && current_->start_time_ms == 0;
  return current_ && !is_unknown_drained && current_->IsSameInstance(announcement);
}

AnnouncementResult TargetRegistry::OnCurrentAnnouncement(const TargetAnnouncement& announcement) {
  if (announcement.start_time_ms == current_->start_time_ms &&
      announcement.sequence < current_->sequence) {
    return AnnouncementResult::kLate;
  }
  // A ready heartbeat that was reordered does not end the draining.
  const bool was_draining = current_->draining;
  current_ = announcement;
  current_->draining = was_draining;
  return was_draining ? AnnouncementResult::kDraining : AnnouncementResult::kCurrent;
}

AnnouncementResult TargetRegistry::OnDraining(TimePoint now,
                                              const TargetAnnouncement& announcement) {
  EndStart(now, announcement.instance, announcement.start_time_ms);
  const bool is_of_current = current_ && current_->IsSameInstance(announcement);
  const bool is_newer = current_ && current_->start_time_ms != 0 &&
                        announcement.start_time_ms >= current_->start_time_ms;
  if (!current_ || current_->draining || is_of_current || is_newer) {
    current_ = announcement;
  }
  return AnnouncementResult::kDraining;
}

void TargetRegistry::OnLeave(TimePoint now,
                             const std::string& instance,
                             std::optional<int64_t> start_time_ms) {
  if (!start_time_ms && current_ && current_->instance == instance) {
    // Limited in time, because the message may be a late one of an earlier start with this name.
    RecordEnd(instance, current_->start_time_ms, now + kMaxHeartbeatDelay);
  }
  EndStart(now, instance, start_time_ms);
  if (current_ && current_->instance == instance) {
    current_.reset();
  }
}

void TargetRegistry::EndStart(TimePoint now,
                              const std::string& instance,
                              std::optional<int64_t> start_time_ms) {
  // Health checks that are pending may have passed before the target began to leave.
  ++ended_count_;
  last_end_ = now;
  if (start_time_ms) {
    RecordEnd(instance, *start_time_ms, now + kEndedStartLifetime);
  }
  if (const auto found = candidates_.find(instance);
      found != candidates_.end() &&
      (!start_time_ms || found->second.announcement.start_time_ms == *start_time_ms)) {
    candidates_.erase(found);
  }
  // The message may be a late one of an earlier start, or its clock may have been wrong: a check
  // shows whether the start that is in use still runs.
  const bool ends_other_start = start_time_ms && current_ && !current_->draining &&
                                current_->instance == instance && current_->start_time_ms != 0 &&
                                current_->start_time_ms != *start_time_ms;
  if (ends_other_start) {
    AddCandidate(now, *current_);
    current_.reset();
  }
  for (auto& [name, candidate] : candidates_) {
    candidate.check_due_at = now;
  }
}

void TargetRegistry::RecordEnd(const std::string& instance,
                               int64_t start_time_ms,
                               TimePoint expiry) {
  // An unknown start time would match heartbeats of any start that has none.
  if (start_time_ms == 0) {
    return;
  }
  const auto known = std::ranges::find_if(ended_starts_, [&](const EndedStart& ended) {
    return ended.instance == instance && ended.start_time_ms == start_time_ms;
  });
  if (known == ended_starts_.end()) {
    ended_starts_.push_back({instance, start_time_ms, expiry});
  } else {
    known->expiry = std::max(known->expiry, expiry);
  }
}

AnnouncementResult TargetRegistry::AddCandidate(TimePoint now,
                                                const TargetAnnouncement& announcement) {
  const auto found = candidates_.find(announcement.instance);
  if (found == candidates_.end() && candidates_.size() >= kMaxCandidates) {
    candidates_.erase(std::ranges::min_element(
        candidates_, {}, [](const auto& entry) { return entry.second.heard_at; }));
  }
  const auto is_older = [&](const TargetAnnouncement& known) {
    return announcement.start_time_ms != known.start_time_ms
               ? announcement.start_time_ms < known.start_time_ms
               : announcement.sequence < known.sequence;
  };
  if (found != candidates_.end() && is_older(found->second.announcement)) {
    // It may be of a later start whose clock was set back, which the next check shows.
    found->second.heard_at = now;
    found->second.check_due_at = now;
    return AnnouncementResult::kLate;
  }
  candidates_[announcement.instance] = {announcement, now, now, kMinCheckBackoff};
  return AnnouncementResult::kUnconfirmed;
}

const TargetAnnouncement* TargetRegistry::FindCheckDue(TimePoint now) const {
  const Candidate* earliest = nullptr;
  for (const auto& [instance, candidate] : candidates_) {
    const bool is_due =
        candidate.check_due_at <= now && now - candidate.heard_at <= kCandidateLifetime;
    if (is_due && (earliest == nullptr || candidate.check_due_at < earliest->check_due_at)) {
      earliest = &candidate;
    }
  }
  return earliest == nullptr ? nullptr : &earliest->announcement;
}

int64_t TargetRegistry::OnCheckSent(TimePoint now, const std::string& instance) {
  if (const auto found = candidates_.find(instance); found != candidates_.end()) {
    Candidate& candidate = found->second;
    candidate.check_due_at = now + candidate.check_backoff;
    candidate.check_backoff = std::min(candidate.check_backoff * 2, kMaxCheckBackoff);
  }
  return ended_count_;
}

bool TargetRegistry::OnCheckPassed(int64_t check, const std::string& instance) {
  if (check != ended_count_ && !IsFaultActive(Fault::kTrustEarlierCheck)) {
    return false;
  }
  const bool is_candidate = candidates_.contains(instance);
  if (is_candidate) {
    current_ = candidates_.at(instance).announcement;
  }
  // Only one instance has the address, so the others have ended.
  candidates_.clear();
  return is_candidate;
}

bool TargetRegistry::OnDiscovered(int64_t check,
                                  const std::string& instance,
                                  const std::string& service,
                                  int slots) {
  if (check != ended_count_ || current_) {
    return false;
  }
  current_.emplace();
  current_->instance = instance;
  current_->service = service;
  current_->address = address_;
  current_->slots = slots;
  return true;
}

bool TargetRegistry::ConfirmUnchecked(const std::string& instance) {
  const auto found = candidates_.find(instance);
  if (found == candidates_.end()) {
    return false;
  }
  const Candidate& candidate = found->second;
  const int64_t start_time_ms = candidate.announcement.start_time_ms;
  const bool started_later = start_time_ms >= started_unix_ms_;
  const bool heard_later = candidate.heard_at - std::max(started_, last_end_) >= kMaxHeartbeatDelay;
  const bool is_newest = !current_ || start_time_ms > current_->start_time_ms;
  if (!is_newest || !(started_later || heard_later)) {
    return false;
  }
  current_ = candidate.announcement;
  candidates_.clear();
  return true;
}

bool TargetRegistry::HasEnded(const TargetAnnouncement& announcement) const {
  return std::ranges::any_of(ended_starts_, [&](const EndedStart& ended) {
    return ended.instance == announcement.instance &&
           ended.start_time_ms == announcement.start_time_ms;
  });
}

void TargetRegistry::RemoveExpired(TimePoint now) {
  std::erase_if(ended_starts_, [now](const EndedStart& ended) { return now >= ended.expiry; });
  std::erase_if(candidates_, [now](const auto& entry) {
    return now - entry.second.heard_at > kCandidateLifetime;
  });
}

}  // namespace limpet
