#include <doctest/doctest.h>

#include "membership/member_table.h"
#include "membership/probe_scheduler.h"
#include "membership/rendezvous.h"

namespace limpet {
namespace {

using wire::MemberRecord;
using wire::MemberState;

const TimePoint kNow{std::chrono::hours(1)};

MemberRecord RecordOf(const std::string& name,
                      int64_t incarnation = 1,
                      int32_t sequence = 0,
                      MemberState::type state = MemberState::kAlive) {
  MemberRecord record;
  record.name = name;
  record.data_centre = "dc";
  record.incarnation = incarnation;
  record.sequence = sequence;
  record.state = state;
  return record;
}

TEST_CASE("the greatest of incarnation, sequence and state wins, whatever the order of arrival") {
  const std::vector<MemberRecord> ascending = {
      RecordOf("a", 1, 0),
      RecordOf("a", 1, 0, MemberState::kSuspect),
      RecordOf("a", 1, 0, MemberState::kDead),
      RecordOf("a", 1, 1),
      RecordOf("a", 1, 1, MemberState::kLeft),
      RecordOf("a", 2, 0),
  };
  for (std::size_t i = 0; i < ascending.size(); ++i) {
    for (std::size_t j = 0; j < ascending.size(); ++j) {
      MemberTable table;
      table.Apply(kNow, ascending[i]);
      CHECK(table.Apply(kNow, ascending[j]) == (j > i));
      CHECK(table.Find("a")->record == ascending[std::max(i, j)]);
    }
  }
}

TEST_CASE("dead and left members do not count as live and expire") {
  MemberTable table;
  table.Apply(kNow, RecordOf("a"));
  table.Apply(kNow, RecordOf("b", 1, 0, MemberState::kSuspect));
  table.Apply(kNow, RecordOf("c", 1, 0, MemberState::kDead));
  CHECK(table.Live("dc").size() == 2);
  CHECK(table.live_count() == 2);
  table.ExpireTombstones(kNow);
  CHECK(table.Find("c") != nullptr);
  table.ExpireTombstones(kNow + Duration(1));
  CHECK(table.Find("c") == nullptr);
  CHECK(table.members().size() == 2);
}

TEST_CASE("a member that moves to another data centre is listed there only") {
  MemberTable table;
  table.Apply(kNow, RecordOf("a"));
  MemberRecord moved = RecordOf("a", 2);
  moved.data_centre = "other";
  table.Apply(kNow, moved);
  CHECK(table.Live("dc").empty());
  CHECK(table.Live("other").size() == 1);
  CHECK(table.DataCentres() == std::vector<std::string>{"other"});
}

// A digest that counted dead members would differ between a member that has forgotten one and a
// member that has not, and the exchange would bring the record back for ever.
TEST_CASE("digests ignore dead members and find every other difference") {
  MemberTable left;
  MemberTable right;
  for (int i = 0; i < 200; ++i) {
    left.Apply(kNow, RecordOf("m" + std::to_string(i)));
    right.Apply(kNow, RecordOf("m" + std::to_string(199 - i)));
  }
  left.Apply(kNow, RecordOf("gone", 1, 0, MemberState::kDead));
  CHECK(left.digest().DifferingBuckets(right.digest().ToWire()).empty());
  left.Apply(kNow, RecordOf("m7", 1, 1));
  CHECK(left.digest().DifferingBuckets(right.digest().ToWire()) ==
        std::vector<int>{BucketDigest::BucketOf("m7")});
  right.Apply(kNow, RecordOf("m7", 1, 1));
  CHECK(left.digest().DifferingBuckets(right.digest().ToWire()).empty());
  CHECK(left.digest().DifferingBuckets({}).size() == BucketDigest::kBuckets);
}

TEST_CASE("a round of probes reaches each live member once and never the prober") {
  MemberTable table;
  for (const char* name : {"a", "b", "c", "d", "self"}) {
    table.Apply(kNow, RecordOf(name));
  }
  ProbeScheduler scheduler;
  Random random(3);
  for (int round = 0; round < 5; ++round) {
    std::set<std::string> probed;
    for (int i = 0; i < 4; ++i) {
      probed.insert(scheduler.Next(table, "dc", "self", random)->record.name);
    }
    CHECK(probed == std::set<std::string>{"a", "b", "c", "d"});
  }
  CHECK(scheduler.Next(table, "empty", "self", random) == nullptr);
}

TEST_CASE("rendezvous selection changes only when a selected member is lost") {
  MemberTable table;
  for (int i = 0; i < 50; ++i) {
    table.Apply(kNow, RecordOf("m" + std::to_string(i)));
  }
  const std::vector<const Member*> before = TopByHash(table.Live("dc"), 3);
  CHECK(TopByHash(table.Live("dc"), 100).size() == 50);
  CHECK(TopByHash(table.Live("dc"), 0).empty());
  MemberRecord first = before[0]->record;
  first.state = MemberState::kDead;
  table.Apply(kNow, first);
  const std::vector<const Member*> after = TopByHash(table.Live("dc"), 2);
  CHECK(after[0] == before[1]);
  CHECK(after[1] == before[2]);
  CHECK(table.Gateways("dc") == after);
}

}  // namespace
}  // namespace limpet
