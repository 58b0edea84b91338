#include "limpet/configlog/log_replay.h"

#include <doctest/doctest.h>

#include "limpet/config/config.h"
#include "limpet/wire/codec.h"

namespace limpet {
namespace {

wire::ConfigDelta ServiceDelta(const std::string& name) {
  wire::Service service;
  service.name = name;
  service.timeout_ms = 100;
  service.slots = 1;
  service.connections = 1;
  wire::ConfigDelta delta;
  delta.set_services = {service};
  return delta;
}

LogRecord Record(int64_t offset, const std::string& id, int64_t base, wire::ConfigDelta delta) {
  wire::ChangeRecord record;
  record.id = id;
  record.base = base;
  record.author = "author-" + id;
  record.delta = std::move(delta);
  return {offset, wire::Encode(record)};
}

TEST_CASE("a change on the current version is accepted under its offset") {
  LogReplay replay;
  const ReplayResult result = replay.Apply(Record(1, "a", 0, ServiceDelta("s1")));
  CHECK(std::get<wire::AcceptedChange>(result).version == 1);
  CHECK(replay.version() == 1);
  CHECK(replay.snapshot()->FindService("s1") != nullptr);
}

TEST_CASE("the loser of a race learns who won") {
  LogReplay replay;
  replay.Apply(Record(1, "a", 0, ServiceDelta("s1")));
  replay.Apply(Record(2, "b", 1, ServiceDelta("s2")));
  const ReplayResult result = replay.Apply(Record(3, "c", 0, ServiceDelta("s3")));
  const auto& rejection = std::get<Rejection>(result);
  CHECK(rejection.reason == RejectReason::kStaleBase);
  CHECK(rejection.conflicting_change.version == 1);
  CHECK(rejection.conflicting_change.id == "a");
  CHECK(rejection.conflicting_change.author == "author-a");
  CHECK(replay.version() == 2);
  CHECK(replay.next_offset() == 4);
}

TEST_CASE("a repeated append changes nothing") {
  LogReplay replay;
  replay.Apply(Record(1, "a", 0, ServiceDelta("s1")));
  const ReplayResult result = replay.Apply(Record(2, "a", 0, ServiceDelta("s1")));
  CHECK(std::get<Rejection>(result).conflicting_change.id == "a");
  CHECK(replay.FindAccepted("a")->version == 1);
}

TEST_CASE("an invalid or malformed record leaves the version in effect") {
  LogReplay replay;
  replay.Apply(Record(1, "a", 0, ServiceDelta("s1")));
  wire::Route route;
  route.name = "r";
  route.path_prefix = "/r";
  route.service_name = "missing";
  wire::ConfigDelta delta = ServiceDelta("s2");
  delta.set_routes = {route};
  CHECK(std::get<Rejection>(replay.Apply(Record(2, "b", 1, delta))).reason ==
        RejectReason::kInvalid);
  CHECK(std::get<Rejection>(replay.Apply({3, "garbage"})).reason == RejectReason::kMalformed);
  CHECK(replay.version() == 1);
  CHECK(replay.snapshot()->FindService("s2") == nullptr);
}

TEST_CASE("a replay refuses to skip records") {
  LogReplay replay;
  CHECK_THROWS_AS(replay.Apply(Record(2, "a", 0, ServiceDelta("s1"))), ReplayGapError);
}

TEST_CASE("a replay continues from a checkpoint as one from the start does") {
  LogReplay whole;
  whole.Apply(Record(1, "a", 0, ServiceDelta("s1")));
  whole.Apply(Record(2, "b", 0, ServiceDelta("s2")));
  LogReplay resumed(whole.FullConfig());
  CHECK(resumed.next_offset() == 3);
  whole.Apply(Record(3, "c", 1, ServiceDelta("s3")));
  resumed.Apply(Record(3, "c", 1, ServiceDelta("s3")));
  CHECK(resumed.FullConfig() == whole.FullConfig());
}

TEST_CASE("the lists of rejections and accepted changes stay bounded") {
  LogReplay replay;
  for (int64_t offset = 1; offset <= 600; ++offset) {
    replay.Apply({offset, "garbage"});
  }
  CHECK(replay.rejections().size() == LogReplay::kMaxRejections);
  CHECK(replay.rejections().back().offset == 600);
}

}  // namespace
}  // namespace limpet
