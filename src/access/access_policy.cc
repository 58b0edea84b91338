#include "limpet/access/access_policy.h"

#include <strings.h>

#include <string_view>
#include <utility>

#include "limpet/core/fault.h"

namespace limpet {

namespace {

/// A key must be accepted this long after the store acknowledged the configuration with it, so a
/// node answers 401 only if it knows every configuration of that age.
constexpr Duration kMaxAgeForUnauthorized = std::chrono::seconds(2);
/// Retry-After value of a node without a recent proof. While the proof is missing, peers are probed
/// every 100 ms.
constexpr Duration kRetryAfterNotCurrent = std::chrono::milliseconds(250);

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace

AccessPolicy::AccessPolicy(AccessOptions options, const KnowledgeClock& clock)
    : options_(std::move(options)), clock_(clock) {}

const ClientAccount* AccessPolicy::FindAccount(const RouteTable& routes,
                                               const std::vector<wire::Header>& headers) const {
  const std::string* key = nullptr;
  for (const wire::Header& header : headers) {
    if (options_.key_header.empty() || !EqualsIgnoringCase(header.name, options_.key_header)) {
      continue;
    }
    if (key != nullptr) {
      return nullptr;
    }
    key = &header.value;
  }
  return key == nullptr ? nullptr : routes.FindAccountByKey(*key);
}

AccessDecision AccessPolicy::Decide(TimePoint now,
                                    const RouteTable& routes,
                                    const MeshRoute& route,
                                    const std::vector<wire::Header>& headers) {
  AccessDecision decision;
  decision.result = AccessResult::kAllowed;
  decision.priority = route.priority;
  if (routes.config().accounts.empty() || route.is_public) {
    return decision;
  }
  const ClientAccount* account = FindAccount(routes, headers);
  // The configuration in effect may lack both a new key and the removal of an old one.
  const Duration max_age = account == nullptr ? kMaxAgeForUnauthorized : options_.revocation_time;
  const bool needs_proof = account == nullptr || options_.strict_revocation;
  if (needs_proof && !clock_.IsCurrent(now, max_age) &&
      !IsFaultActive(Fault::kSkipKnowledgeCheck)) {
    decision.result = AccessResult::kNotCurrent;
    last_not_current_ = now;
    decision.retry_after = kRetryAfterNotCurrent;
    return decision;
  }
  if (account == nullptr) {
    decision.result = AccessResult::kUnauthorized;
    return decision;
  }
  decision.account = account->name;
  decision.priority = account->priority.value_or(route.priority);
  return decision;
}

}  // namespace limpet
