#include "limpet/traffic/limit_strategy.h"

#include <doctest/doctest.h>

namespace limpet {
namespace {

using std::chrono::milliseconds;

constexpr int kSlots = 12;

/// Finishes one request every 2 ms while the target is full.
void FinishRequests(LimitStrategy& limit,
                    TimePoint& now,
                    int finishes,
                    Duration service_time,
                    bool missed) {
  for (int i = 0; i < finishes; ++i) {
    now += milliseconds(2);
    limit.OnInFlight(now, limit.limit());
    limit.OnFinish(now, {service_time, limit.limit(), missed});
  }
}

TEST_CASE("the gradient limit falls when service times rise at a full target") {
  const auto limit = MakeLimitStrategy(LimitKind::kGradient, kSlots);
  TimePoint now{};
  FinishRequests(*limit, now, 1000, milliseconds(10), false);
  const int before = limit->limit();
  FinishRequests(*limit, now, 100, milliseconds(40), false);
  CHECK(limit->limit() < before);
}

TEST_CASE("the gradient limit recovers when a lower limit does not make the target faster") {
  const auto limit = MakeLimitStrategy(LimitKind::kGradient, kSlots);
  TimePoint now{};
  FinishRequests(*limit, now, 1000, milliseconds(10), false);
  FinishRequests(*limit, now, 1000, milliseconds(40), false);
  CHECK(limit->limit() == kSlots);
}

TEST_CASE("the feedback limit falls on missed deadlines and recovers") {
  const auto limit = MakeLimitStrategy(LimitKind::kFeedback, kSlots);
  TimePoint now{};
  FinishRequests(*limit, now, 1000, milliseconds(10), true);
  const int low = limit->limit();
  CHECK(low < kSlots / 2);
  FinishRequests(*limit, now, 1000, milliseconds(10), false);
  CHECK(limit->limit() > low);
}

TEST_CASE("no limit falls below 1") {
  for (const auto& [kind, name] : kLimitNames) {
    const auto limit = MakeLimitStrategy(kind, 1);
    TimePoint now{};
    FinishRequests(*limit, now, 1000, milliseconds(10), true);
    FinishRequests(*limit, now, 1000, milliseconds(500), true);
    CHECK(limit->limit() >= 1);
  }
}

}  // namespace
}  // namespace limpet
