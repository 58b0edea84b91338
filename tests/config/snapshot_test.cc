#include "limpet/config/snapshot.h"

#include <doctest/doctest.h>

#include "config/sample_config.h"
#include "limpet/config/config.h"

namespace limpet {
namespace {

std::string FindRouteName(const ConfigSnapshot& snapshot,
                          std::string_view path,
                          std::string_view caller) {
  const wire::Route* route = snapshot.FindRoute(path, caller);
  return route == nullptr ? "" : route->name;
}

TEST_CASE("constructing a snapshot of an invalid configuration throws") {
  wire::FullConfig config = SampleConfig();
  config.rules.clear();
  CHECK_THROWS_AS(ConfigSnapshot{config}, ValidationError);
}

TEST_CASE("the route with the longest prefix of whole path segments is chosen") {
  wire::FullConfig config = SampleConfig();
  config.routes = {MakeRoute("all", "/"), MakeRoute("desk", "/desk"),
                   MakeRoute("queue", "/desk/queue")};
  const ConfigSnapshot snapshot(config);
  CHECK(FindRouteName(snapshot, "/desk/queue/7", "x") == "queue");
  CHECK(FindRouteName(snapshot, "/desk/queues", "x") == "desk");
  CHECK(FindRouteName(snapshot, "/desk?a=/desk/queue", "x") == "desk");
  CHECK(FindRouteName(snapshot, "/desks", "x") == "all");
  CHECK(FindRouteName(snapshot, "/", "x") == "all");
  CHECK(FindRouteName(snapshot, "", "x").empty());
  CHECK(FindRouteName(snapshot, "desk", "x").empty());
}

TEST_CASE("a route is found only for the callers that it allows") {
  wire::FullConfig config = SampleConfig();
  config.routes = {MakeRoute("one", "/desk", {"a"}), MakeRoute("two", "/desk", {"b"}),
                   MakeRoute("open", "/")};
  const ConfigSnapshot snapshot(config);
  CHECK(FindRouteName(snapshot, "/desk", "a") == "one");
  CHECK(FindRouteName(snapshot, "/desk", "b") == "two");
  CHECK(FindRouteName(snapshot, "/desk", "c") == "open");
}

TEST_CASE("resources are found by name") {
  wire::FullConfig config = SampleConfig();
  config.services.insert(config.services.begin(), MakeService("zebra"));
  const ConfigSnapshot snapshot(config);
  CHECK(snapshot.FindService("zebra")->name == "zebra");
  CHECK(snapshot.FindService("ticket-desk")->name == "ticket-desk");
  CHECK(snapshot.FindRule("strict")->deadline_ms == 2000);
  CHECK(snapshot.FindTarget("t1")->service_name == "ticket-desk");
  CHECK(snapshot.FindService("absent") == nullptr);
}

}  // namespace
}  // namespace limpet
