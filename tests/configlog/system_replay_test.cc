#include "limpet/configlog/system_replay.h"

#include <doctest/doctest.h>

#include "limpet/wire/codec.h"

namespace limpet {
namespace {

LogRecord MakeClaim(int64_t offset, const std::string& lease, const std::string& holder) {
  wire::SystemRecord record;
  record.claim.lease = lease;
  record.claim.holder = holder;
  record.__isset.claim = true;
  return {offset, wire::Encode(record)};
}

LogRecord MakeStatus(int64_t offset, int64_t token, int members) {
  wire::SystemRecord record;
  record.status.token = token;
  record.status.data_centre = "dc1";
  record.status.members = members;
  record.__isset.status = true;
  return {offset, wire::Encode(record)};
}

TEST_CASE("a record of a fenced holder has no effect") {
  SystemReplay replay;
  replay.Apply(MakeClaim(1, StatusLease("dc1"), "n1"), TimePoint());
  CHECK(replay.Apply(MakeStatus(2, 1, 5), TimePoint()) == SystemRecordKind::kStatus);
  replay.Apply(MakeClaim(3, StatusLease("dc1"), "n2"), TimePoint());
  CHECK(replay.Apply(MakeStatus(4, 1, 6), TimePoint()) == SystemRecordKind::kFenced);
  CHECK(replay.statuses().at("dc1").members == 5);
  CHECK(replay.Apply(MakeStatus(5, 3, 7), TimePoint()) == SystemRecordKind::kStatus);
}

TEST_CASE("a record with the token of another lease or of a future claim has no effect") {
  SystemReplay replay;
  replay.Apply(MakeClaim(1, StatusLease("dc2"), "n1"), TimePoint());
  CHECK(replay.Apply(MakeStatus(2, 1, 5), TimePoint()) == SystemRecordKind::kFenced);
  CHECK(replay.Apply(MakeStatus(3, 9, 5), TimePoint()) == SystemRecordKind::kFenced);
}

TEST_CASE("a malformed record and an unknown lease are skipped") {
  SystemReplay replay;
  CHECK(replay.Apply({1, "garbage"}, TimePoint()) == SystemRecordKind::kMalformed);
  CHECK(replay.Apply(MakeClaim(2, "other", "n1"), TimePoint()) == SystemRecordKind::kMalformed);
  CHECK(replay.leases().entries().empty());
  CHECK(replay.next_offset() == 3);
}

}  // namespace
}  // namespace limpet
