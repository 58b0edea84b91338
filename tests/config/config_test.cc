#include "limpet/config/config.h"

#include <doctest/doctest.h>

#include "config/sample_config.h"
#include "limpet/core/random.h"

namespace limpet {
namespace {

/// True if exactly one problem is found and it contains `text`.
bool HasOnlyProblem(const wire::FullConfig& config, const std::string& text) {
  const auto problems = FindProblems(config);
  CAPTURE(problems.size());
  return problems.size() == 1 && problems[0].find(text) != std::string::npos;
}

TEST_CASE("a consistent configuration has no problems") {
  CHECK(FindProblems(SampleConfig()).empty());
  CHECK(FindProblems(wire::FullConfig()).empty());
}

TEST_CASE("a reference to a missing resource is a problem") {
  wire::FullConfig config = SampleConfig();
  SUBCASE("service of a route") {
    config.routes[0].service_name = "absent";
    CHECK(HasOnlyProblem(config, "route \"desk\" refers to the unknown service \"absent\""));
  }
  SUBCASE("rule of a route") {
    config.routes[0].rule = "absent";
    CHECK(HasOnlyProblem(config, "route \"desk\" refers to the unknown rule \"absent\""));
  }
  SUBCASE("service of a target") {
    config.targets[0].service_name = "absent";
    CHECK(HasOnlyProblem(config, "target \"t1\" refers to the unknown service \"absent\""));
  }
}

TEST_CASE("a value out of range is a problem") {
  wire::FullConfig config = SampleConfig();
  SUBCASE("timeout") {
    config.services[0].timeout_ms = 0;
    CHECK(HasOnlyProblem(config, "timeout_ms = 0; allowed is 1 to 600000"));
  }
  SUBCASE("attempts") {
    config.rules[0].max_attempts = 11;
    CHECK(HasOnlyProblem(config, "max_attempts = 11; allowed is 1 to 10"));
  }
  SUBCASE("address") {
    config.targets[0].address = "10.0.0.1:70000";
    CHECK(HasOnlyProblem(config, "invalid address"));
  }
  SUBCASE("prefix") {
    config.routes[0].path_prefix = "/desk/";
    CHECK(HasOnlyProblem(config, "invalid path_prefix"));
  }
  SUBCASE("name with control bytes is escaped in the message") {
    config.targets[0].name = "a\n\xff";
    CHECK(HasOnlyProblem(config, "target \"a\\x0a\\xff\" has an invalid name"));
  }
}

TEST_CASE("a name defined twice is a problem") {
  wire::FullConfig config = SampleConfig();
  config.targets.push_back(config.targets[0]);
  CHECK(HasOnlyProblem(config, "target \"t1\" is defined more than once"));
}

TEST_CASE("routes with the same prefix must not share a caller") {
  const auto has_conflict = [](std::vector<std::string> first, std::vector<std::string> second) {
    wire::FullConfig config = SampleConfig();
    config.routes = {MakeRoute("one", "/desk", first), MakeRoute("two", "/desk", second)};
    return !FindProblems(config).empty();
  };
  CHECK(has_conflict({}, {}));
  CHECK(has_conflict({}, {"a"}));
  CHECK(has_conflict({"a"}, {}));
  CHECK(has_conflict({"a", "b"}, {"b"}));
  CHECK_FALSE(has_conflict({"a"}, {"b"}));
}

TEST_CASE("a validation error lists every problem") {
  wire::FullConfig config = SampleConfig();
  config.services.clear();
  try {
    Validate(config);
    FAIL("no error");
  } catch (const ValidationError& error) {
    CHECK(error.problems().size() == 2);
    CHECK(std::string(error.what()).find("and 1 more") != std::string::npos);
  }
}

/// Returns a random valid configuration. Names come from a small set, so that two configurations
/// overlap.
wire::FullConfig MakeRandomConfig(Random& random) {
  wire::FullConfig config = SampleConfig();
  config.targets.clear();
  for (int i = 0; i < 8; ++i) {
    if (random.NextBelow(2) == 0) {
      config.targets.push_back(MakeTarget("t" + std::to_string(i), "ticket-desk"));
      config.targets.back().address = "10.0.0.1:" + std::to_string(1 + random.NextBelow(2));
    }
    if (random.NextBelow(2) == 0) {
      config.routes.push_back(MakeRoute("r" + std::to_string(i), "/r" + std::to_string(i)));
    }
  }
  return config;
}

TEST_CASE("applying the diff of two configurations to the first gives the second") {
  Random random(1);
  for (int round = 0; round < 500; ++round) {
    const wire::FullConfig from = MakeRandomConfig(random);
    const wire::FullConfig to = MakeRandomConfig(random);
    const wire::ConfigDelta delta = Diff(from, to);
    const wire::FullConfig result = ApplyDelta(from, delta);
    CHECK(result.targets == to.targets);
    CHECK(Diff(result, to) == wire::ConfigDelta());
    CHECK(IsEmpty(delta) == (from == to));
  }
}

TEST_CASE("a delta that sets one name twice does not validate") {
  wire::ConfigDelta delta;
  delta.set_targets = {MakeTarget("t9", "ticket-desk"), MakeTarget("t9", "ticket-desk")};
  CHECK_FALSE(FindProblems(ApplyDelta(SampleConfig(), delta)).empty());
}

TEST_CASE("applying a delta keeps the version and next offset of the base") {
  wire::FullConfig base = SampleConfig();
  base.version = 7;
  base.next_offset = 9;
  const wire::FullConfig result = ApplyDelta(base, wire::ConfigDelta());
  CHECK(result == base);
}

}  // namespace
}  // namespace limpet
