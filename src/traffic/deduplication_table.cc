#include "limpet/traffic/deduplication_table.h"

#include <xxhash.h>

namespace limpet {

DeduplicationTable::DeduplicationTable(size_t capacity) : capacity_(capacity) {}

DeduplicationTable::Key DeduplicationTable::HashId(std::string_view id) {
  const XXH128_hash_t hash = XXH3_128bits(id.data(), id.size());
  return {hash.low64, hash.high64};
}

DeduplicationState DeduplicationTable::Find(std::string_view id) const {
  const auto found = entries_.find(HashId(id));
  return found == entries_.end() ? DeduplicationState::kUnseen : found->second.state;
}

bool DeduplicationTable::Record(TimePoint expiry, std::string_view id, DeduplicationState state) {
  const Key key = HashId(id);
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    if (!HasRoom(1)) {
      return false;
    }
    entries_.emplace(key, Entry{expiry, state});
    expiries_.push({expiry, key});
    return true;
  }
  Entry& entry = found->second;
  entry.state = state;
  if (expiry > entry.expiry) {
    entry.expiry = expiry;
    expiries_.push({expiry, key});
  }
  return true;
}

void DeduplicationTable::Expire(TimePoint now) {
  while (!expiries_.empty() && expiries_.top().time < now) {
    const auto found = entries_.find(expiries_.top().key);
    if (found != entries_.end() && found->second.expiry < now) {
      entries_.erase(found);
    }
    expiries_.pop();
  }
}

}  // namespace limpet
