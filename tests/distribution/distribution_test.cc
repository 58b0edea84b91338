#include <doctest/doctest.h>

#include <set>

#include "limpet/distribution/config_store.h"
#include "limpet/distribution/push_tree.h"
#include "limpet/distribution/repair.h"
#include "limpet/distribution/transfer_limiter.h"
#include "support/changes.h"

namespace limpet {
namespace {

using namespace std::chrono_literals;

wire::AcceptedChange Change(int64_t version, int64_t base) {
  wire::AcceptedChange change;
  change.version = version;
  change.record.base = base;
  change.record.delta.set_services = {test::MakeService("s" + std::to_string(version))};
  return change;
}

TEST_CASE("the push tree reaches every live member exactly once") {
  std::vector<wire::MemberRecord> live(300);
  for (std::size_t i = 0; i < live.size(); ++i) {
    live[i].name = "n" + std::to_string(i);
  }
  const PushTree tree(live, 17);
  std::multiset<std::string> reached;
  for (const wire::MemberRecord* root : tree.Roots()) {
    reached.insert(root->name);
  }
  CHECK(reached.size() == kPushFanOut);
  for (const wire::MemberRecord& member : live) {
    for (const wire::MemberRecord* child : tree.Children(member.name)) {
      reached.insert(child->name);
    }
  }
  CHECK(reached.size() == live.size());
  CHECK(std::set(reached.begin(), reached.end()).size() == live.size());
}

TEST_CASE("the history returns changes only if it holds all of them") {
  DeltaHistory history;
  for (int64_t version = 1; version <= 300; ++version) {
    history.Add(Change(version, version - 1));
  }
  CHECK(history.Since(300)->empty());
  CHECK(history.Since(44)->size() == DeltaHistory::kMaxDeltas);
  CHECK_FALSE(history.Since(43).has_value());
  history.Add(Change(400, 350));
  CHECK_FALSE(history.Since(299).has_value());
}

TEST_CASE("an invalid version is refused, recorded as refusal and leaves the version in effect") {
  ConfigStore store;
  CHECK(store.Apply(Change(1, 0)) == ApplyResult::kApplied);
  wire::AcceptedChange invalid = Change(2, 1);
  invalid.record.delta.set_routes = {test::MakeRoute("r", "missing", "missing")};
  CHECK(store.Apply(invalid) == ApplyResult::kRefused);
  CHECK(store.version() == 1);
  CHECK(store.refusal()->version == 2);
  CHECK(store.Apply(Change(4, 3)) == ApplyResult::kMissingBase);
  CHECK(store.Apply(Change(1, 0)) == ApplyResult::kOld);
  wire::FullConfig repaired;
  repaired.version = 5;
  CHECK(store.Install(repaired) == ApplyResult::kApplied);
  CHECK_FALSE(store.refusal().has_value());
}

TEST_CASE("a fifth concurrent transfer is refused with a retry time until a slot is free") {
  TransferLimiter limiter{Random(1)};
  const TimePoint now;
  for (const char* requester : {"a", "b", "c", "d"}) {
    CHECK_FALSE(limiter.Admit(now, requester).has_value());
  }
  CHECK(*limiter.Admit(now, "e") >= TransferLimiter::kSlotTime);
  limiter.Finish("b");
  CHECK_FALSE(limiter.Admit(now, "e").has_value());
}

TEST_CASE("a peer that reports a version but never delivers it is excluded") {
  Repair repair{Random(1)};
  TimePoint now;
  int requests = 0;
  for (; now < TimePoint(50s); now += 50ms) {
    repair.OnPeerVersion(now, "peer", {"10.0.0.1", 1}, INT64_MAX, 0ms);
    requests += repair.Tick(now, 1).has_value() ? 1 : 0;
  }
  CHECK(requests == Repair::kMaxFailures);
  CHECK_FALSE(repair.IsBehind(1));
}

}  // namespace
}  // namespace limpet
