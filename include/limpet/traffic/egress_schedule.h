#ifndef LIMPET_TRAFFIC_EGRESS_SCHEDULE_H_
#define LIMPET_TRAFFIC_EGRESS_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "limpet/core/time.h"

namespace limpet {

/// Responses of this size wait for the network link of a VM; smaller ones pass between their parts.
inline constexpr std::size_t kLargeResponseBytes = 8192;

/// Decides when the next part of a large body may leave over the VM's network link and of which
/// transfer it is: earliest due first among those that can still be on time; late ones have a
/// quarter of the rate beside them and all of it otherwise. All bytes that leave count, so that the
/// queue of the link stays short and small messages are not held up. Free of I/O; not safe for
/// concurrent use.
class EgressSchedule {
 public:
  /// Rate of the link in Mbit/s.
  explicit EgressSchedule(double link_mbps);

  /// A body of `bytes` that should have left by `due`. Returns the id of the transfer.
  int64_t Add(std::size_t bytes, TimePoint due);
  /// Does nothing for an unknown transfer.
  void Remove(int64_t transfer);

  /// The transfer whose next part may leave now, if any.
  std::optional<int64_t> Next(TimePoint now);
  /// A part of a transfer has left. False if it was the last one or the transfer is unknown.
  bool OnChunkSent(TimePoint now, int64_t transfer, std::size_t bytes);
  /// Other bytes have left.
  void OnSent(TimePoint now, std::size_t bytes);

  bool empty() const { return transfers_.empty(); }
  /// When the link is free for the next part.
  TimePoint idle_at() const { return idle_at_; }
  /// Time until everything that waits now has left.
  Duration QueueingDelay() const { return TransmissionTime(queued_bytes_); }
  Duration TransmissionTime(std::size_t bytes) const;

 private:
  using Position = std::pair<TimePoint, int64_t>;

  double bytes_per_us_;
  TimePoint idle_at_{};
  int64_t last_transfer_ = 0;
  /// Bytes left of each transfer, by due time.
  std::map<Position, std::size_t> transfers_;
  std::map<int64_t, TimePoint> due_;
  std::size_t queued_bytes_ = 0;
  /// Parts of others since the last one of a late transfer, while late ones wait.
  int chunks_since_late_ = 0;
};

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_EGRESS_SCHEDULE_H_
