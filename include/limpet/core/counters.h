#ifndef LIMPET_CORE_COUNTERS_H_
#define LIMPET_CORE_COUNTERS_H_

#include <atomic>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

namespace limpet {

/// One monotonic counter or gauge; safe to change from any thread.
class Counter {
 public:
  void Add(int64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }
  void Set(int64_t value) { value_.store(value, std::memory_order_relaxed); }
  int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<int64_t> value_{0};
};

/// Registry of named counters. References stay valid as long as the registry lives.
class Counters {
 public:
  /// Returns the counter of this name, created at 0 on first use.
  Counter& Get(const std::string& name);

  /// One line "name value" per counter, sorted by name: the body of `/metrics`.
  std::string Render() const;

 private:
  struct Entry {
    std::string name;
    Counter counter;
  };

  mutable std::mutex mutex_;
  std::deque<Entry> entries_;
};

}  // namespace limpet

#endif  // LIMPET_CORE_COUNTERS_H_
