#include "limpet/registry/target_registry.h"

#include <doctest/doctest.h>

namespace limpet {
namespace {

using std::chrono::seconds;

constexpr TimePoint kNow{seconds(100)};
constexpr int64_t kUnixMs = 1500;
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

TEST_CASE("a late heartbeat does not bring back a target that has left") {
  TargetRegistry registry(kAddress);
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 1000, 5)) == AnnouncementResult::kCurrent);
  registry.OnLeave(kNow, kUnixMs, "i-1", std::nullopt);
  CHECK(registry.current() == nullptr);
  CHECK(registry.OnAnnouncement(kNow + seconds(3), Announce("i-1", 1000, 4)) ==
        AnnouncementResult::kLate);
  CHECK(registry.OnAnnouncement(kNow + seconds(3), Announce("i-1", 1000, 6)) ==
        AnnouncementResult::kLate);
  CHECK(registry.current() == nullptr);
}

TEST_CASE("a target that restarts under the same instance name is accepted as new") {
  TargetRegistry registry(kAddress);
  registry.OnAnnouncement(kNow, Announce("i-1", 1000, 90));
  registry.OnLeave(kNow, kUnixMs, "i-1", std::nullopt);
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 2000, 0)) == AnnouncementResult::kCurrent);
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 1000, 91)) == AnnouncementResult::kLate);
  CHECK(registry.current()->start_time_ms == 2000);
}

TEST_CASE("a heartbeat of an earlier instance at the same address does not replace a later one") {
  TargetRegistry registry(kAddress);
  registry.OnAnnouncement(kNow, Announce("i-2", 2000, 1));
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 1000, 50)) == AnnouncementResult::kLate);
  CHECK(registry.current()->instance == "i-2");
}

TEST_CASE("draining is final for a target instance even if a ready heartbeat is reordered") {
  TargetRegistry registry(kAddress);
  TargetAnnouncement draining = Announce("i-1", 1000, 5);
  draining.draining = true;
  CHECK(registry.OnAnnouncement(kNow, draining) == AnnouncementResult::kDraining);
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 1000, 4)) == AnnouncementResult::kLate);
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 1000, 6)) == AnnouncementResult::kDraining);
  CHECK(registry.OnAnnouncement(kNow, Announce("i-2", 2000, 0)) == AnnouncementResult::kCurrent);
}

// Guards against requests to a target that has left. The node had just restarted and did not know
// the target when it left, so a late heartbeat looked new.
TEST_CASE("a late heartbeat does not bring back a target that left before it was known") {
  TargetRegistry registry(kAddress);
  registry.OnLeave(kNow, kUnixMs, "i-1", std::nullopt);
  CHECK(registry.OnAnnouncement(kNow + seconds(3), Announce("i-1", 1000, 21)) ==
        AnnouncementResult::kLate);
  CHECK(registry.current() == nullptr);
  CHECK(registry.OnAnnouncement(kNow + seconds(4), Announce("i-1", 1600, 5)) ==
        AnnouncementResult::kCurrent);
}

// Guards against a restarted target that gets no requests: the clock was ahead when the earlier
// instance left, so the start of the later one seems to be before that leave.
TEST_CASE(
    "the first heartbeat of an instance is accepted even if the clock was ahead at the leave") {
  TargetRegistry registry(kAddress);
  registry.OnLeave(kNow, kUnixMs + 5000, "i-1", std::nullopt);
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 2000, 1)) == AnnouncementResult::kCurrent);
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 2000, 2)) == AnnouncementResult::kCurrent);
}

TEST_CASE("the first heartbeat of a discovered target gives its start time") {
  TargetRegistry registry(kAddress);
  CHECK(registry.OnDiscovered("i-1", "desk", 4));
  CHECK_FALSE(registry.OnDiscovered("i-1", "desk", 4));
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 1000, 21)) == AnnouncementResult::kCurrent);
  CHECK(registry.current()->slots == 12);
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 1000, 20)) == AnnouncementResult::kLate);
}

// Guards against requests to a target that has left and still responds to health checks.
TEST_CASE("a target that has left is not discovered") {
  TargetRegistry registry(kAddress);
  registry.OnLeave(kNow, kUnixMs, "i-1", std::nullopt);
  CHECK_FALSE(registry.OnDiscovered("i-1", "desk", 4));
  CHECK(registry.current() == nullptr);
}

// Guards against requests to a target that has left. It left after the restart of its node and
// before its next heartbeat, and an older heartbeat arrived after the leave.
TEST_CASE("a late heartbeat does not bring back a target that was only discovered") {
  TargetRegistry registry(kAddress);
  registry.OnDiscovered("i-1", "desk", 4);
  registry.OnLeave(kNow, kUnixMs, "i-1", std::nullopt);
  CHECK(registry.OnAnnouncement(kNow + seconds(3), Announce("i-1", 1000, 21)) ==
        AnnouncementResult::kLate);
  CHECK(registry.current() == nullptr);
}

TEST_CASE("a late heartbeat does not bring back a discovered target that was replaced") {
  TargetRegistry registry(kAddress);
  registry.OnDiscovered("i-1", "desk", 4);
  registry.OnAnnouncement(kNow, Announce("i-2", 2000, 1));
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 1000, 21)) == AnnouncementResult::kLate);
  CHECK(registry.current()->instance == "i-2");
}

TEST_CASE("a heartbeat with another address is ignored") {
  TargetRegistry registry(kAddress);
  TargetAnnouncement other = Announce("i-1", 1000, 1);
  other.address = "10.0.0.2:8080";
  CHECK(registry.OnAnnouncement(kNow, other) == AnnouncementResult::kWrongPlace);
  CHECK(registry.current() == nullptr);
}

TEST_CASE("a leave of an earlier or another instance does not remove the current one") {
  TargetRegistry registry(kAddress);
  registry.OnAnnouncement(kNow, Announce("i-1", 2000, 1));
  registry.OnLeave(kNow, kUnixMs, "i-1", 1000);
  CHECK(registry.current() != nullptr);
  registry.OnLeave(kNow, kUnixMs, "i-0", std::nullopt);
  CHECK(registry.current() != nullptr);
}

}  // namespace
}  // namespace limpet
