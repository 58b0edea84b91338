#include "limpet/routing/config_holder.h"

#include <doctest/doctest.h>

#include "limpet/core/random.h"
#include "limpet/routing/mesh_delta.h"

namespace limpet {
namespace {

using std::chrono::milliseconds;

MeshRoute MakeRoute(const std::string& name, int timeout_ms) {
  MeshRoute route;
  route.name = name;
  route.host = "desk.example";
  route.path_prefix = "/" + name + "/";
  route.timeout = milliseconds(timeout_ms);
  route.weighted_services = {{"desk", 1}};
  return route;
}

MeshConfig MakeConfig(int64_t version, std::vector<MeshRoute> routes) {
  MeshConfig config;
  config.version = version;
  config.services = {{"desk", "/health", 130}};
  config.routes = std::move(routes);
  return config;
}

TEST_CASE("an older or invalid version does not replace the one in effect") {
  ConfigHolder holder;
  CHECK(holder.Update(MakeConfig(5, {MakeRoute("lots", 800)})) == ConfigUpdateResult::kApplied);
  CHECK(holder.Update(MakeConfig(4, {})) == ConfigUpdateResult::kNotNewer);
  CHECK(holder.Update(MakeConfig(5, {})) == ConfigUpdateResult::kNotNewer);
  MeshRoute invalid_route = MakeRoute("lots", 800);
  invalid_route.weighted_services = {{"nobody", 1}};
  CHECK(holder.Update(MakeConfig(6, {invalid_route})) == ConfigUpdateResult::kInvalid);
  CHECK(holder.version() == 5);
  CHECK(holder.routes()->Match("desk.example", "/lots/1") != nullptr);
}

// Guards against a rolling upgrade in which older nodes refuse the configuration of newer ones.
TEST_CASE("a route whose kind only a later version knows is not idempotent") {
  MeshRoute download = MakeRoute("lots", 800);
  download.kind = RequestKind::kDownload;
  ConfigHolder reader;
  reader.Update(MakeConfig(1, {download}));
  wire::LinkConfig change = *reader.FullUpdate();
  change.set_routes[0].kind = 1000;
  ConfigHolder peer;
  CHECK(peer.Update(change) == ConfigUpdateResult::kApplied);
  CHECK_FALSE(peer.routes()->Match("desk.example", "/lots/1")->IsIdempotent());
}

TEST_CASE("a change is applied only to the version that it is based on") {
  const MeshConfig first = MakeConfig(1, {MakeRoute("lots", 800)});
  const MeshConfig second = MakeConfig(2, {MakeRoute("lots", 900), MakeRoute("slots", 100)});
  const MeshConfig third = MakeConfig(3, {MakeRoute("slots", 100)});
  ConfigHolder reader;
  ConfigHolder peer;
  reader.Update(first);
  CHECK(peer.Update(*reader.LastChange()) == ConfigUpdateResult::kApplied);
  reader.Update(second);
  const auto second_change = reader.LastChange();
  CHECK(second_change->set_routes.size() == 2);
  reader.Update(third);
  const auto change = reader.LastChange();
  CHECK(change->set_routes.empty());
  CHECK(change->removed_routes == std::vector<std::string>{"lots"});
  CHECK(peer.Update(*change) == ConfigUpdateResult::kWrongBase);
  CHECK(peer.version() == 1);
  CHECK(peer.Update(*reader.FullUpdate()) == ConfigUpdateResult::kApplied);
  CHECK(peer.version() == 3);
  CHECK(peer.Update(*second_change) == ConfigUpdateResult::kNotNewer);
}

// Guards against a removed key that stays valid at the nodes that get the change from a reader.
TEST_CASE("changes of accounts reach other nodes") {
  const auto make = [](int64_t version, std::vector<ClientAccount> accounts) {
    MeshRoute open = MakeRoute("open", 800);
    open.is_public = true;
    MeshConfig config = MakeConfig(version, {open});
    config.accounts = std::move(accounts);
    return config;
  };
  ConfigHolder reader;
  ConfigHolder peer;
  reader.Update(make(1, {{"a", {"k1", "k2"}, 0, 2.5, 7}, {"b", {"k3"}, std::nullopt, 0, 0}}));
  CHECK(peer.Update(*reader.FullUpdate()) == ConfigUpdateResult::kApplied);
  CHECK(peer.routes()->config().accounts == reader.routes()->config().accounts);
  CHECK(peer.routes()->Match("desk.example", "/open/1")->is_public);
  CHECK(peer.routes()->FindAccountByKey("k2")->name == "a");
  reader.Update(make(2, {{"a", {"k2"}, std::nullopt, 2.5, 7}}));
  CHECK(peer.Update(*reader.LastChange()) == ConfigUpdateResult::kApplied);
  CHECK(peer.routes()->config().accounts == reader.routes()->config().accounts);
  CHECK(peer.routes()->FindAccountByKey("k1") == nullptr);
  CHECK(peer.routes()->FindAccountByKey("k3") == nullptr);
  // The key moves to another account.
  reader.Update(make(3, {{"a", {}, std::nullopt, 0, 0}, {"c", {"k2"}, std::nullopt, 0, 0}}));
  CHECK(peer.Update(*reader.LastChange()) == ConfigUpdateResult::kApplied);
  CHECK(peer.routes()->FindAccountByKey("k2")->name == "c");
  // Neither a key of two accounts nor a limit out of range is valid, and nothing is applied.
  CHECK(peer.Update(make(4, {{"a", {"k"}, 0, 0, 0}, {"b", {"k"}, 0, 0, 0}})) ==
        ConfigUpdateResult::kInvalid);
  CHECK(peer.Update(make(4, {{"a", {"k"}, 0, -1, 0}})) == ConfigUpdateResult::kInvalid);
  CHECK(peer.Update(make(4, {{"a", {"k"}, 0, 0, 1e300}})) == ConfigUpdateResult::kInvalid);
  CHECK(peer.Update(make(4, {{"a\r\nX: y", {"k"}, 0, 0, 0}})) == ConfigUpdateResult::kInvalid);
  CHECK(peer.version() == 3);
}

TEST_CASE("a malformed change from another node leaves the configuration unchanged") {
  ConfigHolder holder;
  holder.Update(MakeConfig(1, {MakeRoute("lots", 800)}));
  wire::LinkConfig change;
  change.base = 1;
  change.version = 2;
  change.set_routes.emplace_back();
  change.set_routes[0].name = "x";
  change.set_routes[0].kind = 99;
  CHECK(holder.Update(change) == ConfigUpdateResult::kInvalid);
  CHECK(holder.version() == 1);
}

TEST_CASE("applying each change of a sequence of versions reproduces the configuration") {
  Random random(7);
  MeshConfig current = MakeConfig(1, {});
  MeshConfig replica;
  replica = ApplyMeshDelta(replica, MakeMeshDelta(replica, current));
  for (int version = 2; version < 60; ++version) {
    MeshConfig next = MakeConfig(version, {});
    for (int i = 0; i < 12; ++i) {
      if (random.NextBelow(3) > 0) {
        next.routes.push_back(
            MakeRoute("r" + std::to_string(i), 100 + static_cast<int>(random.NextBelow(2))));
      }
    }
    next.limits.max_body_bytes = random.NextBelow(1000);
    replica = ApplyMeshDelta(replica, MakeMeshDelta(current, next));
    current = next;
    const auto by_name = [](const MeshRoute& a, const MeshRoute& b) { return a.name < b.name; };
    std::sort(replica.routes.begin(), replica.routes.end(), by_name);
    std::sort(next.routes.begin(), next.routes.end(), by_name);
    REQUIRE(replica.routes == next.routes);
    REQUIRE(replica.limits.max_body_bytes == next.limits.max_body_bytes);
  }
}

}  // namespace
}  // namespace limpet
