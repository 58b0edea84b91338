#include "limpet/traffic/egress_schedule.h"

#include <doctest/doctest.h>

#include <map>
#include <vector>

namespace limpet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
/// 1 MB/s.
constexpr double kLinkMbps = 8;
constexpr std::size_t kPart = 8192;

struct Fixture {
  EgressSchedule schedule{kLinkMbps};
  TimePoint now = kStart;
  std::map<int64_t, std::size_t> left;

  int64_t Add(std::size_t bytes, TimePoint due) {
    const int64_t transfer = schedule.Add(bytes, due);
    left[transfer] = bytes;
    return transfer;
  }
  /// Sends parts until all transfers have left; returns when each one ended.
  std::map<int64_t, TimePoint> Drain() {
    std::map<int64_t, TimePoint> ends;
    while (!schedule.empty()) {
      const auto next = schedule.Next(now);
      if (!next) {
        now = schedule.idle_at();
        continue;
      }
      const std::size_t part = std::min(kPart, left[*next]);
      left[*next] -= part;
      schedule.OnChunkSent(now, *next, part);
      if (left[*next] == 0) {
        ends[*next] = schedule.idle_at();
      }
    }
    return ends;
  }
};

// Pattern: earliest deadline first on a link. With turns for all, none of these would be on time.
TEST_CASE_FIXTURE(Fixture,
                  "large bodies leave one after the other in the order of their due time") {
  const int64_t second = Add(100'000, kStart + milliseconds(250));
  const int64_t first = Add(100'000, kStart + milliseconds(130));
  const auto ends = Drain();
  CHECK(ends.at(first) <= kStart + milliseconds(130));
  CHECK(ends.at(second) <= kStart + milliseconds(250));
}

// Guards against responses that never leave: with late ones behind all others, a target's finished
// answer waited 2.2 s on a busy link until its caller's deadline.
TEST_CASE_FIXTURE(Fixture, "a late body leaves although others that can be on time keep coming") {
  const int64_t late = Add(50'000, kStart - milliseconds(1));
  for (int i = 0; i < 20; ++i) {
    Add(50'000, kStart + milliseconds(200 + 50 * i));
  }
  const auto ends = Drain();
  CHECK(ends.at(late) <= kStart + milliseconds(300));
}

TEST_CASE_FIXTURE(Fixture, "a late body leaves most of the rate to those that can be on time") {
  const int64_t late = Add(100'000, kStart - milliseconds(1));
  const int64_t on_time = Add(100'000, kStart + milliseconds(160));
  const auto ends = Drain();
  CHECK(ends.at(on_time) <= kStart + milliseconds(160));
  CHECK(ends.at(late) > ends.at(on_time));
}

// Guards against a link queue of hundreds of milliseconds in front of small responses, which small
// messages built up while large bodies took the whole rate.
TEST_CASE_FIXTURE(Fixture, "small messages take their share of the rate from large bodies") {
  Add(100'000, kStart + seconds(1));
  schedule.OnSent(kStart, 50'000);
  CHECK_FALSE(schedule.Next(kStart).has_value());
  const auto ends = Drain();
  CHECK(ends.begin()->second >= kStart + milliseconds(140));
}

TEST_CASE_FIXTURE(Fixture, "the wait is the time of all bytes that have not left") {
  const int64_t transfer = Add(100'000, kStart + seconds(1));
  Add(100'000, kStart + seconds(1));
  CHECK(schedule.QueueingDelay() > milliseconds(200));
  CHECK(schedule.QueueingDelay() < milliseconds(240));
  schedule.Remove(transfer);
  schedule.Remove(transfer);
  CHECK(schedule.QueueingDelay() < milliseconds(120));
  Drain();
  CHECK(schedule.QueueingDelay() == Duration(0));
}

}  // namespace
}  // namespace limpet
