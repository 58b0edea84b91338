#include <doctest/doctest.h>

#include <cstdio>
#include <functional>

#include "quota/quota_world.h"

namespace limpet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kNodes = 10;
const TimePoint kStart = TimePoint{} + std::chrono::hours(1);

/// The limit of the guarantee for a window.
double Bound(const AccountLimit& limit, const QuotaOptions& options) {
  const double window_s = std::chrono::duration<double>(options.window).count();
  return (limit.requests_per_s * window_s + limit.burst) * (1 + options.overshoot) + options.slack;
}

struct Load {
  /// Requests per second of all nodes together.
  double rate = 0;
  /// Node at which they arrive at a time.
  std::function<int(TimePoint)> node;
};

/// Requests arrive at random times.
std::vector<TimePoint> Run(
    QuotaScheme& scheme,
    const Load& load,
    Duration duration,
    uint64_t seed,
    const std::function<void(TimePoint)>& on_step = [](TimePoint) {}) {
  Random random(seed);
  std::vector<TimePoint> passed;
  for (TimePoint now = kStart; now < kStart + duration; now += milliseconds(1)) {
    on_step(now);
    scheme.Step(now);
    double expected = load.rate / 1000;
    while (random.NextFraction() < expected) {
      expected -= 1;
      scheme.Request(now, load.node(now), passed);
    }
  }
  return passed;
}

/// Requests that passed after the first 10 s, relative to what the limit and the demand allow.
double UsableShare(const std::vector<TimePoint>& passed,
                   const AccountLimit& limit,
                   double demand,
                   Duration duration) {
  const TimePoint from = kStart + seconds(10);
  const auto count = std::ranges::count_if(passed, [&](TimePoint at) { return at >= from; });
  const double time = std::chrono::duration<double>(duration - seconds(10)).count();
  return static_cast<double>(count) / (time * std::min(limit.requests_per_s, demand));
}

int OneNode(TimePoint /*now*/) {
  return 3;
}
int MovingNode(TimePoint now) {
  return static_cast<int>((now - kStart) / seconds(2)) % kNodes;
}

/// The table of the design note is the output of this case with `-s`.
TEST_CASE("tokens from a holder use at least 0.95 of the limit wherever the demand is") {
  const QuotaOptions options;
  const Duration duration = seconds(60);
  for (const AccountLimit limit : {AccountLimit{10, 10}, AccountLimit{100, 0},
                                   AccountLimit{100, 50}, AccountLimit{1000, 200}}) {
    for (const double factor : {0.9, 1.5, 5.0}) {
      for (const bool moving : {false, true}) {
        const Load load{limit.requests_per_s * factor, moving ? MovingNode : OneNode};
        EqualShares equal(limit, kNodes);
        FollowingShares following(limit, kNodes);
        HolderTokens tokens(limit, kNodes, options, 7, kStart);
        tokens.MoveHolder(kStart, 0);
        std::array<QuotaScheme*, 3> schemes = {&equal, &following, &tokens};
        std::array<double, 3> shares{};
        std::array<int, 3> sums{};
        for (std::size_t i = 0; i < schemes.size(); ++i) {
          const auto passed = Run(*schemes[i], load, duration, 11);
          shares[i] = UsableShare(passed, limit, load.rate, duration);
          sums[i] = MaxInWindow(passed, options.window);
        }
        char line[200];
        std::snprintf(
            line, sizeof line, "| %g/%g | %.1f | %s | %.2f | %.2f | %.2f | %d | %d | %d | %.0f |",
            limit.requests_per_s, limit.burst, factor, moving ? "moving" : "one node", shares[0],
            shares[1], shares[2], sums[0], sums[1], sums[2], Bound(limit, options));
        CAPTURE(std::string(line));
        CHECK(shares[2] >= 0.95);
        CHECK(sums[2] <= Bound(limit, options));
      }
    }
  }
}

// Guards against more than the permitted excess: partitions, restarts, changes of the holder,
// demand at all nodes and returned tokens.
TEST_CASE("no window exceeds the bound under faults") {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    const QuotaOptions options;
    const AccountLimit limit{static_cast<double>(1 + random.NextBelow(400)),
                             static_cast<double>(random.NextBelow(300))};
    CAPTURE(limit.requests_per_s);
    CAPTURE(limit.burst);
    HolderTokens tokens(limit, kNodes, options, seed, kStart);
    tokens.MoveHolder(kStart, 0);
    tokens.set_returned_share(seed % 3 == 0 ? 0.5 : 0.0);
    const auto on_step = [&](TimePoint now) {
      if (random.NextBelow(700) != 0) {
        return;
      }
      const int node = static_cast<int>(random.NextBelow(kNodes));
      switch (random.NextBelow(5)) {
        case 0:
          tokens.SetCut(node, true);
          break;
        case 1:
        case 2:
          tokens.SetCut(node, false);
          break;
        case 3:
          tokens.Restart(now, node);
          break;
        default:
          random.NextBelow(3) == 0 ? tokens.LoseHolder() : tokens.MoveHolder(now, node);
      }
    };
    const double factor = std::array{0.8, 2.0, 6.0}[random.NextBelow(3)];
    const Load load{limit.requests_per_s * factor,
                    [&](TimePoint) { return static_cast<int>(random.NextBelow(kNodes)); }};
    const auto passed = Run(tokens, load, seconds(40), seed + 1000, on_step);
    CHECK(MaxInWindow(passed, options.window) <= Bound(limit, options));
  }
}

// Guards against bursts of hoarded or returned tokens: demand that stops and starts with the whole
// burst saved, which is the worst case for the bound.
TEST_CASE("no window exceeds the bound with demand in waves") {
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    const QuotaOptions options;
    const AccountLimit limit{static_cast<double>(1 + random.NextBelow(1000)),
                             static_cast<double>(random.NextBelow(100))};
    HolderTokens tokens(limit, kNodes, options, seed, kStart);
    tokens.MoveHolder(kStart, 0);
    tokens.set_returned_share(0.3);
    const Duration period = milliseconds(200 + random.NextBelow(4000));
    std::vector<TimePoint> passed;
    for (TimePoint now = kStart; now < kStart + seconds(30); now += milliseconds(1)) {
      tokens.Step(now);
      const bool active = ((now - kStart) / period) % 2 == 0;
      const int count = active ? static_cast<int>(limit.requests_per_s * 4 / 1000) + 1 : 0;
      for (int i = 0; i < count; ++i) {
        tokens.Request(now, static_cast<int>(random.NextBelow(kNodes)), passed);
      }
    }
    CHECK(MaxInWindow(passed, options.window) <= Bound(limit, options));
  }
}

}  // namespace
}  // namespace limpet
