#ifndef LIMPET_NET_BOUNDED_QUEUE_H_
#define LIMPET_NET_BOUNDED_QUEUE_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace limpet {

/// Queue between threads that never blocks the producer.
template <typename T>
class BoundedQueue {
 public:
  explicit BoundedQueue(size_t capacity) : capacity_(capacity) {}

  /// Returns false, and drops the item, if the queue is full or closed.
  bool Push(T item) {
    {
      const std::lock_guard lock(mutex_);
      if (closed_ || items_.size() >= capacity_) {
        return false;
      }
      items_.push_back(std::move(item));
    }
    changed_.notify_one();
    return true;
  }

  /// Waits for an item. Returns no item once the queue is closed and empty.
  std::optional<T> Pop() {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return closed_ || !items_.empty(); });
    return TakeFirst();
  }

  /// Returns no item if the queue is empty.
  std::optional<T> TryPop() {
    const std::lock_guard lock(mutex_);
    return TakeFirst();
  }

  /// Refuses further items; items already in the queue can still be popped.
  void Close() {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
    }
    changed_.notify_all();
  }

 private:
  std::optional<T> TakeFirst() {
    if (items_.empty()) {
      return std::nullopt;
    }
    std::optional<T> item(std::move(items_.front()));
    items_.pop_front();
    return item;
  }

  const size_t capacity_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<T> items_;
  bool closed_ = false;
};

}  // namespace limpet

#endif  // LIMPET_NET_BOUNDED_QUEUE_H_
