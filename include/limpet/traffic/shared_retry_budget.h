#ifndef LIMPET_TRAFFIC_SHARED_RETRY_BUDGET_H_
#define LIMPET_TRAFFIC_SHARED_RETRY_BUDGET_H_

#include <map>
#include <string>

#include "limpet/core/time.h"

namespace limpet {

struct RetryBudgetOptions {
  /// Retries that all nodes together may send in one window, as a share of the requests in it.
  double ratio = 0.2;
  /// Retries beyond that share in one window, for all nodes together.
  double extra = 10;
  Duration window = std::chrono::seconds(10);
  /// Share of the limit that the nodes spend. The rest covers calls that targets make while they
  /// process a retried request, which count as retries at the service that they call.
  double usable_share = 0.35;
};

/// This node's part of a limit on retries that all nodes share: a token bucket per service. Each
/// node earns tokens from its own requests and gets an equal part of the fixed extra, so the nodes
/// need no coordination. Not safe for concurrent use.
class SharedRetryBudget {
 public:
  explicit SharedRetryBudget(RetryBudgetOptions options) : options_(options) {}

  /// Number of nodes that share the extra; a value below 1 counts as 1.
  void set_nodes(int nodes) { nodes_ = nodes < 1 ? 1 : nodes; }
  void set_options(RetryBudgetOptions options) { options_ = options; }

  /// Earns tokens for one request to `service`.
  void OnRequest(TimePoint now, const std::string& service);
  /// Spends the token of one retry. Returns false if there is none.
  bool TrySpend(TimePoint now, const std::string& service);

 private:
  struct Bucket {
    double tokens = 0;
    TimePoint refilled{};
    /// Decaying number of requests with a time constant of half a window; limits the tokens held.
    double recent_requests = 0;
    bool started = false;
  };

  /// Returns the bucket of `service` after adding the tokens for the time since its last refill.
  Bucket& Refill(TimePoint now, const std::string& service);
  /// Lower limit of the bucket capacity, which is also available at the start.
  double MinNodeTokens() const;
  /// Retries of the extra that this node may send in one window.
  double NodeExtra() const;

  RetryBudgetOptions options_;
  int nodes_ = 1;
  std::map<std::string, Bucket> buckets_;
};

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_SHARED_RETRY_BUDGET_H_
