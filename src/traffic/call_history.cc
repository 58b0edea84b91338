#include "limpet/traffic/call_history.h"

#include <algorithm>

namespace limpet {

CallHistory::CallHistory(Duration retention, Duration process_lifetime)
    : period_(retention / 3), process_lifetime_(process_lifetime) {}

void CallHistory::OnLink(TimePoint now, const std::string& process, int64_t next_call_id) {
  const auto [entry, is_new] = processes_.try_emplace(process);
  Process& state = entry->second;
  if (is_new) {
    // Whatever the process sent before is not known here any more.
    state.newest = state.newest_before = state.forgotten = next_call_id - 1;
    state.period_start = now;
  }
  state.resent = std::max(state.newest, next_call_id - 1);
  state.last_linked = now;
}

bool CallHistory::OnCall(TimePoint now, const std::string& process, int64_t call_id) {
  const auto found = processes_.find(process);
  if (found == processes_.end()) {
    return false;
  }
  Process& state = found->second;
  Advance(now, state);
  const bool may_be_forgotten = call_id <= std::min(state.forgotten, state.resent);
  state.newest = std::max(state.newest, call_id);
  return may_be_forgotten;
}

void CallHistory::Advance(TimePoint now, Process& process) const {
  const Duration elapsed = now - process.period_start;
  if (elapsed < period_) {
    return;
  }
  process.forgotten = elapsed < 2 * period_ ? process.newest_before : process.newest;
  process.newest_before = process.newest;
  process.period_start = now;
}

void CallHistory::Expire(TimePoint now,
                         const std::function<bool(const std::string& process)>& has_link) {
  for (auto& [process, state] : processes_) {
    if (has_link(process)) {
      state.last_linked = now;
    }
  }
  std::erase_if(processes_, [&](const auto& entry) {
    return now - entry.second.last_linked > process_lifetime_;
  });
}

}  // namespace limpet
