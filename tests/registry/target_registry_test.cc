#include "limpet/registry/target_registry.h"

#include <doctest/doctest.h>

namespace limpet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{seconds(100)};
/// Start of the node's process by the time of day.
constexpr int64_t kStartedUnixMs = 1500;
constexpr const char* kAddress = "10.0.0.1:8080";

TargetAnnouncement Announce(const std::string& instance, int64_t start_time_ms, int64_t sequence) {
  TargetAnnouncement announcement;
  announcement.instance = instance;
  announcement.service = "desk";
  announcement.address = kAddress;
  announcement.slots = 12;
  announcement.sequence = sequence;
  announcement.start_time_ms = start_time_ms;
  return announcement;
}

TargetRegistry MakeRegistry() {
  return {kAddress, kNow, kStartedUnixMs};
}

/// Makes the target that names itself `instance` pass a health check.
bool PassCheck(TargetRegistry& registry, const std::string& instance) {
  return registry.OnCheckPassed(registry.OnCheckSent(kNow, instance), instance);
}

void AddTarget(TargetRegistry& registry, const TargetAnnouncement& announcement) {
  CHECK(registry.OnAnnouncement(kNow, announcement) == AnnouncementResult::kUnconfirmed);
  CHECK(PassCheck(registry, announcement.instance));
  CHECK(registry.current() != nullptr);
}

TEST_CASE("a target is used once it passes a health check") {
  TargetRegistry registry = MakeRegistry();
  CHECK(registry.FindCheckDue(kNow) == nullptr);
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 1000, 5)) ==
        AnnouncementResult::kUnconfirmed);
  CHECK(registry.current() == nullptr);
  REQUIRE(registry.FindCheckDue(kNow) != nullptr);
  CHECK(registry.FindCheckDue(kNow)->instance == "i-1");
  CHECK(PassCheck(registry, "i-1"));
  CHECK(registry.current()->slots == 12);
  CHECK(registry.FindCheckDue(kNow + seconds(1)) == nullptr);
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 1000, 6)) == AnnouncementResult::kCurrent);
}

TEST_CASE("a failed health check is repeated with increasing pauses while heartbeats are recent") {
  TargetRegistry registry = MakeRegistry();
  registry.OnAnnouncement(kNow, Announce("i-1", 1000, 5));
  int checks = 0;
  for (TimePoint now = kNow; now < kNow + seconds(20); now += milliseconds(50)) {
    if (registry.FindCheckDue(now) != nullptr) {
      registry.OnCheckSent(now, "i-1");
      ++checks;
    }
  }
  CHECK(checks > 5);
  CHECK(checks < 12);
  registry.OnAnnouncement(kNow + seconds(20), Announce("i-1", 1000, 6));
  CHECK(registry.FindCheckDue(kNow + seconds(20)) != nullptr);
}

// Guards against requests to a target that has left: its node was restarted, so that a heartbeat
// from before the leave looks new, and another target has the address by now.
TEST_CASE("a health check of another instance does not confirm a late heartbeat") {
  TargetRegistry registry = MakeRegistry();
  AddTarget(registry, Announce("i-2", 2000, 1));
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 1000, 21)) ==
        AnnouncementResult::kUnconfirmed);
  CHECK_FALSE(PassCheck(registry, "i-2"));
  CHECK(registry.current()->instance == "i-2");
  CHECK(registry.FindCheckDue(kNow + seconds(1)) == nullptr);
}

// Guards against requests to a target that began to leave while it was checked.
TEST_CASE("a health check that was sent before a leave proves nothing") {
  TargetRegistry registry = MakeRegistry();
  registry.OnAnnouncement(kNow, Announce("i-1", 0, 5));
  const int64_t check = registry.OnCheckSent(kNow, "i-1");
  SUBCASE("leave") {
    registry.OnLeave(kNow, "i-1", std::nullopt);
  }
  SUBCASE("draining") {
    TargetAnnouncement draining = Announce("i-1", 0, 6);
    draining.draining = true;
    CHECK(registry.OnAnnouncement(kNow, draining) == AnnouncementResult::kDraining);
  }
  registry.OnAnnouncement(kNow, Announce("i-1", 0, 4));
  CHECK_FALSE(registry.OnCheckPassed(check, "i-1"));
  CHECK((registry.current() == nullptr || registry.current()->draining));
  CHECK(registry.FindCheckDue(kNow) != nullptr);
}

// Guards against a target that its node never uses, because its service has no health check.
TEST_CASE("a target without a health check is used if it started after the node") {
  TargetRegistry registry = MakeRegistry();
  registry.OnAnnouncement(kNow, Announce("i-1", kStartedUnixMs - 1, 1));
  CHECK_FALSE(registry.ConfirmUnchecked("i-1"));
  registry.OnAnnouncement(kNow, Announce("i-2", kStartedUnixMs, 1));
  CHECK(registry.ConfirmUnchecked("i-2"));
  CHECK(registry.current()->instance == "i-2");
}

TEST_CASE("a target without a health check is used if its heartbeats go on") {
  TargetRegistry registry = MakeRegistry();
  registry.OnLeave(kNow + seconds(5), "i-0", std::nullopt);
  registry.OnAnnouncement(kNow + seconds(14), Announce("i-1", 1000, 1));
  CHECK_FALSE(registry.ConfirmUnchecked("i-1"));
  registry.OnAnnouncement(kNow + seconds(15), Announce("i-1", 1000, 2));
  CHECK(registry.ConfirmUnchecked("i-1"));
}

TEST_CASE("a late heartbeat does not bring back a target that has left") {
  TargetRegistry registry = MakeRegistry();
  AddTarget(registry, Announce("i-1", 1000, 5));
  registry.OnLeave(kNow, "i-1", std::nullopt);
  CHECK(registry.current() == nullptr);
  CHECK(registry.OnAnnouncement(kNow + seconds(3), Announce("i-1", 1000, 4)) ==
        AnnouncementResult::kLate);
  CHECK(registry.OnAnnouncement(kNow + seconds(3), Announce("i-1", 1000, 6)) ==
        AnnouncementResult::kLate);
  CHECK(registry.current() == nullptr);
}

TEST_CASE("a target that restarts under the same instance name is accepted as new") {
  TargetRegistry registry = MakeRegistry();
  AddTarget(registry, Announce("i-1", 1000, 90));
  registry.OnLeave(kNow, "i-1", std::nullopt);
  AddTarget(registry, Announce("i-1", 2000, 0));
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 1000, 91)) == AnnouncementResult::kLate);
  CHECK(registry.current()->start_time_ms == 2000);
}

TEST_CASE("a heartbeat of an earlier instance at the same address does not replace a later one") {
  TargetRegistry registry = MakeRegistry();
  AddTarget(registry, Announce("i-2", 2000, 1));
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 1000, 50)) ==
        AnnouncementResult::kUnconfirmed);
  CHECK(registry.current()->instance == "i-2");
}

TEST_CASE("draining is final for a target instance even if a ready heartbeat is reordered") {
  TargetRegistry registry = MakeRegistry();
  TargetAnnouncement draining = Announce("i-1", 1000, 5);
  draining.draining = true;
  CHECK(registry.OnAnnouncement(kNow, draining) == AnnouncementResult::kDraining);
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 1000, 4)) == AnnouncementResult::kLate);
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 1000, 6)) == AnnouncementResult::kDraining);
  AddTarget(registry, Announce("i-2", 2000, 0));
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 1000, 7)) == AnnouncementResult::kLate);
}

// Guards against a target that is not used: an earlier start with its name has drained, and the
// clock was set back before the later one.
TEST_CASE("a target that starts again under its name is used after a drain") {
  TargetRegistry registry = MakeRegistry();
  int64_t start_time_ms = 3000;
  SUBCASE("later start time") {}
  SUBCASE("earlier start time") {
    start_time_ms = 1000;
  }
  TargetAnnouncement draining = Announce("i-1", 2000, 5);
  draining.draining = true;
  registry.OnAnnouncement(kNow, draining);
  AddTarget(registry, Announce("i-1", start_time_ms, 1));
  CHECK_FALSE(registry.current()->draining);
}

// Guards against requests to a target that drains: the node still knew an earlier start with the
// same name, which had a later start time or a higher sequence.
TEST_CASE("a drain counts for whichever start has the name of the target") {
  TargetRegistry registry = MakeRegistry();
  AddTarget(registry, Announce("i-1", 3000, 90));
  TargetAnnouncement draining = Announce("i-1", 2000, 5);
  draining.draining = true;
  CHECK(registry.OnAnnouncement(kNow, draining) == AnnouncementResult::kDraining);
  CHECK(registry.current()->draining);
  REQUIRE(registry.FindCheckDue(kNow) != nullptr);
  CHECK(PassCheck(registry, "i-1"));
}

// Guards against requests to a target that has left. The node had just restarted and did not know
// the target when it left, so a late heartbeat looked new.
TEST_CASE("a late heartbeat does not bring back a target that left before it was known") {
  TargetRegistry registry = MakeRegistry();
  registry.OnLeave(kNow, "i-1", std::nullopt);
  CHECK(registry.OnAnnouncement(kNow + seconds(3), Announce("i-1", 1000, 21)) ==
        AnnouncementResult::kUnconfirmed);
  CHECK(registry.current() == nullptr);
  CHECK(registry.OnAnnouncement(kNow + seconds(4), Announce("i-1", 1600, 5)) ==
        AnnouncementResult::kUnconfirmed);
  CHECK(PassCheck(registry, "i-1"));
  CHECK(registry.current()->start_time_ms == 1600);
}

// Guards against a restarted target that gets no requests: the clock was ahead when the earlier
// instance left, so the start of the later one seems to be before that leave.
TEST_CASE("a later start is used even if the clock was ahead at the leave") {
  TargetRegistry registry = MakeRegistry();
  AddTarget(registry, Announce("i-1", 6000, 5));
  registry.OnLeave(kNow, "i-1", std::nullopt);
  AddTarget(registry, Announce("i-1", 2000, 7));
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 2000, 8)) == AnnouncementResult::kCurrent);
}

bool Discover(TargetRegistry& registry, const std::string& instance) {
  return registry.OnDiscovered(registry.OnCheckSent(kNow, instance), instance, "desk", 4);
}

TEST_CASE("the first heartbeat of a discovered target gives its start time") {
  TargetRegistry registry = MakeRegistry();
  CHECK(Discover(registry, "i-1"));
  CHECK_FALSE(Discover(registry, "i-1"));
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 1000, 21)) == AnnouncementResult::kCurrent);
  CHECK(registry.current()->slots == 12);
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 1000, 20)) == AnnouncementResult::kLate);
}

// Guards against requests to a target that has left while its health check was on the way.
TEST_CASE("a target that has left is not discovered") {
  TargetRegistry registry = MakeRegistry();
  const int64_t check = registry.OnCheckSent(kNow, "i-1");
  registry.OnLeave(kNow, "i-1", std::nullopt);
  CHECK_FALSE(registry.OnDiscovered(check, "i-1", "desk", 4));
  CHECK(registry.current() == nullptr);
}

// Guards against requests to a target that has left. It left after the restart of its node and
// before its next heartbeat, and an older heartbeat arrived after the leave.
TEST_CASE("a late heartbeat does not bring back a target that was only discovered") {
  TargetRegistry registry = MakeRegistry();
  CHECK(Discover(registry, "i-1"));
  registry.OnLeave(kNow, "i-1", std::nullopt);
  CHECK(registry.current() == nullptr);
  CHECK(registry.OnAnnouncement(kNow + seconds(3), Announce("i-1", 1000, 21)) ==
        AnnouncementResult::kUnconfirmed);
  CHECK(registry.current() == nullptr);
}

TEST_CASE("a late heartbeat does not bring back a discovered target that was replaced") {
  TargetRegistry registry = MakeRegistry();
  CHECK(Discover(registry, "i-1"));
  AddTarget(registry, Announce("i-2", 2000, 1));
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 1000, 21)) ==
        AnnouncementResult::kUnconfirmed);
  CHECK(registry.current()->instance == "i-2");
}

TEST_CASE("a heartbeat with another address is ignored") {
  TargetRegistry registry = MakeRegistry();
  TargetAnnouncement other = Announce("i-1", 1000, 1);
  other.address = "10.0.0.2:8080";
  CHECK(registry.OnAnnouncement(kNow, other) == AnnouncementResult::kWrongPlace);
  CHECK(registry.current() == nullptr);
}

// Guards against requests to a target whose drain was acknowledged: it was found by its health
// check and announces itself with another address than that of the settings.
TEST_CASE("a drain counts for a known instance whatever address it states") {
  TargetRegistry registry = MakeRegistry();
  TargetAnnouncement draining = Announce("i-1", 1000, 1);
  draining.address = "10.0.0.2:8080";
  draining.draining = true;
  CHECK(registry.OnAnnouncement(kNow, draining) == AnnouncementResult::kWrongPlace);
  CHECK(Discover(registry, "i-1"));
  CHECK(registry.OnAnnouncement(kNow, draining) == AnnouncementResult::kDraining);
  CHECK(registry.current()->draining);
}

TEST_CASE("a leave of an earlier start or another instance does not end the current one") {
  TargetRegistry registry = MakeRegistry();
  AddTarget(registry, Announce("i-1", 2000, 1));
  registry.OnLeave(kNow, "i-0", std::nullopt);
  CHECK(registry.current() != nullptr);
  // Start times do not prove which start is the later one, so the target is checked at once.
  registry.OnLeave(kNow, "i-1", 1000);
  REQUIRE(registry.FindCheckDue(kNow) != nullptr);
  CHECK(PassCheck(registry, "i-1"));
  CHECK(registry.current()->start_time_ms == 2000);
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 1000, 9)) == AnnouncementResult::kLate);
}

}  // namespace
}  // namespace limpet
