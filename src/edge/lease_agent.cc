#include "limpet/edge/lease_agent.h"

#include <charconv>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "limpet/edge/event_log.h"
#include "limpet/net/clock.h"

namespace limpet::edge {

namespace {

/// Returns -1 if the text is not a number.
int ParsePartition(std::string_view text) {
  int partition = -1;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), partition);
  return error == std::errc() && end == text.data() + text.size() ? partition : -1;
}

}  // namespace

LeaseAgent::LeaseAgent(DecisionLeaseOptions options,
                       Coordination& coordination,
                       SharedStateAgent& shared_state,
                       Counters& counters)
    : self_(options.self),
      lease_(std::move(options)),
      coordination_(coordination),
      shared_state_(shared_state),
      counters_(counters) {
  shared_state_.Watch(std::string(kHolderPrefix), [this](const wire::SharedEntry& entry) {
    const int partition = ParsePartition(std::string_view(entry.key).substr(kHolderPrefix.size()));
    if (partition >= 0) {
      lease_.OnHolderAnnounced(partition, entry.value, entry.token);
    }
  });
}

void LeaseAgent::Tick(TimePoint now, bool wanted) {
  if (wanted != member_) {
    member_ = wanted;
    ++membership_;
    const LogEvent event(wanted ? "decisions_joined" : "decisions_left");
    if (!wanted) {
      lease_.Release(now);
      coordination_.LeaveDecisions(self_);
    }
  }
  if (member_ && lease_.IsJoinDue(now)) {
    Join(now);
  }
  AnnounceHeld(now);
}

void LeaseAgent::Join(TimePoint now) {
  coordination_.JoinDecisions(
      lease_.OnJoinSent(now), [this, now, membership = membership_, alive = std::weak_ptr(alive_)](
                                  const std::optional<GroupAssignment>& assignment) {
        if (alive.expired() || membership != membership_) {
          return;
        }
        counters_.Get(assignment ? "decision_joins" : "decision_joins_failed").Add();
        if (assignment) {
          lease_.OnJoinReply(MonotonicNow(), now, *assignment);
        } else {
          lease_.OnJoinFailed(MonotonicNow());
        }
      });
}

void LeaseAgent::AnnounceHeld(TimePoint now) {
  std::map<int, int64_t> held;
  for (const int partition : lease_.HeldPartitions(now)) {
    held[partition] = *lease_.Token(now, partition);
  }
  if (held == announced_) {
    return;
  }
  LogEvent("decisions_held")
      .Add("partitions", static_cast<int64_t>(held.size()))
      .Add("token", held.empty() ? int64_t{0} : held.begin()->second);
  counters_.Get("decision_partitions").Set(static_cast<int64_t>(held.size()));
  const std::map<int, int64_t> before = std::exchange(announced_, held);
  for (const auto& [partition, token] : held) {
    const auto found = before.find(partition);
    if (found == before.end() || found->second != token) {
      wire::SharedEntry entry;
      entry.key = std::string(kHolderPrefix) + std::to_string(partition);
      entry.token = token;
      entry.value = self_;
      shared_state_.Set(entry);
    }
  }
}

}  // namespace limpet::edge
