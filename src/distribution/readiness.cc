#include "limpet/distribution/readiness.h"

#include <algorithm>

#include "limpet/core/fault.h"

namespace limpet {

std::vector<std::string> Readiness::Tick(TimePoint now, const Input& input) {
  switch (phase_) {
    case StartPhase::kJoining:
      if (input.joined) {
        return StartAsking(now, input);
      }
      break;
    case StartPhase::kAsking:
      if (IsFaultActive(Fault::kReadyTooEarly)) {
        phase_ = StartPhase::kReady;
      } else if (awaited_peers_.empty() || now - phase_start_ >= kPeerTimeout) {
        StartFetching(now);
      }
      break;
    case StartPhase::kFetching:
      if (!input.behind || now - phase_start_ >= kFetchTimeout) {
        phase_ = StartPhase::kTail;
        phase_start_ = now;
        if (!log_start_) {
          log_start_ = now + Duration(static_cast<Duration::rep>(
                                 random_.NextBelow(has_ready_peer_ ? kTailSpread.count() : 1)));
        }
      }
      break;
    case StartPhase::kTail:
      TickTail(now, input);
      if (phase_ == StartPhase::kJoining) {
        return StartAsking(now, input);
      }
      break;
    case StartPhase::kReady:
      break;
  }
  return {};
}

void Readiness::OnReply(std::string_view peer, bool peer_ready) {
  if (awaited_peers_.erase(std::string(peer)) == 0) {
    return;
  }
  has_ready_peer_ = has_ready_peer_ || peer_ready;
}

bool Readiness::ShouldReadLog(TimePoint now) const {
  return phase_ != StartPhase::kReady && log_start_ && *log_start_ <= now;
}

std::vector<std::string> Readiness::StartAsking(TimePoint now, const Input& input) {
  std::vector<std::string> peers = input.sample_peers();
  awaited_peers_ = std::set<std::string, std::less<>>(peers.begin(), peers.end());
  phase_ = StartPhase::kAsking;
  phase_start_ = now;
  return peers;
}

void Readiness::StartFetching(TimePoint now) {
  awaited_peers_.clear();
  phase_ = StartPhase::kFetching;
  phase_start_ = now;
}

void Readiness::TickTail(TimePoint now, const Input& input) {
  if (input.behind) {
    return;
  }
  if (input.log_caught_up) {
    phase_ = StartPhase::kReady;
    return;
  }
  // Each response of the log restarts the timeout, because many pages may have to be read.
  const TimePoint since = std::max(*log_start_, input.log_responded_at.value_or(*log_start_));
  if (input.log_configured && now - since < kLogTimeout) {
    return;
  }
  if (has_ready_peer_) {
    phase_ = StartPhase::kReady;
  } else if (now - phase_start_ >= kLogTimeout) {
    phase_ = StartPhase::kJoining;
  }
}

}  // namespace limpet
