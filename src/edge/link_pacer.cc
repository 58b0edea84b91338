#include "limpet/edge/link_pacer.h"

#include <algorithm>

#include "limpet/net/clock.h"

namespace limpet::edge {

LinkPacer::LinkPacer(const Executor& executor, double link_mbps)
    : timer_(executor), schedule_(link_mbps) {}

LinkPacer::~LinkPacer() = default;

int64_t LinkPacer::Add(const std::weak_ptr<PacedSender>& sender, std::size_t bytes, TimePoint due) {
  const int64_t transfer = schedule_.Add(bytes, due);
  senders_.emplace(transfer, sender);
  if (!timer_pending_) {
    ScheduleSend(Duration(0));
  }
  return transfer;
}

void LinkPacer::Remove(int64_t transfer) {
  schedule_.Remove(transfer);
  senders_.erase(transfer);
}

void LinkPacer::OnSent(std::size_t bytes) {
  schedule_.OnSent(MonotonicNow(), bytes);
}

void LinkPacer::SendDueChunks() {
  const TimePoint now = MonotonicNow();
  while (const auto transfer = schedule_.Next(now)) {
    const auto sender = senders_[*transfer].lock();
    const std::size_t sent = sender ? sender->SendChunk(*transfer) : 0;
    if (sent == 0) {
      Remove(*transfer);
      continue;
    }
    if (!schedule_.OnChunkSent(now, *transfer, sent)) {
      senders_.erase(*transfer);
    }
  }
  if (!schedule_.empty()) {
    ScheduleSend(schedule_.idle_at() - now);
  }
}

void LinkPacer::ScheduleSend(Duration delay) {
  timer_pending_ = true;
  timer_.expires_after(std::max(Duration(0), delay));
  timer_.async_wait([this](ErrorCode error) {
    if (!error) {
      timer_pending_ = false;
      SendDueChunks();
    }
  });
}

}  // namespace limpet::edge
