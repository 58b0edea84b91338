#include "limpet/distribution/repair.h"

#include <algorithm>
#include <vector>

namespace limpet {

void Repair::OnPeerVersion(TimePoint now,
                           const std::string& peer,
                           const PeerAddress& address,
                           int64_t version,
                           Duration grace) {
  const auto found = peers_.find(peer);
  if (found == peers_.end()) {
    if (peers_.size() < kMaxPeers) {
      peers_[peer] = {address, version, now + grace, 0, std::nullopt};
    }
    return;
  }
  found->second.address = address;
  found->second.version = version;
  found->second.not_before = std::min(found->second.not_before, now + kMaxBackoff);
}

std::optional<Repair::Request> Repair::Tick(TimePoint now, int64_t own_version) {
  if (pending_ && now - pending_->sent_at >= kReplyTimeout) {
    const std::string unresponsive_peer = pending_->peer;
    RecordFailure(now, unresponsive_peer);
  }
  std::erase_if(peers_, [&](const auto& entry) {
    return entry.second.excluded_until ? *entry.second.excluded_until <= now
                                       : entry.second.version <= own_version;
  });
  if (pending_) {
    return std::nullopt;
  }
  std::vector<const std::pair<const std::string, Peer>*> due;
  for (const auto& entry : peers_) {
    if (!entry.second.excluded_until && entry.second.not_before <= now) {
      due.push_back(&entry);
    }
  }
  if (due.empty()) {
    return std::nullopt;
  }
  // A random choice spreads the load, and a peer that lacks the version it reported does not block
  // the others.
  const auto& [name, peer] = *due[random_.NextBelow(due.size())];
  pending_ = PendingRequest{name, now};
  return Request{name, peer.address};
}

void Repair::OnReply(TimePoint now, std::string_view peer, bool progress) {
  if (!IsWaitingFor(peer)) {
    return;
  }
  if (!progress) {
    RecordFailure(now, peer);
    return;
  }
  pending_.reset();
  if (const auto found = peers_.find(peer); found != peers_.end()) {
    found->second.failures = 0;
    found->second.not_before = now;
  }
}

void Repair::OnRefusal(TimePoint now, std::string_view peer, Duration retry_after) {
  if (!IsWaitingFor(peer)) {
    return;
  }
  pending_.reset();
  if (const auto found = peers_.find(peer); found != peers_.end()) {
    // The time comes from another process, so it can have any value.
    found->second.not_before =
        now + random_.Jitter(std::clamp(retry_after, kMinBackoff, kMaxBackoff), 0.3);
  }
}

bool Repair::IsBehind(int64_t own_version) const {
  return std::ranges::any_of(peers_, [&](const auto& entry) {
    return !entry.second.excluded_until && entry.second.version > own_version;
  });
}

void Repair::RecordFailure(TimePoint now, std::string_view name) {
  const auto found = peers_.find(name);
  if (pending_ && pending_->peer == name) {
    pending_.reset();
  }
  if (found == peers_.end()) {
    return;
  }
  Peer& peer = found->second;
  if (++peer.failures >= kMaxFailures) {
    peer.excluded_until = now + kExclusionTime;
    return;
  }
  peer.not_before =
      now + random_.Jitter(std::min(kMaxBackoff, kMinBackoff * (1 << peer.failures)), 0.5);
}

}  // namespace limpet
