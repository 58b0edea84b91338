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

/// State of an attempt id or request id in the deduplication table.
enum class DeduplicationState {
  /// Not in the table.
  kUnseen,
  /// Refused permanently: it has not run and will not run.
  kRefused,
  /// Queued, running, finished, or its outcome is unknown.
  kAccepted,
};

/// Attempt and request ids that a gate has received, each kept until its expiry. Bounded: a full
/// table accepts no new id, because removing one before its expiry would let a copy of its request
/// run again. Ids are stored as 128-bit hashes, so that all entries have the same small size. Not
/// safe for concurrent use.
class DeduplicationTable {
 public:
  /// `capacity` is the maximum number of ids.
  explicit DeduplicationTable(size_t capacity);

  DeduplicationState Find(std::string_view id) const;

  /// Adds an id, or sets the state of a known id and extends its expiry; an earlier `expiry` does
  /// not shorten it. Returns false if the table is full and the id is new.
  bool Record(TimePoint expiry, std::string_view id, DeduplicationState state);

  /// Removes ids whose expiry is before `now`.
  void Expire(TimePoint now);

  /// Whether `count` new ids fit.
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

  static Key HashId(std::string_view id);

  size_t capacity_;
  std::unordered_map<Key, Entry, KeyHash> entries_;
  std::priority_queue<Expiry, std::vector<Expiry>, std::greater<>> expiries_;
};

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_DEDUPLICATION_TABLE_H_
