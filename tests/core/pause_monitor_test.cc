#include "limpet/core/pause_monitor.h"

#include <doctest/doctest.h>

namespace limpet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

// Guards against a process that was paused and grants a request the time that has run out
// meanwhile.
TEST_CASE("messages read after a pause may be as old as the pause") {
  PauseMonitor monitor;
  CHECK(monitor.MaxInputAge(kStart) == Duration(0));
  monitor.OnTick(kStart);
  CHECK(monitor.MaxInputAge(kStart + milliseconds(300)) == Duration(0));
  const TimePoint resumed = kStart + seconds(5);
  SUBCASE("read before the first tick") {
    CHECK(monitor.MaxInputAge(resumed) == seconds(5));
  }
  SUBCASE("read after the first tick") {
    monitor.OnTick(resumed);
    CHECK(monitor.MaxInputAge(resumed + milliseconds(20)) == seconds(5));
    monitor.OnTick(resumed + milliseconds(50));
    CHECK(monitor.MaxInputAge(resumed + milliseconds(60)) == seconds(5));
    monitor.OnTick(resumed + milliseconds(100));
    CHECK(monitor.MaxInputAge(resumed + milliseconds(110)) == Duration(0));
  }
}

}  // namespace
}  // namespace limpet
