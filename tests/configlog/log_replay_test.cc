#include "limpet/configlog/log_replay.h"

#include <doctest/doctest.h>

#include "limpet/config/config.h"
#include "limpet/wire/codec.h"

namespace limpet {
namespace {

wire::ConfigDelta MakeServiceDelta(const std::string& name) {
  wire::Service service;
  service.name = name;
  service.timeout_ms = 100;
  service.slots = 1;
  service.connections = 1;
  wire::ConfigDelta delta;
  delta.set_services = {service};
  return delta;
}

LogRecord MakeRecord(int64_t offset, const std::string& id, int64_t base, wire::ConfigDelta delta) {
  wire::ChangeRecord record;
  record.id = id;
  record.base = base;
  record.author = "author-" + id;
  record.delta = std::move(delta);
  return {offset, wire::Encode(record)};
}

TEST_CASE("a change on the current version is accepted with its offset as version") {
  LogReplay replay;
  const ReplayResult result = replay.Apply(MakeRecord(1, "a", 0, MakeServiceDelta("s1")));
  CHECK(std::get<wire::AcceptedChange>(result).version == 1);
  CHECK(replay.version() == 1);
  CHECK(replay.snapshot()->FindService("s1") != nullptr);
}

TEST_CASE("the rejection of a stale change names the change accepted on the same base") {
  LogReplay replay;
  replay.Apply(MakeRecord(1, "a", 0, MakeServiceDelta("s1")));
  replay.Apply(MakeRecord(2, "b", 1, MakeServiceDelta("s2")));
  const ReplayResult result = replay.Apply(MakeRecord(3, "c", 0, MakeServiceDelta("s3")));
  const auto& rejection = std::get<Rejection>(result);
  CHECK(rejection.reason == RejectReason::kStaleBase);
  CHECK(rejection.conflicting_change.version == 1);
  CHECK(rejection.conflicting_change.id == "a");
  CHECK(rejection.conflicting_change.author == "author-a");
  CHECK(replay.version() == 2);
  CHECK(replay.next_offset() == 4);
}

TEST_CASE("a record that is appended twice takes effect once") {
  LogReplay replay;
  replay.Apply(MakeRecord(1, "a", 0, MakeServiceDelta("s1")));
  const ReplayResult result = replay.Apply(MakeRecord(2, "a", 0, MakeServiceDelta("s1")));
  CHECK(std::get<Rejection>(result).conflicting_change.id == "a");
  CHECK(replay.FindAccepted("a")->version == 1);
}

TEST_CASE("an invalid or malformed record does not change the version in effect") {
  LogReplay replay;
  replay.Apply(MakeRecord(1, "a", 0, MakeServiceDelta("s1")));
  wire::Route route;
  route.name = "r";
  route.path_prefix = "/r";
  route.service_name = "missing";
  wire::ConfigDelta delta = MakeServiceDelta("s2");
  delta.set_routes = {route};
  CHECK(std::get<Rejection>(replay.Apply(MakeRecord(2, "b", 1, delta))).reason ==
        RejectReason::kInvalid);
  CHECK(std::get<Rejection>(replay.Apply({3, "garbage"})).reason == RejectReason::kMalformed);
  CHECK(replay.version() == 1);
  CHECK(replay.snapshot()->FindService("s2") == nullptr);
}

TEST_CASE("a gap in the offsets is an error") {
  LogReplay replay;
  CHECK_THROWS_AS(replay.Apply(MakeRecord(2, "a", 0, MakeServiceDelta("s1"))), ReplayGapError);
}

TEST_CASE("a replay from a checkpoint gives the same result as a replay from the start") {
  LogReplay full;
  full.Apply(MakeRecord(1, "a", 0, MakeServiceDelta("s1")));
  full.Apply(MakeRecord(2, "b", 0, MakeServiceDelta("s2")));
  LogReplay resumed(full.FullConfig());
  CHECK(resumed.next_offset() == 3);
  full.Apply(MakeRecord(3, "c", 1, MakeServiceDelta("s3")));
  resumed.Apply(MakeRecord(3, "c", 1, MakeServiceDelta("s3")));
  CHECK(resumed.FullConfig() == full.FullConfig());
}

TEST_CASE("the number of rejections that are kept is bounded") {
  LogReplay replay;
  for (int64_t offset = 1; offset <= 600; ++offset) {
    replay.Apply({offset, "garbage"});
  }
  CHECK(replay.rejections().size() == LogReplay::kMaxRejections);
  CHECK(replay.rejections().back().offset == 600);
}

}  // namespace
}  // namespace limpet
