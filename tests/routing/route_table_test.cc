#include "limpet/routing/route_table.h"

#include <doctest/doctest.h>

#include "limpet/routing/traffic_splitter.h"

namespace limpet {
namespace {

using std::chrono::milliseconds;

MeshRoute MakeRoute(const std::string& name, const std::string& prefix) {
  MeshRoute route;
  route.name = name;
  route.host = "desk.example";
  route.path_prefix = prefix;
  route.timeout = milliseconds(800);
  route.weighted_services = {{"desk", 1}};
  return route;
}

MeshConfig MakeConfig() {
  MeshConfig config;
  config.version = 7;
  config.services = {{"desk", "/health", 130}, {"store", "/health", 130}};
  config.routes = {MakeRoute("lots", "/lots/"), MakeRoute("old", "/lots/old/")};
  return config;
}

TEST_CASE("the route with the longest matching prefix is selected") {
  const RouteTable table(MakeConfig());
  CHECK(table.Match("desk.example", "/lots/1")->name == "lots");
  CHECK(table.Match("desk.example", "/lots/old/1")->name == "old");
  CHECK(table.Match("desk.example", "/lots/older/1")->name == "lots");
  CHECK(table.Match("Desk.Example:8080", "/lots/1?next=/lots/old/")->name == "lots");
}

TEST_CASE("a prefix matches only whole path segments") {
  const RouteTable table(MakeConfig());
  CHECK(table.Match("desk.example", "/lots") == nullptr);
  CHECK(table.Match("desk.example", "/lotsofthings/1") == nullptr);
  CHECK(table.Match("other.example", "/lots/1") == nullptr);
  CHECK(table.Match("", "") == nullptr);
}

TEST_CASE("an invalid configuration is refused as a whole") {
  MeshConfig config = MakeConfig();
  SUBCASE("unknown service") {
    config.routes[1].weighted_services = {{"nobody", 1}};
  }
  SUBCASE("no host") {
    config.routes[1].host.clear();
  }
  SUBCASE("two routes with the same host and prefix") {
    config.routes[1].path_prefix = "/lots/";
  }
  SUBCASE("prefix without slash") {
    config.routes[1].path_prefix = "/lots";
  }
  SUBCASE("no timeout") {
    config.routes[1].timeout = milliseconds(0);
  }
  SUBCASE("all weights zero") {
    config.routes[1].weighted_services = {{"desk", 0}};
  }
  SUBCASE("no service") {
    config.routes[1].weighted_services.clear();
  }
  CHECK_THROWS_AS(RouteTable{config}, InvalidMeshConfig);
}

TEST_CASE("a traffic split follows its weights in every short run of requests") {
  MeshRoute route = MakeRoute("lots", "/lots/");
  route.weighted_services = {{"desk", 90}, {"store", 10}};
  TrafficSplitter picker(Random(1));
  for (int run = 0; run < 20; ++run) {
    int store = 0;
    for (int i = 0; i < 50; ++i) {
      store += picker.Pick(route) == "store" ? 1 : 0;
    }
    CHECK(store >= 4);
    CHECK(store <= 6);
  }
}

TEST_CASE("new weights of a traffic split take effect at the next request") {
  MeshRoute route = MakeRoute("lots", "/lots/");
  route.weighted_services = {{"desk", 100}, {"store", 0}};
  TrafficSplitter picker(Random(1));
  for (int i = 0; i < 100; ++i) {
    CHECK(picker.Pick(route) == "desk");
  }
  route.weighted_services = {{"desk", 0}, {"store", 100}};
  for (int i = 0; i < 100; ++i) {
    CHECK(picker.Pick(route) == "store");
  }
}

}  // namespace
}  // namespace limpet
