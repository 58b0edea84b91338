#ifndef LIMPET_ACCESS_KNOWLEDGE_CLOCK_H_
#define LIMPET_ACCESS_KNOWLEDGE_CLOCK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "limpet/core/time.h"

namespace limpet {

/// What the reply to a probe says about the knowledge of the replying node, and whether this node
/// has applied everything that the replying node had applied.
struct ProbeReply {
  int64_t nonce = 0;
  /// Age of the proof of the replying node when it sent the reply; no value if it has none.
  std::optional<Duration> knowledge_age;
  int64_t config_version = 0;
  int64_t operator_digest = 0;
};

/// Holds the freshness proof of a node: an instant P such that the node has applied every record of
/// the operator that the store had acknowledged by P. A node proves it by its own reads of the
/// store, or takes over the proof of a peer. Does no I/O; not safe for concurrent use.
class KnowledgeClock {
 public:
  /// The node has applied every record that was acknowledged by `instant`.
  void OnProof(TimePoint instant);

  /// Call it before a probe is sent to `node`. Returns the nonce for the probe; 0 if the reply to
  /// an earlier one is still pending, so that this probe proves nothing.
  int64_t OnProbeSent(TimePoint now, const std::string& node);
  /// Takes over the proof of `node` if the nonce is that of the pending probe and this node knows
  /// at least as much. The proof is based on the time at which the probe was sent, because the
  /// reply may have been delayed. `config_version` and `operator_digest` are those of this node.
  void OnProbeReply(const std::string& node,
                    const ProbeReply& reply,
                    int64_t config_version,
                    int64_t operator_digest);
  /// The link to `node` was lost, so the reply to a pending probe cannot arrive.
  void OnLinkLost(const std::string& node);

  /// The instant P; no value before the first proof.
  std::optional<TimePoint> proven() const { return proven_; }
  /// now - P; no value before the first proof.
  std::optional<Duration> Age(TimePoint now) const;
  /// Returns true if every record that was acknowledged `max_age` ago has been applied.
  bool IsCurrent(TimePoint now, Duration max_age) const;

 private:
  struct Probe {
    int64_t nonce = 0;
    TimePoint sent{};
  };

  std::optional<TimePoint> proven_;
  /// Probes whose reply is pending, by node.
  std::map<std::string, Probe> probes_;
  int64_t last_nonce_ = 0;
};

}  // namespace limpet

#endif  // LIMPET_ACCESS_KNOWLEDGE_CLOCK_H_
