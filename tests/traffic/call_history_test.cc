#include "limpet/traffic/call_history.h"

#include <doctest/doctest.h>

#include <chrono>

namespace limpet {
namespace {

using std::chrono::seconds;

constexpr Duration kRetention = seconds(15);
constexpr Duration kLifetime = seconds(600);

/// One process that has opened its first link at `start`.
struct Fixture {
  CallHistory history{kRetention, kLifetime};
  TimePoint start{seconds(1000)};

  Fixture() { history.OnLink(start, "p", 1); }
};

// Guards against a second run of a call whose id is not kept any more.
TEST_CASE_FIXTURE(Fixture, "a copy after the retention may be of a forgotten call") {
  for (int age_s = 15; age_s < 40; ++age_s) {
    CallHistory copy = history;
    CHECK_FALSE(copy.OnCall(start, "p", 7));
    const TimePoint now = start + seconds(age_s);
    copy.OnLink(now, "p", 8);
    CHECK(copy.OnCall(now, "p", 7));
  }
}

// Guards against a call that is forgotten while other calls keep coming.
TEST_CASE_FIXTURE(Fixture, "calls between the copies do not extend what is known") {
  for (int interval_s = 1; interval_s < 15; ++interval_s) {
    CallHistory copy = history;
    CHECK_FALSE(copy.OnCall(start, "p", 7));
    int64_t id = 8;
    for (int at_s = interval_s; at_s < 15; at_s += interval_s) {
      CHECK_FALSE(copy.OnCall(start + seconds(at_s), "p", id++));
    }
    copy.OnLink(start + seconds(15), "p", id);
    CHECK(copy.OnCall(start + seconds(15), "p", 7));
  }
}

// Guards against calls that get no service although nothing is forgotten: their first copies were
// lost with the link, or came a moment ago.
TEST_CASE_FIXTURE(Fixture, "a copy of a call that never came, or came lately, is not forgotten") {
  CHECK_FALSE(history.OnCall(start, "p", 7));
  history.OnLink(start + seconds(60), "p", 10);
  CHECK_FALSE(history.OnCall(start + seconds(60), "p", 8));
  CHECK_FALSE(history.OnCall(start + seconds(60), "p", 9));
  history.OnLink(start + seconds(64), "p", 10);
  CHECK_FALSE(history.OnCall(start + seconds(64), "p", 9));
}

// A call with a large body may arrive after a later call, if its node is of an earlier version.
TEST_CASE_FIXTURE(Fixture, "a call that others have overtaken on its link is not forgotten") {
  CHECK_FALSE(history.OnCall(start, "p", 7));
  CHECK_FALSE(history.OnCall(start + seconds(20), "p", 9));
  CHECK_FALSE(history.OnCall(start + seconds(40), "p", 8));
}

// Guards against a second run of a call of a process that had no link for long.
TEST_CASE_FIXTURE(Fixture, "all copies from an unknown process may be of forgotten calls") {
  CHECK_FALSE(history.OnCall(start, "p", 7));
  const TimePoint later = start + kLifetime + seconds(1);
  history.Expire(later, [](const std::string&) { return false; });
  history.OnLink(later, "p", 9);
  CHECK(history.OnCall(later, "p", 7));
  CHECK(history.OnCall(later, "p", 8));
  CHECK_FALSE(history.OnCall(later, "p", 9));
}

// Guards against calls that get no service because their process had sent none for long.
TEST_CASE_FIXTURE(Fixture, "the state of a process is kept while it has a link") {
  CHECK_FALSE(history.OnCall(start, "p", 7));
  TimePoint now = start;
  for (int i = 0; i < 3; ++i) {
    now += kLifetime - seconds(1);
    history.Expire(now, [](const std::string& process) { return process == "p"; });
  }
  history.OnLink(now, "p", 9);
  CHECK(history.OnCall(now, "p", 7));
  CHECK_FALSE(history.OnCall(now, "p", 8));
}

// An earlier version does not say which calls are sent again.
TEST_CASE_FIXTURE(Fixture, "the calls of an unknown process of an earlier version are new") {
  history.OnLink(start, "q", 0);
  CHECK_FALSE(history.OnCall(start, "q", 1));
}

}  // namespace
}  // namespace limpet
