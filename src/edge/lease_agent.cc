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
                       PeerLinks& links,
                       Counters& counters)
    : self_(options.self),
      lease_(std::move(options)),
      coordination_(coordination),
      shared_state_(shared_state),
      links_(links),
      counters_(counters) {
  shared_state_.Watch(std::string(kHolderPrefix), [this](const wire::SharedEntry& entry) {
    const int partition = ParsePartition(std::string_view(entry.key).substr(kHolderPrefix.size()));
    if (partition >= 0) {
      lease_.OnHolderAnnounced(partition, entry.value, entry.token);
    }
  });
  shared_state_.Watch(std::string(kGenerationKey), [this](const wire::SharedEntry& entry) {
    if (entry.token > lease_.member_token()) {
      lease_.RequestJoin(MonotonicNow());
    }
  });
  shared_state_.Watch(std::string(kReleasedPrefix), [this](const wire::SharedEntry& entry) {
    if (entry.value != self_) {
      lease_.RequestJoin(MonotonicNow());
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
      coordination_.LeaveDecisions(self_, [this, alive = std::weak_ptr(alive_)] {
        if (!alive.expired()) {
          TellReleased();
        }
      });
    }
  }
  if (member_ && lease_.IsJoinDue(now)) {
    Join(now);
  }
  const bool expired = member_ && lease_.HasMembershipExpired(now);
  if (expired && !expiry_told_) {
    TellReleased();
  }
  expiry_told_ = expired;
  SendClaim(now);
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
          OnJoined(MonotonicNow(), now, *assignment);
        } else {
          lease_.OnJoinFailed(MonotonicNow());
        }
      });
}

void LeaseAgent::OnJoined(TimePoint now, TimePoint sent_at, const GroupAssignment& assignment) {
  const int64_t earlier_token = lease_.member_token();
  const std::size_t listed_before = lease_.listed().size();
  lease_.OnJoinReply(now, sent_at, assignment);
  last_token_ = lease_.member_token();
  if (std::exchange(release_due_, false)) {
    TellReleased();
  }
  if (lease_.member_token() != earlier_token) {
    TellGeneration();
    release_due_ = listed_before > 0;
  }
  SendClaim(now);
  AnnounceHeld(now);
}

void LeaseAgent::TellGeneration() {
  wire::SharedEntry entry;
  entry.key = kGenerationKey;
  entry.token = lease_.member_token();
  shared_state_.Set(entry);
}

void LeaseAgent::TellReleased() {
  wire::SharedEntry entry;
  entry.key = std::string(kReleasedPrefix) + self_;
  entry.token = last_token_;
  entry.sequence = ++released_sequence_;
  entry.value = self_;
  shared_state_.Set(entry);
}

void LeaseAgent::SendClaim(TimePoint now) {
  const auto claim = lease_.TakeClaim(now);
  if (!claim) {
    return;
  }
  wire::LinkMessage message;
  message.__set_partition_claim(*claim);
  for (const std::string& node : lease_.ClaimReceivers(now)) {
    if (links_.Send(node, message)) {
      counters_.Get("decision_claims").Add();
    }
  }
}

void LeaseAgent::OnMessage(TimePoint now,
                           const std::string& node,
                           const wire::LinkMessage& message) {
  if (message.__isset.partition_claim) {
    wire::LinkMessage reply;
    reply.__set_partition_claim_reply(lease_.OnClaim(now, node, message.partition_claim));
    links_.Send(node, reply);
    AnnounceHeld(now);
  }
  if (message.__isset.partition_claim_reply) {
    lease_.OnClaimReply(now, node, message.partition_claim_reply);
    AnnounceHeld(now);
  }
}

void LeaseAgent::AnnounceHeld(TimePoint now) {
  const std::vector<int> held = lease_.HeldPartitions(now);
  // Nodes that ask this one are told when it will decide.
  const std::vector<int> waiting = lease_.WaitingPartitions(now);
  std::map<int, int64_t> tokens;
  for (const int partition : held) {
    tokens[partition] = *lease_.Token(now, partition);
  }
  for (const int partition : waiting) {
    tokens[partition] = lease_.member_token();
  }
  if (held == held_ && tokens == announced_) {
    return;
  }
  held_ = held;
  LogEvent("decisions_held")
      .Add("partitions", static_cast<int64_t>(held.size()))
      .Add("waiting", static_cast<int64_t>(waiting.size()))
      .Add("token", tokens.empty() ? int64_t{0} : tokens.begin()->second);
  counters_.Get("decision_partitions").Set(static_cast<int64_t>(held.size()));
  const std::map<int, int64_t> before = std::exchange(announced_, tokens);
  for (const auto& [partition, token] : tokens) {
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
