#include "store_coordination.h"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <thread>

#include "edge/loop_thread.h"
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
  int64_t version = 0;

  Fixture() {
    store.Put("keyed.op", "config", ConfigText(1));
    loop.Run([this] {
      reader = std::make_unique<StoreCoordination>(loop.executor(), store.address(), Random(1));
      reader->WatchConfig([this](const MeshConfig& config) { version = config.version; },
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
