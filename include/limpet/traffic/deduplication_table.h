#ifndef LIMPET_TRAFFIC_DEDUPLICATION_TABLE_H_
#define LIMPET_TRAFFIC_DEDUPLICATION_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <queue>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "limpet/core/time.h"

namespace limpet {

/// What the ledger knows of an attempt or a request.
enum class DeduplicationState {
  kUnseen,
  /// Refused for good: it has not run and will not run.
  kRefused,
  /// Queued, running, finished, or its outcome is unknown.
  kAccepted,
};

/// Attempt and request ids seen by one inbound gate, each kept until its expiry. Bounded: when full
/// it takes no new id, because forgetting one would let a copy run again. Ids are kept as 128-bit
/// hashes to bound the bytes of an entry. Not safe for concurrent use.
class DeduplicationTable {
 public:
  explicit DeduplicationTable(size_t capacity);

  DeduplicationState Find(std::string_view id) const;

  /// Records or changes an id. False if the ledger is full and the id is new.
  bool Record(TimePoint expiry, std::string_view id, DeduplicationState state);

  /// Forgets ids whose expiry is before `now`.
  void Expire(TimePoint now);

  /// True if `count` new ids fit.
  bool HasRoom(size_t count) const { return entries_.size() + count <= capacity_; }
  size_t size() const { return entries_.size(); }

 private:
  struct Key {
    uint64_t low = 0;
    uint64_t high = 0;
    bool operator==(const Key&) const = default;
  };
  struct KeyHash {
    size_t operator()(const Key& key) const { return key.low; }
  };
  struct Entry {
    TimePoint expiry;
    DeduplicationState state;
  };
  struct Expiry {
    TimePoint time;
    Key key;
    bool operator>(const Expiry& other) const { return time > other.time; }
  };

  static Key KeyOf(std::string_view id);

  size_t capacity_;
  std::unordered_map<Key, Entry, KeyHash> entries_;
  std::priority_queue<Expiry, std::vector<Expiry>, std::greater<>> expiries_;
};

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_DEDUPLICATION_TABLE_H_
