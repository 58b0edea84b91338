#ifndef LIMPET_EDGE_EGRESS_PACER_H_
#define LIMPET_EDGE_EGRESS_PACER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>

#include "limpet/core/time.h"
#include "limpet/edge/asio.h"
#include "limpet/traffic/egress_schedule.h"

namespace limpet::edge {

/// Sends large bodies in chunks when the pacer asks for them.
class PacedSender {
 public:
  virtual ~PacedSender() = default;
  /// Sends the next chunk of the transfer and returns its size in bytes; 0 if nothing is left.
  virtual std::size_t SendChunk(int64_t transfer) = 0;
};

/// Limits the chunks of large bodies to the rate of the VM's network link. An `EgressSchedule`
/// decides their order.
class EgressPacer {
 public:
  /// `link_mbps` is the rate of the network link in Mbit/s.
  EgressPacer(const Executor& executor, double link_mbps);
  ~EgressPacer();
  EgressPacer(const EgressPacer&) = delete;
  EgressPacer& operator=(const EgressPacer&) = delete;

  /// Schedules a transfer of `bytes` that should be sent by `due`. `sender` is asked for chunks
  /// from the next iteration of the event loop on. Returns the id of the transfer.
  int64_t Add(const std::weak_ptr<PacedSender>& sender, std::size_t bytes, TimePoint due);
  void Remove(int64_t transfer);
  /// Accounts for bytes that were sent without the pacer, such as small messages.
  void OnSent(std::size_t bytes);

  /// Time until everything that is scheduled now has been sent.
  Duration QueueingDelay() const { return schedule_.QueueingDelay(); }
  Duration TransmissionTime(std::size_t bytes) const { return schedule_.TransmissionTime(bytes); }

 private:
  void ScheduleSend(Duration delay);
  void SendDueChunks();

  Timer timer_;
  EgressSchedule schedule_;
  std::unordered_map<int64_t, std::weak_ptr<PacedSender>> senders_;
  bool timer_pending_ = false;
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_EGRESS_PACER_H_
