#include "limpet/access/knowledge_clock.h"

#include <algorithm>

#include "limpet/core/fault.h"

namespace limpet {

void KnowledgeClock::OnProof(TimePoint instant) {
  proven_ = std::max(proven_.value_or(instant), instant);
}

int64_t KnowledgeClock::OnProbeSent(TimePoint now, const std::string& node) {
  const auto [probe, inserted] = probes_.try_emplace(node);
  if (!inserted) {
    return 0;
  }
  probe->second = {++last_nonce_, now};
  return last_nonce_;
}

void KnowledgeClock::OnProbeReply(const std::string& node,
                                  const ProbeReply& reply,
                                  int64_t config_version,
                                  int64_t operator_digest) {
  const auto found = probes_.find(node);
  if (found == probes_.end() || found->second.nonce != reply.nonce) {
    return;
  }
  const TimePoint sent = found->second.sent;
  probes_.erase(found);
  const bool knows_as_much =
      config_version >= reply.config_version && operator_digest == reply.operator_digest;
  const bool accepted = knows_as_much || IsFaultActive(Fault::kAdoptUnknownKnowledge);
  // A negative age would be a proof of a future instant.
  if (accepted && reply.knowledge_age && *reply.knowledge_age >= Duration(0)) {
    OnProof(sent - *reply.knowledge_age);
  }
}

void KnowledgeClock::OnLinkLost(const std::string& node) {
  probes_.erase(node);
}

std::optional<Duration> KnowledgeClock::Age(TimePoint now) const {
  if (!proven_) {
    return std::nullopt;
  }
  return now - *proven_;
}

bool KnowledgeClock::IsCurrent(TimePoint now, Duration max_age) const {
  return proven_ && *proven_ >= now - max_age;
}

}  // namespace limpet
