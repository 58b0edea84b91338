#include "limpet/edge/egress_pacer.h"

#include <algorithm>

#include "limpet/net/clock.h"

namespace limpet::edge {

namespace {

/// Left for small messages, headers and acknowledgements.
constexpr double kUsableShare = 0.85;
constexpr double kBitsPerByte = 8;
/// Timers fire late by up to a few milliseconds; what they miss is sent in one go.
constexpr Duration kBurst = std::chrono::milliseconds(10);

}  // namespace

EgressPacer::EgressPacer(const Executor& executor, double link_mbps)
    : timer_(executor), bytes_per_us_(std::max(0.1, link_mbps) * kUsableShare / kBitsPerByte) {}

EgressPacer::~EgressPacer() = default;

void EgressPacer::Add(const std::weak_ptr<PacedSender>& sender, std::size_t bytes) {
  senders_.push_back(sender);
  waiting_bytes_ += bytes;
  if (!timer_pending_) {
    Release();
  }
}

Duration EgressPacer::TimeOf(std::size_t bytes) const {
  return Duration(static_cast<int64_t>(static_cast<double>(bytes) / bytes_per_us_));
}

Duration EgressPacer::Wait() const {
  return senders_.empty() ? Duration(0) : TimeOf(waiting_bytes_);
}

void EgressPacer::Release() {
  const TimePoint now = MonotonicNow();
  free_at_ = std::max(free_at_, now - kBurst);
  while (!senders_.empty() && free_at_ <= now) {
    const auto sender = senders_.front().lock();
    senders_.pop_front();
    const std::size_t sent = sender ? sender->SendPart() : 0;
    if (sent == 0) {
      continue;
    }
    waiting_bytes_ -= std::min(sent, waiting_bytes_);
    free_at_ += TimeOf(sent);
    senders_.push_back(sender);
  }
  if (senders_.empty()) {
    waiting_bytes_ = 0;
    return;
  }
  timer_pending_ = true;
  timer_.expires_after(free_at_ - now);
  timer_.async_wait([this](ErrorCode error) {
    if (!error) {
      timer_pending_ = false;
      Release();
    }
  });
}

}  // namespace limpet::edge
