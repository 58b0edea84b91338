#include "store_coordination.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <future>
#include <memory>
#include <optional>
#include <thread>
#include <utility>

#include "config_codec.h"
#include "edge/loop_thread.h"
#include "limpet/core/error.h"
#include "limpet/net/clock.h"
#include "platform/fake_store.h"

namespace limpet::platform {
namespace {

using std::chrono::milliseconds;

std::string ConfigText(int version) {
  return R"({"version":"r)" + std::to_string(version) + R"(","resources":[]})";
}

/// A reader of the store, with the primary role.
struct Fixture {
  edge::LoopThread loop;
  FakeStore store{loop};
  std::unique_ptr<StoreCoordination> reader;
  /// The newest version that was delivered.
  int64_t version = 0;
  std::optional<TimePoint> proven;

  Fixture() {
    store.Put("keyed.op", "config", ConfigText(1));
    Start();
  }
  void Start() {
    loop.Run([this] {
      reader = std::make_unique<StoreCoordination>(loop.executor(), store.address(), Random(1));
      reader->WatchFreshness([this](TimePoint instant) {
        CHECK(instant <= MonotonicNow());
        proven = instant;
      });
      reader->WatchConfig(
          [this](const MeshConfig& config) { version = std::max(version, config.version); },
          [](const std::string&) {});
    });
    // The first long poll follows one second after the first read.
    std::this_thread::sleep_for(milliseconds(1300));
  }
  /// Starts a reader that knows nothing of before.
  void Restart() {
    loop.Run([this] {
      reader.reset();
      version = 0;
      proven.reset();
    });
    Start();
  }
  ~Fixture() {
    loop.Run([this] { reader.reset(); });
    loop.Stop();
  }
  bool IsStoreUnreachable() {
    return loop.Run([this] { return reader->IsStoreUnreachable(); });
  }
  void SetRole(ReaderRole role) {
    loop.Run([this, role] { reader->SetRole(role); });
  }
  /// Waits until the reader has proved this instant, and returns the version that it has then.
  int64_t VersionWhenProven(TimePoint instant) {
    for (int i = 0; i < 500; ++i) {
      const auto [is_proven, current] =
          loop.Run([&] { return std::pair(proven && *proven >= instant, version); });
      if (is_proven) {
        return current;
      }
      std::this_thread::sleep_for(milliseconds(20));
    }
    return -1;
  }
  int64_t Version() {
    return loop.Run([this] { return version; });
  }
};

// Guards against a reader that waits for a response and counts as a reader all the while: other
// nodes do not take over then.
TEST_CASE_FIXTURE(Fixture, "a reader that gets no responses reports the store as unreachable") {
  CHECK_FALSE(IsStoreUnreachable());
  store.SetSilent(true);
  std::this_thread::sleep_for(milliseconds(2900));
  CHECK(IsStoreUnreachable());
  store.SetSilent(false);
  std::this_thread::sleep_for(milliseconds(800));
  CHECK_FALSE(IsStoreUnreachable());
}

TEST_CASE_FIXTURE(Fixture, "a single lost response does not make the store unreachable") {
  store.SilenceConnections();
  for (int i = 0; i < 30; ++i) {
    std::this_thread::sleep_for(milliseconds(100));
    CHECK_FALSE(IsStoreUnreachable());
  }
}

// Guards against a proof of an instant at which a record was acknowledged that the reader lacks,
// and against readers that prove nothing any more.
TEST_CASE_FIXTURE(Fixture, "a proof follows every record that was acknowledged by its instant") {
  for (int round = 2; round < 5; ++round) {
    store.Put("keyed.op", "config", ConfigText(round));
    CHECK(VersionWhenProven(MonotonicNow()) == round);
  }
  // Responses are lost, and the first one comes for a repeated read.
  store.SetSilent(true);
  store.Put("keyed.op", "config", ConfigText(5));
  const TimePoint acknowledged = MonotonicNow();
  std::this_thread::sleep_for(milliseconds(2600));
  store.SetSilent(false);
  CHECK(VersionWhenProven(acknowledged) == 5);
}

// Guards against a reader that goes on at an offset which the restored store does not have yet.
TEST_CASE_FIXTURE(Fixture, "after the store was restored a further configuration is a proof") {
  int last = 1;
  // The first read of an epoch proves nothing, and neither does a configuration that was written
  // before it, so several are written.
  const auto publish_until_proven = [&] {
    const TimePoint start = MonotonicNow();
    for (int i = 0; i < 50; ++i) {
      store.Put("keyed.op", "config", ConfigText(++last));
      std::this_thread::sleep_for(milliseconds(300));
      if (loop.Run([&] { return proven && *proven >= start; })) {
        return true;
      }
    }
    return false;
  };
  store.SetEpoch(1);
  CHECK(publish_until_proven());
  store.Put("keyed.op", "config", ConfigText(++last));
  CHECK(VersionWhenProven(MonotonicNow()) == last);
  store.Restore("keyed.op", 2);
  const TimePoint restored = MonotonicNow();
  std::this_thread::sleep_for(milliseconds(2500));
  CHECK(loop.Run([&] { return *proven < restored; }));
  CHECK(Version() == last);
  CHECK(publish_until_proven());
}

// Guards against a reader that takes over with a read whose response was lost before.
TEST_CASE_FIXTURE(Fixture, "a secondary that becomes the primary reads at once") {
  SetRole(ReaderRole::kSecondary);
  std::this_thread::sleep_for(milliseconds(2500));
  store.SilenceConnections();
  store.Put("keyed.op", "config", ConfigText(2));
  std::this_thread::sleep_for(milliseconds(300));
  CHECK(Version() == 1);
  SetRole(ReaderRole::kPrimary);
  std::this_thread::sleep_for(milliseconds(300));
  CHECK(Version() == 2);
}

TEST_CASE_FIXTURE(Fixture, "a node without a role does not call the store") {
  SetRole(ReaderRole::kNone);
  const int before = store.calls("/log-read") + store.calls("/log-newest");
  std::this_thread::sleep_for(milliseconds(2500));
  CHECK(store.calls("/log-read") + store.calls("/log-newest") == before);
  SetRole(ReaderRole::kSecondary);
  std::this_thread::sleep_for(milliseconds(100));
  CHECK(store.calls("/log-newest") > 0);
}

// Guards against a mesh that refuses all keys after a restart: no process knows then what the store
// lost in a restore long ago.
TEST_CASE_FIXTURE(Fixture, "a process that starts long after a restore relies on a witness") {
  store.SetEpoch(1);
  Restart();
  store.Put("keyed.op", "config", ConfigText(2));
  REQUIRE(VersionWhenProven(MonotonicNow()) == 2);
  store.Restore("keyed.op", 1);
  std::this_thread::sleep_for(milliseconds(2000));
  store.Put("keyed.op", "config", ConfigText(2));
  REQUIRE(VersionWhenProven(MonotonicNow()) == 2);
  std::this_thread::sleep_for(milliseconds(300));
  CHECK(store.Newest("keyed.limpet-epochs", "complete") == "2");
  Restart();
  CHECK(loop.Run([&] { return proven.has_value(); }));
}

// Guards against nodes that are never found by nodes that start later, because the store lost the
// only entry that they wrote.
TEST_CASE_FIXTURE(Fixture, "after a restore the addresses that the store lost are written again") {
  const auto make_node = [](const std::string& name, int port) {
    wire::NodeAddress node;
    node.name = name;
    node.data_centre = "a";
    node.host = "127.0.0.1";
    node.port = port;
    return node;
  };
  store.SetEpoch(1);
  Restart();
  loop.Run([&] {
    reader->WatchRestores([&, this] {
      reader->StoreMissingNodes({make_node("kept", 1), make_node("lost", 2)});
    });
  });
  store.Put("keyed.limpet-nodes", "kept", "another address");
  std::this_thread::sleep_for(milliseconds(2000));
  store.Restore("keyed.op", 0);
  std::this_thread::sleep_for(milliseconds(2500));
  CHECK(store.Newest("keyed.limpet-nodes", "kept") == "another address");
  CHECK(DecodeNodeAddress(store.Newest("keyed.limpet-nodes", "lost")).port == 2);
}

TEST_CASE("the reply to a join lists the partitions of the topic") {
  const GroupAssignment assignment = DecodeAssignment(
      R"({"generation":7,"ttl_ms":3000,"parts":[["decisions",2,0],["other",3,0],["decisions",5,9]]})",
      "decisions");
  CHECK(assignment.generation == 7);
  CHECK(assignment.ttl == Duration(std::chrono::seconds(3)));
  CHECK(assignment.partitions == std::vector<int>{2, 5});
}

// Guards against a reply that another writer or a fault made: it must not give a partition.
TEST_CASE("a malformed reply to a join is refused") {
  for (const char* text :
       {"", "[]", R"({"generation":7,"ttl_ms":3000})", R"({"generation":7,"parts":[]})",
        R"({"generation":-1,"ttl_ms":3000,"parts":[]})",
        R"({"generation":7,"ttl_ms":3000,"parts":{"a":1}})",
        R"({"generation":7,"ttl_ms":3000,"parts":[["decisions"]]})",
        R"({"generation":7,"ttl_ms":3000,"parts":[["decisions","2",0]]})",
        R"({"generation":7,"ttl_ms":3000,"parts":[["decisions",-2,0]]})"}) {
    CAPTURE(text);
    CHECK_THROWS_AS(DecodeAssignment(text, "decisions"), DecodeError);
  }
}

TEST_CASE_FIXTURE(Fixture, "a member that leaves gives its partitions to the others at once") {
  const auto join = [this](const std::string& member, int64_t generation) {
    auto reply = std::make_shared<std::promise<std::optional<GroupAssignment>>>();
    loop.Run([&] {
      reader->JoinDecisions({member, generation, std::chrono::seconds(3)},
                            [reply](const auto& assignment) { reply->set_value(assignment); });
    });
    auto result = reply->get_future();
    REQUIRE(result.wait_for(std::chrono::seconds(5)) == std::future_status::ready);
    const std::optional<GroupAssignment> assignment = result.get();
    REQUIRE(assignment);
    return *assignment;
  };
  CHECK(join("a", 0).partitions.size() == 32);
  CHECK(join("b", 0).partitions.empty());
  loop.Run([this] { reader->LeaveDecisions("a", [] {}); });
  while (store.calls("/log-leave") == 0) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  CHECK(join("b", 2).partitions.size() == 32);
}

}  // namespace
}  // namespace limpet::platform
