#include <doctest/doctest.h>

#include "membership/member_table.h"
#include "membership/probe_scheduler.h"
#include "membership/rendezvous.h"

namespace limpet {
namespace {

using wire::MemberRecord;
using wire::MemberState;

const TimePoint kNow{std::chrono::hours(1)};

MemberRecord MakeRecord(const std::string& name,
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

TEST_CASE("the greatest incarnation, sequence and state takes precedence in any order of arrival") {
  const std::vector<MemberRecord> ascending = {
      MakeRecord("a", 1, 0),
      MakeRecord("a", 1, 0, MemberState::kSuspect),
      MakeRecord("a", 1, 0, MemberState::kDead),
      MakeRecord("a", 1, 1),
      MakeRecord("a", 1, 1, MemberState::kLeft),
      MakeRecord("a", 2, 0),
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
  table.Apply(kNow, MakeRecord("a"));
  table.Apply(kNow, MakeRecord("b", 1, 0, MemberState::kSuspect));
  table.Apply(kNow, MakeRecord("c", 1, 0, MemberState::kDead));
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
  table.Apply(kNow, MakeRecord("a"));
  MemberRecord moved = MakeRecord("a", 2);
  moved.data_centre = "other";
  table.Apply(kNow, moved);
  CHECK(table.Live("dc").empty());
  CHECK(table.Live("other").size() == 1);
  CHECK(table.DataCentres() == std::vector<std::string>{"other"});
}

// A digest with dead members would differ between a node that has removed one and a node that has
// not, and the table exchange would restore the record again and again.
TEST_CASE("digests ignore dead members and find every other difference") {
  MemberTable table_a;
  MemberTable table_b;
  for (int i = 0; i < 200; ++i) {
    table_a.Apply(kNow, MakeRecord("m" + std::to_string(i)));
    table_b.Apply(kNow, MakeRecord("m" + std::to_string(199 - i)));
  }
  table_a.Apply(kNow, MakeRecord("gone", 1, 0, MemberState::kDead));
  CHECK(table_a.digest().DifferingBuckets(table_b.digest().ToWire()).empty());
  table_a.Apply(kNow, MakeRecord("m7", 1, 1));
  CHECK(table_a.digest().DifferingBuckets(table_b.digest().ToWire()) ==
        std::vector<int>{BucketDigest::BucketIndex("m7")});
  table_b.Apply(kNow, MakeRecord("m7", 1, 1));
  CHECK(table_a.digest().DifferingBuckets(table_b.digest().ToWire()).empty());
  CHECK(table_a.digest().DifferingBuckets({}).size() == BucketDigest::kBuckets);
}

TEST_CASE("a round of probes reaches each live member once and never the prober") {
  MemberTable table;
  for (const char* name : {"a", "b", "c", "d", "self"}) {
    table.Apply(kNow, MakeRecord(name));
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
    table.Apply(kNow, MakeRecord("m" + std::to_string(i)));
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
