#ifndef LIMPET_DECISION_SHARED_STATE_H_
#define LIMPET_DECISION_SHARED_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "limpet/core/time.h"
#include "limpet_types.h"

namespace limpet {

/// Prefix of the keys of the operator's roll-out orders.
inline constexpr std::string_view kOrderPrefix = "order/";
/// Prefix of the keys of the states of roll-outs.
inline constexpr std::string_view kRolloutPrefix = "rollout/";
/// Prefix of the keys under which lease holders announce themselves.
inline constexpr std::string_view kHolderPrefix = "holder/";

/// Key of the highest generation that a member of the group of deciding nodes has seen.
inline constexpr std::string_view kGenerationKey = "decisions/generation";
/// Prefix of the keys under which members tell that they have given up partitions.
inline constexpr std::string_view kReleasedPrefix = "decisions/released/";

struct SharedStateOptions {
  /// Interval at which a digest is sent to a random peer.
  Duration digest_interval = std::chrono::milliseconds(500);
  /// Minimum time between two complete replies to the same peer, so that two nodes whose entries
  /// change quickly do not exchange them in a loop.
  Duration reply_interval = std::chrono::milliseconds(300);
};

/// A small map that is replicated to all nodes. Writers push changed entries; what a push missed
/// (lost messages, nodes that were away) is repaired by comparing digests (anti-entropy). Entries
/// of a key are ordered by (token, sequence), so messages may be lost, repeated and reordered, and
/// the entry of an earlier holder of a lease never replaces one of its successor. Entries are not
/// removed. Free of I/O; not safe for concurrent use.
class SharedState {
 public:
  /// What a message changed, and the message to send back to its sender.
  struct Merge {
    std::vector<std::string> changed_keys;
    std::optional<wire::SharedState> reply;
  };

  explicit SharedState(SharedStateOptions options) : options_(options) {}

  /// Stores the entry if it is newer than the stored one. Returns whether it was stored.
  bool Set(const wire::SharedEntry& entry);
  /// Merges the entries of a message that `peer` sent.
  Merge OnMessage(TimePoint now, const std::string& peer, const wire::SharedState& message);

  /// Returns true once per interval while there are entries: `MakeDigest` is then to be sent to a
  /// random peer.
  bool TakeDigestDue(TimePoint now);
  /// A message without entries, to which a peer with other entries replies.
  wire::SharedState MakeDigest() const;
  /// A message with the entry `key` and the digest.
  wire::SharedState MakePush(const std::string& key) const;

  /// Returns null if there is no entry.
  const wire::SharedEntry* Find(const std::string& key) const;
  const std::map<std::string, wire::SharedEntry>& entries() const { return entries_; }
  /// Digest of all entries; 0 without entries.
  int64_t Digest() const { return digest_; }
  /// Digest of the operator's entries (`order/`).
  int64_t OperatorDigest() const { return operator_digest_; }

 private:
  SharedStateOptions options_;
  std::map<std::string, wire::SharedEntry> entries_;
  int64_t digest_ = 0;
  int64_t operator_digest_ = 0;
  TimePoint next_digest_{};
  /// Time of the last complete reply to each peer.
  std::map<std::string, TimePoint> replied_at_;
};

}  // namespace limpet

#endif  // LIMPET_DECISION_SHARED_STATE_H_
