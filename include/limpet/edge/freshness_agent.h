#ifndef LIMPET_EDGE_FRESHNESS_AGENT_H_
#define LIMPET_EDGE_FRESHNESS_AGENT_H_

#include <cstdint>
#include <functional>
#include <string>

#include "limpet/access/access_policy.h"
#include "limpet/access/knowledge_clock.h"
#include "limpet/core/counters.h"
#include "limpet/distribution/store_readers.h"
#include "limpet/edge/http_header_names.h"
#include "limpet/edge/peer_links.h"
#include "limpet/routing/config_holder.h"
#include "limpet/settings/node_settings.h"

namespace limpet::edge {

/// Probes other nodes for their configuration versions and freshness proofs, and decides on the
/// access of callers by the proof of this node.
class FreshnessAgent {
 public:
  /// The references must outlive the agent.
  FreshnessAgent(const NodeSettings& settings,
                 const HttpHeaderNames& header_names,
                 const ConfigHolder& config,
                 const StoreReaders& readers,
                 PeerLinks& links);

  void Reload(const NodeSettings& settings);
  /// Digest of the operator's entries of the shared state at this node; 0 without such entries.
  void set_operator_digest(std::function<int64_t()> digest) {
    operator_digest_ = std::move(digest);
  }
  KnowledgeClock& clock() { return clock_; }
  const KnowledgeClock& clock() const { return clock_; }
  AccessPolicy& policy() { return policy_; }

  /// Sends the probes that are due. Call it about every 50 ms.
  void Tick(TimePoint now);
  /// Returns the nonce of a probe that is about to be sent.
  int64_t OnProbe(const std::string& node);
  void OnProbeReply(const std::string& node, const wire::LinkProbe& reply);
  /// Adds the proof of this node to the reply to a probe.
  void CompleteReply(wire::LinkProbe& reply) const;
  void OnUnreachable(const std::string& node) { clock_.OnLinkLost(node); }
  /// Sets the metric of the age of the proof.
  void Report(Counters& counters) const;

 private:
  AccessOptions MakeOptions(const NodeSettings& settings) const;
  /// True while requests are refused, or will be soon, because the proof is old.
  bool NeedsProof(TimePoint now) const;

  const HttpHeaderNames& header_names_;
  const ConfigHolder& config_;
  const StoreReaders& readers_;
  PeerLinks& links_;
  KnowledgeClock clock_;
  AccessPolicy policy_;
  std::function<int64_t()> operator_digest_ = [] { return int64_t{0}; };
  TimePoint last_probe_{};
  TimePoint last_reader_probe_{};
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_FRESHNESS_AGENT_H_
