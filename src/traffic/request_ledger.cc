#include "limpet/traffic/request_ledger.h"

#include <xxhash.h>

namespace limpet {

RequestLedger::RequestLedger(size_t capacity) : capacity_(capacity) {}

RequestLedger::Key RequestLedger::KeyOf(std::string_view id) {
  const XXH128_hash_t hash = XXH3_128bits(id.data(), id.size());
  return {hash.low64, hash.high64};
}

LedgerState RequestLedger::Find(std::string_view id) const {
  const auto position = entries_.find(KeyOf(id));
  return position == entries_.end() ? LedgerState::kUnseen : position->second.state;
}

bool RequestLedger::Record(TimePoint expiry, std::string_view id, LedgerState state) {
  const Key key = KeyOf(id);
  const auto position = entries_.find(key);
  if (position == entries_.end()) {
    if (!HasRoom(1)) {
      return false;
    }
    entries_.emplace(key, Entry{expiry, state});
    expiries_.push({expiry, key});
    return true;
  }
  Entry& entry = position->second;
  entry.state = state;
  if (expiry > entry.expiry) {
    entry.expiry = expiry;
    expiries_.push({expiry, key});
  }
  return true;
}

void RequestLedger::Expire(TimePoint now) {
  while (!expiries_.empty() && expiries_.top().time < now) {
    const auto position = entries_.find(expiries_.top().key);
    if (position != entries_.end() && position->second.expiry < now) {
      entries_.erase(position);
    }
    expiries_.pop();
  }
}

}  // namespace limpet
