#include "limpet/traffic/shared_retry_budget.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <vector>

#include "limpet/core/random.h"

namespace limpet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

TEST_CASE("all nodes together stay within the limit in every window when all requests fail") {
  constexpr int kNodes = 12;
  const RetryBudgetOptions options{.ratio = 0.2, .extra = 62};
  std::vector<SharedRetryBudget> nodes(kNodes, SharedRetryBudget(options));
  Random random(1);
  std::deque<TimePoint> requests;
  std::deque<TimePoint> retries;
  for (SharedRetryBudget& node : nodes) {
    node.set_nodes(kNodes);
  }
  // Steady load, then a low load, then a burst of five times the steady load.
  const auto requests_per_ms = [](int ms) { return ms < 20'000 ? 0.5 : ms < 30'000 ? 0.02 : 2.5; };
  for (int ms = 0; ms < 40'000; ++ms) {
    const TimePoint now = kStart + milliseconds(ms);
    for (double due = requests_per_ms(ms); due > 0; due -= 1) {
      if (random.NextFraction() >= due) {
        continue;
      }
      SharedRetryBudget& node = nodes[random.NextBelow(kNodes)];
      node.OnRequest(now, "desk");
      requests.push_back(now);
      if (node.TrySpend(now, "desk")) {
        retries.push_back(now);
      }
    }
    while (!requests.empty() && requests.front() <= now - seconds(10)) {
      requests.pop_front();
    }
    while (!retries.empty() && retries.front() <= now - seconds(10)) {
      retries.pop_front();
    }
    REQUIRE(static_cast<double>(retries.size()) <= 0.2 * static_cast<double>(requests.size()) + 62);
  }
}

TEST_CASE("a few failures among many requests can all be retried") {
  SharedRetryBudget budget(RetryBudgetOptions{.ratio = 0.2, .extra = 62});
  budget.set_nodes(12);
  int refused = 0;
  for (int i = 0; i < 1000; ++i) {
    const TimePoint now = kStart + milliseconds(20 * i);
    budget.OnRequest(now, "desk");
    if (i % 20 == 0 && !budget.TrySpend(now, "desk")) {
      ++refused;
    }
  }
  CHECK(refused == 0);
}

TEST_CASE("services have separate budgets") {
  SharedRetryBudget budget(RetryBudgetOptions{.ratio = 0.2, .extra = 10});
  while (budget.TrySpend(kStart, "desk")) {
  }
  CHECK(budget.TrySpend(kStart, "store"));
}

}  // namespace
}  // namespace limpet
