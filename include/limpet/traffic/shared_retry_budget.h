#ifndef LIMPET_TRAFFIC_SHARED_RETRY_BUDGET_H_
#define LIMPET_TRAFFIC_SHARED_RETRY_BUDGET_H_

#include <map>
#include <string>

#include "limpet/core/time.h"

namespace limpet {

struct RetryBudgetOptions {
  /// Repeats that all nodes together may send in one window, as a share of the requests of it.
  double ratio = 0.2;
  /// Repeats beyond that share in one window, for all nodes together.
  double extra = 10;
  Duration window = std::chrono::seconds(10);
  /// Part of the limit that is spent. The rest covers calls that targets make while they run a
  /// repeated request, which count as repeats at the service they call.
  double usable_share = 0.35;
};

/// This node's part of a limit on repeats that all nodes share. Each node earns from its own
/// requests and takes an equal part of the fixed extra, so nothing has to be agreed. Token bucket
/// per service. Not safe for concurrent use.
class SharedRetryBudget {
 public:
  explicit SharedRetryBudget(RetryBudgetOptions options) : options_(options) {}

  /// Nodes that share the extra; at least 1.
  void set_nodes(int nodes) { nodes_ = nodes < 1 ? 1 : nodes; }
  void set_options(RetryBudgetOptions options) { options_ = options; }

  void OnRequest(TimePoint now, const std::string& service);
  /// Takes one repeat; false if there is none left.
  bool TrySpend(TimePoint now, const std::string& service);

 private:
  struct Bucket {
    double tokens = 0;
    TimePoint filled{};
    /// Requests of the current and the previous half window, which bound the tokens held.
    double recent = 0;
    bool started = false;
  };

  Bucket& Fill(TimePoint now, const std::string& service);
  double FloorOfNode() const;
  double ExtraOfNode() const;

  RetryBudgetOptions options_;
  int nodes_ = 1;
  std::map<std::string, Bucket> buckets_;
};

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_SHARED_RETRY_BUDGET_H_
