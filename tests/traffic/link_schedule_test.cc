#include "limpet/traffic/link_schedule.h"

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
constexpr std::size_t kChunkBytes = 8192;

struct Fixture {
  LinkSchedule schedule{kLinkMbps};
  TimePoint now = kStart;
  std::map<int64_t, std::size_t> remaining;

  int64_t AddTransfer(std::size_t bytes, TimePoint due) {
    const int64_t transfer = schedule.Add(bytes, due);
    remaining[transfer] = bytes;
    return transfer;
  }
  /// Sends chunks until all transfers are complete. Returns the time at which each one ended.
  std::map<int64_t, TimePoint> SendAll() {
    std::map<int64_t, TimePoint> ends;
    while (!schedule.empty()) {
      const auto next = schedule.Next(now);
      if (!next) {
        now = schedule.idle_at();
        continue;
      }
      const std::size_t chunk = std::min(kChunkBytes, remaining[*next]);
      remaining[*next] -= chunk;
      schedule.OnChunkSent(now, *next, chunk);
      if (remaining[*next] == 0) {
        ends[*next] = schedule.idle_at();
      }
    }
    return ends;
  }
};

// Earliest deadline first on a link. With round robin, neither body would be on time.
TEST_CASE_FIXTURE(Fixture,
                  "large bodies are sent one after the other in the order of their due times") {
  const int64_t second = AddTransfer(100'000, kStart + milliseconds(250));
  const int64_t first = AddTransfer(100'000, kStart + milliseconds(130));
  const auto ends = SendAll();
  CHECK(ends.at(first) <= kStart + milliseconds(130));
  CHECK(ends.at(second) <= kStart + milliseconds(250));
}

// Guards against late responses that are never sent: while they were queued behind all others, a
// complete response waited 2.2 s on a busy link until the deadline of its caller.
TEST_CASE_FIXTURE(Fixture, "a late body is sent although others that can be on time are queued") {
  const int64_t late = AddTransfer(50'000, kStart - milliseconds(1));
  for (int i = 0; i < 20; ++i) {
    AddTransfer(50'000, kStart + milliseconds(200 + 50 * i));
  }
  const auto ends = SendAll();
  CHECK(ends.at(late) <= kStart + milliseconds(300));
}

TEST_CASE_FIXTURE(Fixture, "a late body leaves most of the rate to bodies that can be on time") {
  const int64_t late = AddTransfer(100'000, kStart - milliseconds(1));
  const int64_t on_time = AddTransfer(100'000, kStart + milliseconds(160));
  const auto ends = SendAll();
  CHECK(ends.at(on_time) <= kStart + milliseconds(160));
  CHECK(ends.at(late) > ends.at(on_time));
}

// Guards against a link queue of hundreds of milliseconds ahead of small responses, which builds up
// when large bodies use the whole rate and small messages are sent in addition.
TEST_CASE_FIXTURE(Fixture, "small messages reduce the rate of large bodies") {
  AddTransfer(100'000, kStart + seconds(1));
  schedule.OnSent(kStart, 50'000);
  CHECK_FALSE(schedule.Next(kStart).has_value());
  const auto ends = SendAll();
  CHECK(ends.begin()->second >= kStart + milliseconds(140));
}

TEST_CASE_FIXTURE(Fixture, "the queueing delay is the transmission time of all unsent bytes") {
  const int64_t transfer = AddTransfer(100'000, kStart + seconds(1));
  AddTransfer(100'000, kStart + seconds(1));
  CHECK(schedule.QueueingDelay() > milliseconds(200));
  CHECK(schedule.QueueingDelay() < milliseconds(240));
  schedule.Remove(transfer);
  schedule.Remove(transfer);
  CHECK(schedule.QueueingDelay() < milliseconds(120));
  SendAll();
  CHECK(schedule.QueueingDelay() == Duration(0));
}

}  // namespace
}  // namespace limpet
