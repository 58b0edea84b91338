#ifndef LIMPET_QUOTA_QUOTA_BUCKET_H_
#define LIMPET_QUOTA_QUOTA_BUCKET_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "limpet/quota/quota_options.h"
#include "limpet_types.h"

namespace limpet {

/// Token bucket of one account at the holder of its decision lease. Starts empty. Not safe for
/// concurrent use.
class QuotaBucket {
 public:
  struct Grant {
    int granted = 0;
    /// Time until the next token if fewer were granted than wanted.
    Duration retry_after{0};
  };

  QuotaBucket(const QuotaOptions& options, TimePoint now) : options_(options), refilled_at_(now) {}

  /// Grants up to `wanted` tokens. `unused` tokens of earlier grants are put back, but only as many
  /// as were granted within the last term: older ones would allow two windows' requests in one.
  Grant Take(TimePoint now, const AccountLimit& limit, int wanted, int unused);

 private:
  struct Granted {
    TimePoint at{};
    int count = 0;
  };

  void Refill(TimePoint now, const AccountLimit& limit);
  int AcceptReturned(TimePoint now, int unused);

  QuotaOptions options_;
  TimePoint refilled_at_;
  double level_ = 0;
  double rate_ = 0;
  std::deque<Granted> recent_;
};

/// The buckets of the accounts whose decision lease this node holds. Not safe for concurrent use.
class QuotaHolder {
 public:
  /// Time since which this node holds the lease of an account without interruption.
  using HeldSince = std::function<std::optional<TimePoint>(const std::string& account)>;
  /// Limit of an account; no value if the account is unknown.
  using LimitOf = std::function<std::optional<AccountLimit>(const std::string& account)>;

  /// Time until this node decides on an account; no value if it does not know of any.
  using DecidesIn = std::function<std::optional<Duration>(const std::string& account)>;

  QuotaHolder(const QuotaOptions& options,
              HeldSince held_since,
              LimitOf limit_of,
              DecidesIn decides_in);

  /// Replies with a grant for each account that this node decides on and whose limit it knows.
  wire::QuotaReply OnRequest(TimePoint now, const wire::QuotaRequest& request);

 private:
  struct Held {
    TimePoint since{};
    QuotaBucket bucket;
  };

  QuotaOptions options_;
  HeldSince held_since_;
  LimitOf limit_of_;
  DecidesIn decides_in_;
  std::map<std::string, Held> buckets_;
};

}  // namespace limpet

#endif  // LIMPET_QUOTA_QUOTA_BUCKET_H_
