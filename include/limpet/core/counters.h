#ifndef LIMPET_CORE_COUNTERS_H_
#define LIMPET_CORE_COUNTERS_H_

#include <atomic>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

namespace limpet {

/// A monotonic counter or a gauge. Safe for concurrent use.
class Counter {
 public:
  void Add(int64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }
  void Set(int64_t value) { value_.store(value, std::memory_order_relaxed); }
  int64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<int64_t> value_{0};
};

/// Registry of named counters. A reference to a counter is valid for the lifetime of the registry.
/// Safe for concurrent use.
class Counters {
 public:
  /// Returns the counter with this name; the first call for a name creates it with value 0.
  Counter& Get(const std::string& name);

  /// Returns one line "name value" per counter, sorted by name, as served at `/metrics`.
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
