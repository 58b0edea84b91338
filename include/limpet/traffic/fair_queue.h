#ifndef LIMPET_TRAFFIC_FAIR_QUEUE_H_
#define LIMPET_TRAFFIC_FAIR_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "limpet/core/time.h"

namespace limpet {

struct QueuedAttempt {
  std::string attempt_id;
  std::string caller;
  /// Time at which the attempt is refused if it is still in the queue.
  TimePoint expiry{};
};

/// Start-time fair queueing between callers (by name) with equal weights: a caller with a backlog
/// does not delay the attempts of a caller without one. Not safe for concurrent use.
class FairQueue {
 public:
  explicit FairQueue(size_t capacity) : capacity_(capacity) {}

  enum class PushResult { kQueued, kFull, kCallerShare };

  /// A full queue accepts the attempt only if the longest backlog of a caller exceeds that of this
  /// caller by at least two. It then evicts the last attempt of that caller and stores it in
  /// `evicted`. Otherwise returns `kCallerShare` if this caller itself has the longest backlog and
  /// there are other callers, else `kFull`.
  PushResult Push(QueuedAttempt attempt, std::optional<QueuedAttempt>& evicted);

  std::optional<QueuedAttempt> Pop();
  /// Returns false if the attempt is not in the queue.
  bool Remove(const std::string& attempt_id);
  std::vector<QueuedAttempt> TakeExpired(TimePoint now);
  std::vector<QueuedAttempt> TakeAll();

  size_t size() const { return queue_.size(); }
  bool empty() const { return queue_.empty(); }

 private:
  using Tag = std::pair<uint64_t, uint64_t>;
  struct CallerState {
    uint64_t next_tag = 0;
    size_t queued = 0;
  };

  std::map<Tag, QueuedAttempt>::iterator Erase(std::map<Tag, QueuedAttempt>::iterator position);
  std::string FindCallerWithLongestBacklog() const;
  std::optional<QueuedAttempt> EvictLast(const std::string& caller);
  void RemoveIdleCallers();

  size_t capacity_;
  uint64_t virtual_time_ = 0;
  uint64_t next_sequence_ = 0;
  std::map<Tag, QueuedAttempt> queue_;
  std::map<std::string, CallerState> callers_;
};

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_FAIR_QUEUE_H_
