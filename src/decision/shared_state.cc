#include "limpet/decision/shared_state.h"

#include <xxhash.h>

#include <tuple>

#include "limpet/core/fault.h"

namespace limpet {

namespace {

/// Two writers with one token do not occur; the value makes the order total, so that all nodes
/// converge even then.
bool IsNewer(const wire::SharedEntry& entry, const wire::SharedEntry& stored) {
  if (IsFaultActive(Fault::kKeepLastSharedEntry)) {
    return entry != stored;
  }
  return std::tie(entry.token, entry.sequence, entry.value) >
         std::tie(stored.token, stored.sequence, stored.value);
}

int64_t HashEntry(const wire::SharedEntry& entry) {
  const std::string text = entry.key + '\0' + std::to_string(entry.token) + '\0' +
                           std::to_string(entry.sequence) + '\0' + entry.value;
  return static_cast<int64_t>(XXH3_64bits(text.data(), text.size()));
}

}  // namespace

bool SharedState::Set(const wire::SharedEntry& entry) {
  if (entry.key.empty()) {
    return false;
  }
  const auto [found, is_new] = entries_.try_emplace(entry.key, entry);
  if (!is_new && !IsNewer(entry, found->second)) {
    return false;
  }
  // The digest is the exclusive or of the hashes, which does not depend on the order of changes.
  const int64_t change = HashEntry(entry) ^ (is_new ? 0 : HashEntry(found->second));
  digest_ ^= change;
  if (entry.key.starts_with(kOrderPrefix)) {
    operator_digest_ ^= change;
  }
  found->second = entry;
  return true;
}

SharedState::Merge SharedState::OnMessage(TimePoint now,
                                          const std::string& peer,
                                          const wire::SharedState& message) {
  Merge merge;
  for (const wire::SharedEntry& entry : message.entries) {
    if (Set(entry)) {
      merge.changed_keys.push_back(entry.key);
    }
  }
  if (message.digest == digest_) {
    return merge;
  }
  const auto [replied_at, is_first] = replied_at_.try_emplace(peer, now);
  if (is_first || now - replied_at->second >= options_.reply_interval) {
    replied_at->second = now;
    merge.reply = MakeDigest();
    for (const auto& [key, entry] : entries_) {
      merge.reply->entries.push_back(entry);
    }
  }
  return merge;
}

bool SharedState::TakeDigestDue(TimePoint now) {
  if (entries_.empty() || now < next_digest_) {
    return false;
  }
  next_digest_ = now + options_.digest_interval;
  return true;
}

wire::SharedState SharedState::MakeDigest() const {
  wire::SharedState message;
  message.digest = digest_;
  return message;
}

wire::SharedState SharedState::MakePush(const std::string& key) const {
  wire::SharedState message = MakeDigest();
  if (const wire::SharedEntry* entry = Find(key)) {
    message.entries.push_back(*entry);
  }
  return message;
}

const wire::SharedEntry* SharedState::Find(const std::string& key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? nullptr : &found->second;
}

}  // namespace limpet
