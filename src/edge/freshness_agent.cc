#include "limpet/edge/freshness_agent.h"

#include <cmath>
#include <utility>

#include "limpet/net/clock.h"

namespace limpet::edge {

namespace {

/// Interval at which a random peer is asked for its configuration version. This brings a node up to
/// date when the nodes that read the store for it cannot reach it.
constexpr Duration kProbeInterval = std::chrono::milliseconds(500);
constexpr int kProbedPeers = 1;
/// Less than half of `StoreReadersOptions::max_report_age`, so that a reader is probed twice within
/// that time.
constexpr Duration kReaderProbeInterval = std::chrono::milliseconds(400);
/// Interval of both kinds of probes while a proof is needed. Together with the age of the proof of
/// a reader, up to 1.9 s, and an outage of the store of 0.6 `revoke_ms`, it must fit into
/// `revoke_ms`.
constexpr Duration kUrgentProbeInterval = std::chrono::milliseconds(100);
/// Share of `revoke_ms` from which on a proof counts as old.
constexpr double kOldProofShare = 0.25;
/// Probes are urgent for this long after a request was refused for lack of a proof.
constexpr Duration kUrgentAfterRefusal = std::chrono::seconds(1);

}  // namespace

FreshnessAgent::FreshnessAgent(const NodeSettings& settings,
                               const HttpHeaderNames& header_names,
                               const ConfigHolder& config,
                               const StoreReaders& readers,
                               PeerLinks& links)
    : header_names_(header_names),
      config_(config),
      readers_(readers),
      links_(links),
      policy_(MakeOptions(settings), clock_) {}

AccessOptions FreshnessAgent::MakeOptions(const NodeSettings& settings) const {
  AccessOptions options;
  options.key_header = header_names_.api_key;
  options.strict_revocation = settings.strict_revocation;
  options.revocation_time = Duration(std::llround(settings.revoke_ms * 1000));
  return options;
}

void FreshnessAgent::Reload(const NodeSettings& settings) {
  policy_.set_options(MakeOptions(settings));
}

bool FreshnessAgent::NeedsProof(TimePoint now) const {
  if (!config_.routes() || config_.routes()->config().accounts.empty()) {
    return false;
  }
  const AccessOptions& options = policy_.options();
  const bool is_old = options.strict_revocation &&
                      !clock_.IsCurrent(now, Scale(options.revocation_time, kOldProofShare));
  const auto refused = policy_.last_not_current();
  return is_old || (refused && now - *refused < kUrgentAfterRefusal);
}

void FreshnessAgent::Tick(TimePoint now) {
  const bool urgent = NeedsProof(now);
  if (now - last_probe_ >= (urgent ? kUrgentProbeInterval : kProbeInterval)) {
    last_probe_ = now;
    links_.ProbeRandomPeers(kProbedPeers, config_.version());
  }
  if (now - last_reader_probe_ >= (urgent ? kUrgentProbeInterval : kReaderProbeInterval)) {
    last_reader_probe_ = now;
    for (const std::string& node : readers_.NodesToProbe()) {
      links_.Probe(node, config_.version());
    }
  }
}

int64_t FreshnessAgent::OnProbe(const std::string& node) {
  return clock_.OnProbeSent(MonotonicNow(), node);
}

void FreshnessAgent::OnProbeReply(const std::string& node, const wire::LinkProbe& reply) {
  ProbeReply proof;
  proof.nonce = reply.nonce;
  if (reply.__isset.knowledge_age_us) {
    proof.knowledge_age = Duration(reply.knowledge_age_us);
  }
  proof.config_version = reply.config_version;
  proof.operator_digest = reply.operator_digest;
  clock_.OnProbeReply(node, proof, config_.version(), operator_digest_());
}

void FreshnessAgent::CompleteReply(wire::LinkProbe& reply) const {
  if (const auto age = clock_.Age(MonotonicNow())) {
    reply.__set_knowledge_age_us(age->count());
  }
  reply.operator_digest = operator_digest_();
}

void FreshnessAgent::Report(Counters& counters) const {
  const auto age = clock_.Age(MonotonicNow());
  counters.Get("knowledge_age_ms")
      .Set(age ? std::chrono::duration_cast<std::chrono::milliseconds>(*age).count() : -1);
}

}  // namespace limpet::edge
