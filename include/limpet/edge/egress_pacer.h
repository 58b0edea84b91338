#ifndef LIMPET_EDGE_EGRESS_PACER_H_
#define LIMPET_EDGE_EGRESS_PACER_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>

#include "limpet/core/time.h"
#include "limpet/edge/asio.h"

namespace limpet::edge {

/// Something that has parts of large bodies to send.
class PacedSender {
 public:
  virtual ~PacedSender() = default;
  /// Sends the next part and returns its size; 0 if nothing is left.
  virtual std::size_t SendPart() = 0;
};

/// Releases parts of large bodies at a little less than the rate of the VM's network link, in turn
/// for all senders. The queue of the link stays short, so small messages are not held up behind
/// large responses.
class EgressPacer {
 public:
  /// Rates are in Mbit/s.
  EgressPacer(const Executor& executor, double link_mbps);
  ~EgressPacer();
  EgressPacer(const EgressPacer&) = delete;
  EgressPacer& operator=(const EgressPacer&) = delete;

  /// The sender has `bytes` more to send and is asked for parts until it has none.
  void Add(const std::weak_ptr<PacedSender>& sender, std::size_t bytes);

  /// Time until what waits now has left.
  Duration Wait() const;
  Duration TimeOf(std::size_t bytes) const;

 private:
  void Release();

  Timer timer_;
  double bytes_per_us_;
  std::deque<std::weak_ptr<PacedSender>> senders_;
  std::size_t waiting_bytes_ = 0;
  bool timer_pending_ = false;
  /// When the link is free again.
  TimePoint free_at_{};
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_EGRESS_PACER_H_
