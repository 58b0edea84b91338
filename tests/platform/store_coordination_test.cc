#include "store_coordination.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <thread>
#include <utility>

#include "edge/loop_thread.h"
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

}  // namespace
}  // namespace limpet::platform
