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

TEST_CASE("a target that starts again under its name is taken as new") {
  TargetRegistry registry(kAddress);
  registry.OnAnnouncement(kNow, Announce("i-1", 1000, 90));
  registry.OnLeave(kNow, kUnixMs, "i-1", std::nullopt);
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 2000, 0)) == AnnouncementResult::kCurrent);
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 1000, 91)) == AnnouncementResult::kLate);
  CHECK(registry.current()->start_time_ms == 2000);
}

TEST_CASE("a heartbeat of an earlier start at the same address does not replace a later start") {
  TargetRegistry registry(kAddress);
  registry.OnAnnouncement(kNow, Announce("i-2", 2000, 1));
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 1000, 50)) == AnnouncementResult::kLate);
  CHECK(registry.current()->instance == "i-2");
}

TEST_CASE("draining is final for one start even if a ready heartbeat is reordered") {
  TargetRegistry registry(kAddress);
  TargetAnnouncement draining = Announce("i-1", 1000, 5);
  draining.draining = true;
  CHECK(registry.OnAnnouncement(kNow, draining) == AnnouncementResult::kDraining);
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 1000, 4)) == AnnouncementResult::kLate);
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 1000, 6)) == AnnouncementResult::kDraining);
  CHECK(registry.OnAnnouncement(kNow, Announce("i-2", 2000, 0)) == AnnouncementResult::kCurrent);
}

// Guards against requests to a target that has left beside a node that had just restarted and so
// did not know the target when it left.
TEST_CASE("a late heartbeat does not bring back a target that left before it was known") {
  TargetRegistry registry(kAddress);
  registry.OnLeave(kNow, kUnixMs, "i-1", std::nullopt);
  CHECK(registry.OnAnnouncement(kNow + seconds(3), Announce("i-1", 1000, 21)) ==
        AnnouncementResult::kLate);
  CHECK(registry.current() == nullptr);
  CHECK(registry.OnAnnouncement(kNow + seconds(4), Announce("i-1", 1600, 5)) ==
        AnnouncementResult::kCurrent);
}

// Guards against a target that is never used because the time of day was ahead when an earlier
// start of it left.
TEST_CASE("the first heartbeat of a start is taken whatever the time of day was at the leave") {
  TargetRegistry registry(kAddress);
  registry.OnLeave(kNow, kUnixMs + 5000, "i-1", std::nullopt);
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 2000, 1)) == AnnouncementResult::kCurrent);
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 2000, 2)) == AnnouncementResult::kCurrent);
}

TEST_CASE("a target that was discovered is the start that its next heartbeat names") {
  TargetRegistry registry(kAddress);
  CHECK(registry.OnDiscovered("i-1", "desk", 4));
  CHECK_FALSE(registry.OnDiscovered("i-1", "desk", 4));
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 1000, 21)) == AnnouncementResult::kCurrent);
  CHECK(registry.current()->slots == 12);
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 1000, 20)) == AnnouncementResult::kLate);
}

// Guards against work for a target that has left and still answers its health check.
TEST_CASE("a target that has left is not discovered") {
  TargetRegistry registry(kAddress);
  registry.OnLeave(kNow, kUnixMs, "i-1", std::nullopt);
  CHECK_FALSE(registry.OnDiscovered("i-1", "desk", 4));
  CHECK(registry.current() == nullptr);
}

// Guards against requests to a target that left between the restart of its node and its next
// heartbeat, of which a late one came afterwards.
TEST_CASE("a late heartbeat does not bring back a target that was only discovered") {
  TargetRegistry registry(kAddress);
  registry.OnDiscovered("i-1", "desk", 4);
  registry.OnLeave(kNow, kUnixMs, "i-1", std::nullopt);
  CHECK(registry.OnAnnouncement(kNow + seconds(3), Announce("i-1", 1000, 21)) ==
        AnnouncementResult::kLate);
  CHECK(registry.current() == nullptr);
}

TEST_CASE("a discovered target that another one replaced does not come back") {
  TargetRegistry registry(kAddress);
  registry.OnDiscovered("i-1", "desk", 4);
  registry.OnAnnouncement(kNow, Announce("i-2", 2000, 1));
  CHECK(registry.OnAnnouncement(kNow, Announce("i-1", 1000, 21)) == AnnouncementResult::kLate);
  CHECK(registry.current()->instance == "i-2");
}

TEST_CASE("a heartbeat for another place names no target here") {
  TargetRegistry registry(kAddress);
  TargetAnnouncement other = Announce("i-1", 1000, 1);
  other.address = "10.0.0.2:8080";
  CHECK(registry.OnAnnouncement(kNow, other) == AnnouncementResult::kWrongPlace);
  CHECK(registry.current() == nullptr);
}

TEST_CASE("a leave of an earlier start does not remove the current one") {
  TargetRegistry registry(kAddress);
  registry.OnAnnouncement(kNow, Announce("i-1", 2000, 1));
  registry.OnLeave(kNow, kUnixMs, "i-1", 1000);
  CHECK(registry.current() != nullptr);
  registry.OnLeave(kNow, kUnixMs, "i-0", std::nullopt);
  CHECK(registry.current() != nullptr);
}

}  // namespace
}  // namespace limpet
