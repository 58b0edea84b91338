#ifndef LIMPET_ACCESS_ACCESS_POLICY_H_
#define LIMPET_ACCESS_ACCESS_POLICY_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "limpet/access/knowledge_clock.h"
#include "limpet/core/enum_names.h"
#include "limpet/core/time.h"
#include "limpet/routing/route_table.h"
#include "limpet_types.h"

namespace limpet {

enum class AccessResult {
  kAllowed,
  kUnauthorized,
  kNotCurrent,  // the configuration of this node may be too old to decide
};

inline constexpr EnumNames<AccessResult, 3> kAccessResultNames = {{
    {AccessResult::kAllowed, "allowed"},
    {AccessResult::kUnauthorized, "unauthorized"},
    {AccessResult::kNotCurrent, "not_current"},
}};

struct AccessDecision {
  AccessResult result = AccessResult::kUnauthorized;
  /// Name of the client account; empty if the request needs no key.
  std::string account;
  /// Priority of the request: the account's, else the route's.
  int priority = 0;
  /// For `kNotCurrent`: time after which the caller should retry.
  Duration retry_after{0};
};

struct AccessOptions {
  /// Header that carries the key; if empty, no request is authorised by a key.
  std::string key_header;
  /// Serves a request with a key only if every configuration that was acknowledged
  /// `revocation_time` ago is known.
  bool strict_revocation = false;
  Duration revocation_time = std::chrono::seconds(5);
};

/// Decides whether a request may use its route. Does no I/O; not safe for concurrent use.
class AccessPolicy {
 public:
  /// `clock` must outlive the policy.
  AccessPolicy(AccessOptions options, const KnowledgeClock& clock);

  void set_options(AccessOptions options) { options_ = std::move(options); }
  const AccessOptions& options() const { return options_; }

  /// `now` must be read after the request was received completely: a request that was sent after
  /// the revocation time of its key is refused only then. `route` belongs to `routes`, which must
  /// be the configuration in effect.
  AccessDecision Decide(TimePoint now,
                        const RouteTable& routes,
                        const MeshRoute& route,
                        const std::vector<wire::Header>& headers);
  /// Time of the last decision `kNotCurrent`.
  std::optional<TimePoint> last_not_current() const { return last_not_current_; }

 private:
  /// Returns the account of the only key in `headers`; null if there is no valid key.
  const ClientAccount* FindAccount(const RouteTable& routes,
                                   const std::vector<wire::Header>& headers) const;

  AccessOptions options_;
  const KnowledgeClock& clock_;
  std::optional<TimePoint> last_not_current_;
};

}  // namespace limpet

#endif  // LIMPET_ACCESS_ACCESS_POLICY_H_
