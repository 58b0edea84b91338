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

/// Something that has parts of large bodies to send.
class PacedSender {
 public:
  virtual ~PacedSender() = default;
  /// Sends the next part and returns its size; 0 if nothing is left.
  virtual std::size_t SendChunk(int64_t transfer) = 0;
};

/// Releases parts of large bodies at the rate of the VM's network link, in the order of an
/// `EgressSchedule`.
class EgressPacer {
 public:
  /// Rate of the link in Mbit/s.
  EgressPacer(const Executor& executor, double link_mbps);
  ~EgressPacer();
  EgressPacer(const EgressPacer&) = delete;
  EgressPacer& operator=(const EgressPacer&) = delete;

  /// The sender has `bytes` to send that should have left by `due`. It is asked for parts from the
  /// next turn of the loop on. Returns the id of the transfer.
  int64_t Add(const std::weak_ptr<PacedSender>& sender, std::size_t bytes, TimePoint due);
  void Remove(int64_t transfer);
  /// Bytes that leave without being asked for.
  void OnSent(std::size_t bytes);

  /// Time until what waits now has left.
  Duration QueueingDelay() const { return schedule_.QueueingDelay(); }
  Duration TransmissionTime(std::size_t bytes) const { return schedule_.TransmissionTime(bytes); }

 private:
  void ReleaseLater(Duration delay);
  void Release();

  Timer timer_;
  EgressSchedule schedule_;
  std::unordered_map<int64_t, std::weak_ptr<PacedSender>> senders_;
  bool timer_pending_ = false;
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_EGRESS_PACER_H_
