#include "limpet/traffic/fair_queue.h"

#include <algorithm>
#include <iterator>

namespace limpet {

FairQueue::PushResult FairQueue::Push(QueuedAttempt attempt,
                                      std::optional<QueuedAttempt>& evicted) {
  if (queue_.size() >= capacity_) {
    if (queue_.empty()) {
      return PushResult::kFull;
    }
    const auto own_caller = callers_.find(attempt.caller);
    const size_t own_backlog = own_caller == callers_.end() ? 0 : own_caller->second.queued;
    const std::string longest = FindCallerWithLongestBacklog();
    if (callers_[longest].queued < own_backlog + 2) {
      return longest == attempt.caller && callers_.size() > 1 ? PushResult::kCallerShare
                                                              : PushResult::kFull;
    }
    evicted = EvictLast(longest);
  }
  CallerState& caller = callers_[attempt.caller];
  const uint64_t tag = std::max(virtual_time_, caller.next_tag);
  caller.next_tag = tag + 1;
  ++caller.queued;
  queue_.emplace(Tag{tag, next_sequence_++}, std::move(attempt));
  return PushResult::kQueued;
}

std::optional<QueuedAttempt> FairQueue::Pop() {
  if (queue_.empty()) {
    return std::nullopt;
  }
  const auto first = queue_.begin();
  virtual_time_ = first->first.first;
  QueuedAttempt attempt = first->second;
  Erase(first);
  RemoveIdleCallers();
  return attempt;
}

bool FairQueue::Remove(const std::string& attempt_id) {
  const auto position = std::find_if(queue_.begin(), queue_.end(), [&](const auto& entry) {
    return entry.second.attempt_id == attempt_id;
  });
  if (position == queue_.end()) {
    return false;
  }
  Erase(position);
  return true;
}

std::vector<QueuedAttempt> FairQueue::TakeExpired(TimePoint now) {
  std::vector<QueuedAttempt> expired;
  for (auto position = queue_.begin(); position != queue_.end();) {
    if (position->second.expiry > now) {
      ++position;
      continue;
    }
    expired.push_back(position->second);
    position = Erase(position);
  }
  return expired;
}

std::vector<QueuedAttempt> FairQueue::TakeAll() {
  std::vector<QueuedAttempt> all;
  for (auto& [tag, attempt] : queue_) {
    all.push_back(std::move(attempt));
  }
  queue_.clear();
  callers_.clear();
  return all;
}

std::map<FairQueue::Tag, QueuedAttempt>::iterator FairQueue::Erase(
    std::map<Tag, QueuedAttempt>::iterator position) {
  --callers_[position->second.caller].queued;
  return queue_.erase(position);
}

std::string FairQueue::FindCallerWithLongestBacklog() const {
  const auto longest = std::max_element(
      callers_.begin(), callers_.end(),
      [](const auto& a, const auto& b) { return a.second.queued < b.second.queued; });
  return longest->first;
}

std::optional<QueuedAttempt> FairQueue::EvictLast(const std::string& caller) {
  const auto last = std::find_if(queue_.rbegin(), queue_.rend(),
                                 [&](const auto& entry) { return entry.second.caller == caller; });
  if (last == queue_.rend()) {
    return std::nullopt;
  }
  QueuedAttempt attempt = last->second;
  Erase(std::prev(last.base()));
  CallerState& state = callers_[caller];
  state.next_tag = std::max(virtual_time_, state.next_tag - 1);
  return attempt;
}

void FairQueue::RemoveIdleCallers() {
  std::erase_if(callers_, [&](const auto& entry) {
    return entry.second.queued == 0 && entry.second.next_tag <= virtual_time_;
  });
}

}  // namespace limpet
