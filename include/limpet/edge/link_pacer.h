#ifndef LIMPET_EDGE_LINK_PACER_H_
#define LIMPET_EDGE_LINK_PACER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>

#include "limpet/core/time.h"
#include "limpet/edge/asio.h"
#include "limpet/traffic/link_schedule.h"

namespace limpet::edge {

/// Sends large bodies, or asks the peer for them, in chunks when the pacer calls for one.
class PacedSender {
 public:
  virtual ~PacedSender() = default;
  /// Sends or requests the next chunk of the transfer and returns its size in bytes; 0 if nothing
  /// is left.
  virtual std::size_t SendChunk(int64_t transfer) = 0;
};

/// Limits the chunks of large bodies to the rate of the VM's network link in one direction. A
/// `LinkSchedule` decides their order.
class LinkPacer {
 public:
  /// `link_mbps` is the rate of the network link in Mbit/s.
  LinkPacer(const Executor& executor, double link_mbps);
  ~LinkPacer();
  LinkPacer(const LinkPacer&) = delete;
  LinkPacer& operator=(const LinkPacer&) = delete;

  /// Schedules a transfer of `bytes` that should be sent by `due`. `sender` is asked for chunks
  /// from the next iteration of the event loop on. Returns the id of the transfer.
  int64_t Add(const std::weak_ptr<PacedSender>& sender, std::size_t bytes, TimePoint due);
  void Remove(int64_t transfer);
  /// Accounts for bytes that passed the link without the pacer, such as small messages.
  void OnSent(std::size_t bytes);

  /// Time until everything that is scheduled now has been sent.
  Duration QueueingDelay() const { return schedule_.QueueingDelay(); }
  Duration TransmissionTime(std::size_t bytes) const { return schedule_.TransmissionTime(bytes); }

 private:
  void ScheduleSend(Duration delay);
  void SendDueChunks();

  Timer timer_;
  LinkSchedule schedule_;
  std::unordered_map<int64_t, std::weak_ptr<PacedSender>> senders_;
  bool timer_pending_ = false;
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_LINK_PACER_H_
