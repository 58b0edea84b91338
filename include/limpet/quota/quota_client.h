#ifndef LIMPET_QUOTA_QUOTA_CLIENT_H_
#define LIMPET_QUOTA_QUOTA_CLIENT_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "limpet/core/enum_names.h"
#include "limpet/quota/quota_options.h"
#include "limpet_types.h"

namespace limpet {

enum class QuotaVerdict {
  kGranted,
  kLimited,  // the account has reached its limit
  kNoToken,  // no holder granted a token in time, and the fallback allowance is used up
};

inline constexpr EnumNames<QuotaVerdict, 3> kQuotaVerdictNames = {{
    {QuotaVerdict::kGranted, "granted"},
    {QuotaVerdict::kLimited, "limited"},
    {QuotaVerdict::kNoToken, "no_token"},
}};

struct QuotaDecision {
  int64_t request = 0;
  QuotaVerdict verdict = QuotaVerdict::kGranted;
  Duration retry_after{0};
  /// The request was passed on the fallback allowance, without a token.
  bool fallback = false;
  /// End of the term of its token; zero without a token.
  TimePoint token_until{};
};

/// Tokens of accounts at one node: requests them from the holders of the accounts' leases, and
/// decides which requests of callers may pass. Does no I/O; not safe for concurrent use.
class QuotaClient {
 public:
  /// Returns the node that holds the lease of an account; empty if none is known.
  using HolderOf = std::function<std::string(const std::string& account)>;
  struct Outgoing {
    std::string node;
    wire::QuotaRequest request;
  };

  /// `now` is the start of the process.
  QuotaClient(const QuotaOptions& options, TimePoint now, HolderOf holder_of);

  /// Number of nodes over which the fallback allowance is split, this one included.
  void set_nodes(int nodes) { nodes_ = nodes; }

  /// Decides on a request of a caller. Without a value it waits for its token, and the decision is
  /// returned by `OnReply` or `Expire`.
  std::optional<QuotaDecision> Admit(TimePoint now,
                                     const std::string& account,
                                     const AccountLimit& limit,
                                     int64_t request);
  /// Forgets a waiting request.
  void Cancel(int64_t request);
  /// Takes back the token of a request that was not passed to a target. It keeps its term.
  void Return(TimePoint now, const std::string& account, TimePoint token_until);
  /// Returns the requests for tokens to send now, one per holder. Call it a few milliseconds after
  /// `Admit`, so that one message serves several requests, and about every 50 ms.
  std::vector<Outgoing> TakeRequests(TimePoint now);
  std::vector<QuotaDecision> OnReply(TimePoint now,
                                     const std::string& node,
                                     const wire::QuotaReply& reply);
  /// The request for tokens could not be sent to the holder.
  std::vector<QuotaDecision> OnUnreachable(TimePoint now,
                                           const std::string& node,
                                           int64_t request_id);
  /// Decides on the requests whose token did not come in time. Call it about every 5 ms while
  /// requests wait.
  std::vector<QuotaDecision> Expire(TimePoint now);
  bool has_waiting() const;

 private:
  struct Tokens {
    TimePoint until{};
    int count = 0;
  };
  struct Waiting {
    int64_t request = 0;
    TimePoint until{};
  };
  struct Pending {
    int64_t id = 0;
    std::string node;
    TimePoint sent_at{};
    int wanted = 0;
    bool overdue = false;
  };
  struct Account {
    AccountLimit limit;
    std::deque<Tokens> tokens;
    std::deque<Waiting> waiting;
    std::optional<Pending> pending;
    /// Until then the holder has no further token.
    TimePoint limited_until{};
    /// Holder that did not reply in time or does not hold the lease; empty if none.
    std::string unresponsive_holder;
    /// Holder to which no link is established; empty if none.
    std::string unreachable_holder;
    /// The holder has just given up the lease. Until then requests wait for its successor, which
    /// normally announces itself within milliseconds.
    TimePoint successor_expected_until{};
    /// Expected time from which on the next holder decides.
    TimePoint next_holder_at{};
    /// A request came while the holder was unresponsive: it is to be asked again.
    bool probe_due = false;
    TimePoint next_ask{};
    /// Recent requests per second, as a decaying average.
    double demand = 0;
    TimePoint demand_at{};
    /// Times of the requests that were passed on the fallback allowance.
    std::deque<TimePoint> fallback;
  };

  /// Uses the token that expires first. There must be one.
  static QuotaDecision TakeToken(Account& account, int64_t request);
  static int CountTokens(const Account& account);
  void DropExpired(TimePoint now, Account& account) const;
  void RecordDemand(TimePoint now, Account& account) const;
  QuotaDecision DecideWithoutToken(TimePoint now, Account& account, int64_t request) const;
  void RefuseWaiting(TimePoint now, Account& account, std::vector<QuotaDecision>& decisions) const;
  std::optional<wire::QuotaAsk> MakeAsk(TimePoint now,
                                        const std::string& name,
                                        const std::string& holder,
                                        Account& account);
  void ApplyGrant(TimePoint now,
                  Account& account,
                  const wire::QuotaGrant& grant,
                  Duration term,
                  std::vector<QuotaDecision>& decisions);

  QuotaOptions options_;
  TimePoint started_;
  HolderOf holder_of_;
  int nodes_ = 1;
  int64_t next_id_ = 1;
  std::map<std::string, Account> accounts_;
};

}  // namespace limpet

#endif  // LIMPET_QUOTA_QUOTA_CLIENT_H_
