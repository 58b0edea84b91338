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
  /// The attempt leaves the queue as refused at this time.
  TimePoint expiry{};
};

/// Start-time fair queueing over caller names with equal weights: a caller with a backlog does not
/// delay a caller without one. Not safe for concurrent use.
class FairQueue {
 public:
  explicit FairQueue(size_t capacity) : capacity_(capacity) {}

  enum class PushResult { kQueued, kFull, kCallerShare };

  /// A full queue takes the attempt in only by evicting the last attempt of the caller with the
  /// longest backlog, if that is longer than this caller's by at least two. `evicted` then holds
  /// it.
  PushResult Push(QueuedAttempt attempt, std::optional<QueuedAttempt>& evicted);

  std::optional<QueuedAttempt> Pop();
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
  std::string LongestBacklog() const;
  std::optional<QueuedAttempt> EvictLastOf(const std::string& caller);
  void ForgetIdleCallers();

  size_t capacity_;
  uint64_t virtual_time_ = 0;
  uint64_t sequence_ = 0;
  std::map<Tag, QueuedAttempt> queue_;
  std::map<std::string, CallerState> callers_;
};

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_FAIR_QUEUE_H_
