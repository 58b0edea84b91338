#ifndef LIMPET_EDGE_QUOTA_AGENT_H_
#define LIMPET_EDGE_QUOTA_AGENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "limpet/core/counters.h"
#include "limpet/decision/decision_lease.h"
#include "limpet/edge/asio.h"
#include "limpet/edge/peer_links.h"
#include "limpet/quota/quota_bucket.h"
#include "limpet/quota/quota_client.h"
#include "limpet/routing/route_table.h"
#include "limpet/settings/node_settings.h"

namespace limpet::edge {

QuotaOptions MakeQuotaOptions(const NodeSettings& settings);

/// Applies the limits of client accounts: requests tokens from the holders of the accounts' leases
/// over the links, and grants them for the accounts whose lease this node holds.
class QuotaAgent {
 public:
  using Continuation = std::function<void(const QuotaDecision&)>;

  /// The references must outlive the agent. `routes` returns null before the first configuration.
  QuotaAgent(const Executor& executor,
             std::string self,
             const QuotaOptions& options,
             std::function<RouteTablePtr()> routes,
             const DecisionLease& lease,
             PeerLinks& links,
             Counters& counters);

  /// Calls `done` with the decision on a request of this account, at once or within the reply
  /// timeout. Returns an id for `Cancel`.
  int64_t Admit(const std::string& account, Continuation done);
  /// Forgets a waiting request without calling its continuation.
  void Cancel(int64_t request);
  /// Takes back the token of a request that was not passed to a target.
  void Return(const std::string& account, const QuotaDecision& decision);
  /// Handles a request for tokens of another node, or its reply.
  void OnMessage(const std::string& node, const wire::LinkMessage& message);
  /// Call it about every 50 ms. `nodes` is the number of known nodes, this one included.
  void Tick(TimePoint now, int nodes);

 private:
  struct Waiting {
    std::string account;
    Continuation done;
  };
  struct Logged {
    QuotaVerdict verdict = QuotaVerdict::kGranted;
    TimePoint at{};
  };

  std::optional<AccountLimit> LimitOf(const std::string& account) const;
  void Exchange(TimePoint now);
  void StartTimer();
  void Apply(const std::vector<QuotaDecision>& decisions);
  /// Counts the decision, and logs it if it differs from the last logged one of the account.
  void Record(const std::string& account, const QuotaDecision& decision);

  std::string self_;
  std::function<RouteTablePtr()> routes_;
  const DecisionLease& lease_;
  PeerLinks& links_;
  Counters& counters_;
  QuotaClient client_;
  QuotaHolder holder_;
  Timer timer_;
  bool timer_running_ = false;
  std::map<int64_t, Waiting> waiting_;
  std::map<std::string, Logged> logged_;
  int64_t next_request_ = 1;
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_QUOTA_AGENT_H_
