#ifndef LIMPET_TRAFFIC_LINK_SCHEDULE_H_
#define LIMPET_TRAFFIC_LINK_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "limpet/core/time.h"

namespace limpet {

/// Bodies of at least this size in bytes are queued for the VM's network link; smaller ones are
/// sent between their chunks.
inline constexpr std::size_t kLargeBodyBytes = 8192;

/// Decides when the next chunk of a large body may pass the VM's network link and to which transfer
/// it belongs. Each direction of the link has a schedule of its own: earliest due time first among
/// the transfers that can still be on time. Late transfers get a quarter of the rate while others
/// can be on time, and the whole rate otherwise. All sent bytes count towards the rate, so that the
/// queue of the link stays short and small messages are not delayed. Free of I/O; not safe for
/// concurrent use.
class LinkSchedule {
 public:
  /// Rate of the link in Mbit/s.
  explicit LinkSchedule(double link_mbps);

  /// Adds a body of `bytes` that should be sent by `due`. Returns the id of the transfer.
  int64_t Add(std::size_t bytes, TimePoint due);
  /// Does nothing for an unknown transfer.
  void Remove(int64_t transfer);

  /// Returns the transfer whose next chunk may be sent now; std::nullopt if there is no transfer or
  /// the link is busy until `idle_at`.
  std::optional<int64_t> Next(TimePoint now);
  /// A chunk of a transfer was sent. Returns false if it was the last one or the transfer is
  /// unknown.
  bool OnChunkSent(TimePoint now, int64_t transfer, std::size_t bytes);
  /// Bytes that belong to no transfer were sent.
  void OnSent(TimePoint now, std::size_t bytes);

  bool empty() const { return transfers_.empty(); }
  /// Time at which the link can take the next chunk.
  TimePoint idle_at() const { return idle_at_; }
  /// Time that the link needs for all bytes that are queued now.
  Duration QueueingDelay() const { return TransmissionTime(queued_bytes_); }
  Duration TransmissionTime(std::size_t bytes) const;

 private:
  using TransferKey = std::pair<TimePoint, int64_t>;

  double bytes_per_us_;
  TimePoint idle_at_{};
  int64_t last_transfer_id_ = 0;
  /// Unsent bytes of each transfer, by due time.
  std::map<TransferKey, std::size_t> transfers_;
  std::map<int64_t, TimePoint> due_;
  std::size_t queued_bytes_ = 0;
  /// Chunks of other transfers since the last chunk of a late one; 0 while no late one is queued.
  int chunks_since_late_ = 0;
};

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_LINK_SCHEDULE_H_
