#include "limpet/access/access_policy.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace limpet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

wire::Header MakeHeader(const std::string& name, const std::string& value) {
  wire::Header header;
  header.name = name;
  header.value = value;
  return header;
}

MeshRoute MakeRoute(const std::string& name, bool is_public) {
  MeshRoute route;
  route.name = name;
  route.host = "desk.example";
  route.path_prefix = "/" + name + "/";
  route.timeout = seconds(1);
  route.priority = 2;
  route.weighted_services = {{"desk", 1}};
  route.is_public = is_public;
  return route;
}

MeshConfig MakeConfig(std::vector<ClientAccount> accounts) {
  MeshConfig config;
  config.version = 1;
  config.services = {{"desk", "/health", 130}};
  config.routes = {MakeRoute("lots", false), MakeRoute("open", true)};
  config.accounts = std::move(accounts);
  return config;
}

/// A node with two accounts, of which one replaces the priority of routes.
struct Fixture {
  TimePoint now{std::chrono::hours(1)};
  RouteTable routes{MakeConfig({{"first", {"k1", "k1-next"}, std::nullopt, 0, 0},
                                {"urgent", {"k2"}, 0, 0, 0},
                                {"without keys", {}, std::nullopt, 0, 0}})};
  KnowledgeClock clock;
  AccessOptions options{"Api-Key", false, seconds(5)};
  AccessPolicy policy{options, clock};

  AccessDecision Decide(const std::string& path, const std::vector<wire::Header>& headers) {
    return policy.Decide(now, routes, *routes.Match("desk.example", path), headers);
  }
  AccessResult DecideKey(const std::string& key) {
    return Decide("/lots/1", {MakeHeader("Api-Key", key)}).result;
  }
  void SetStrict() {
    options.strict_revocation = true;
    policy.set_options(options);
  }
};

TEST_CASE_FIXTURE(Fixture, "a key leads to its account and its priority") {
  const AccessDecision first = Decide("/lots/1", {MakeHeader("api-KEY", "k1-next")});
  CHECK(first.result == AccessResult::kAllowed);
  CHECK(first.account == "first");
  CHECK(first.priority == 2);
  const AccessDecision urgent = Decide("/lots/1", {MakeHeader("Api-Key", "k2")});
  CHECK(urgent.account == "urgent");
  CHECK(urgent.priority == 0);
}

TEST_CASE_FIXTURE(Fixture, "a request without exactly one known key is unauthorised") {
  clock.OnProof(now);
  for (const char* key : {"", "k", "k11", "K1", "Bearer k1", "k1,k2", "first"}) {
    CHECK(DecideKey(key) == AccessResult::kUnauthorized);
  }
  CHECK(Decide("/lots/1", {}).result == AccessResult::kUnauthorized);
  // Two headers with the same valid key, in different cases.
  CHECK(Decide("/lots/1", {MakeHeader("Api-Key", "k1"), MakeHeader("api-key", "k1")}).result ==
        AccessResult::kUnauthorized);
  CHECK(Decide("/lots/1", {MakeHeader("X-Api-Key", "k1")}).result == AccessResult::kUnauthorized);
}

TEST_CASE_FIXTURE(Fixture, "a public route needs neither a key nor a proof") {
  SetStrict();
  for (const char* key : {"", "k1", "unknown"}) {
    const AccessDecision decision = Decide("/open/1", {MakeHeader("Api-Key", key)});
    CHECK(decision.result == AccessResult::kAllowed);
    CHECK(decision.account.empty());
    CHECK(decision.priority == 2);
  }
}

TEST_CASE_FIXTURE(Fixture, "without accounts every request is allowed") {
  SetStrict();
  const RouteTable open(MakeConfig({}));
  const MeshRoute& route = *open.Match("desk.example", "/lots/1");
  CHECK(policy.Decide(now, open, route, {MakeHeader("Api-Key", "k1")}).result ==
        AccessResult::kAllowed);
  CHECK(policy.Decide(now, open, route, {}).result == AccessResult::kAllowed);
}

// Guards against 401 for a key that the operator has added, at a node whose configuration is old.
TEST_CASE_FIXTURE(Fixture, "an unknown key is unauthorised only with a recent proof") {
  CHECK(DecideKey("new") == AccessResult::kNotCurrent);
  CHECK(policy.last_not_current() == now);
  clock.OnProof(now - seconds(2));
  CHECK(DecideKey("new") == AccessResult::kUnauthorized);
  now += Duration(1);
  const AccessDecision decision = Decide("/lots/1", {MakeHeader("Api-Key", "new")});
  CHECK(decision.result == AccessResult::kNotCurrent);
  CHECK(decision.retry_after > Duration(0));
  // Without strict revocation, a known key is served however old the configuration is.
  CHECK(DecideKey("k1") == AccessResult::kAllowed);
}

// Guards against serving a removed key at a node that does not learn of the removal.
TEST_CASE_FIXTURE(Fixture, "with strict revocation a key is served only with a proof") {
  SetStrict();
  CHECK(DecideKey("k1") == AccessResult::kNotCurrent);
  clock.OnProof(now - milliseconds(5000));
  CHECK(DecideKey("k1") == AccessResult::kAllowed);
  now += Duration(1);
  CHECK(DecideKey("k1") == AccessResult::kNotCurrent);
  CHECK(DecideKey("unknown") == AccessResult::kNotCurrent);
}

}  // namespace
}  // namespace limpet
