#include "limpet/config/inventory.h"

#include <doctest/doctest.h>

#include "config/sample_config.h"
#include "limpet/config/config.h"
#include "limpet/core/random.h"

namespace limpet {
namespace {

const std::string kInventory = R"(# tickets
[service ticket-desk]
timeout_ms = 1000
idempotent_methods = GET
slots = 12
connections = 130

[target t1]
service = ticket-desk
data_centre = munster-1
address = 10.0.0.1:8080

[rule strict]
retry = yes
max_attempts = 2
deadline_ms = 2000

[route desk]
path_prefix = /desk
service = ticket-desk
rule = strict
)";

/// Returns the error message for the inventory with `from` replaced by `to`; empty if it parses.
std::string GetErrorAfterReplacing(const std::string& from, const std::string& to) {
  std::string text = kInventory;
  text.replace(text.find(from), from.size(), to);
  try {
    ParseInventory(text, "mesh.ini");
  } catch (const FileError& error) {
    return error.what();
  }
  return "";
}

TEST_CASE("an inventory is parsed to a configuration") {
  CHECK(ParseInventory(kInventory, "mesh.ini") == SampleConfig());
  CHECK(ParseInventory("", "mesh.ini") == wire::FullConfig());
}

TEST_CASE("an error message names the file, the line, the key and the correction") {
  CHECK(GetErrorAfterReplacing("slots = 12", "slots = 0") ==
        "mesh.ini:5: slots = \"0\" in [service ticket-desk] is not allowed; allowed is a whole "
        "number from 1 to 100000");
  CHECK(GetErrorAfterReplacing("slots = 12", "slots = 1e3").find("mesh.ini:5: slots = \"1e3\"") ==
        0);
  CHECK(GetErrorAfterReplacing("slots = 12", "slots = 99999999999").find("mesh.ini:5: slots") == 0);
  CHECK(GetErrorAfterReplacing("slots", "slot") ==
        "mesh.ini:5: unknown key \"slot\" in [service ticket-desk]; known keys are timeout_ms, "
        "idempotent_methods, slots, connections");
  CHECK(GetErrorAfterReplacing("slots = 12\n", "") ==
        "mesh.ini:2: [service ticket-desk] lacks the key slots; add a line \"slots = VALUE\"");
  CHECK(GetErrorAfterReplacing("[rule", "[rules")
            .find("mesh.ini:13: unknown kind of section [rules strict]") == 0);
  CHECK(GetErrorAfterReplacing("[rule strict]", "[rule]")
            .find("mesh.ini:13: the section [rule] has no valid") == 0);
  CHECK(GetErrorAfterReplacing("retry = yes", "retry = maybe")
            .find("mesh.ini:14: retry = \"maybe\"") == 0);
  CHECK(GetErrorAfterReplacing("= GET", "= GET,,").find("mesh.ini:4: idempotent_methods") == 0);
  CHECK(GetErrorAfterReplacing("10.0.0.1:8080", "10.0.0.1").find("mesh.ini:11: address") == 0);
}

TEST_CASE("the error for an unknown reference names the line of the reference") {
  CHECK(GetErrorAfterReplacing("service = ticket-desk\nrule", "service = desk\nrule") ==
        "mesh.ini:20: route desk refers to the unknown service desk; define [service desk] or "
        "correct service");
  CHECK(GetErrorAfterReplacing("rule = strict", "rule = lax")
            .find("mesh.ini:21: route desk refers") == 0);
  CHECK(GetErrorAfterReplacing("service = ticket-desk\ndata", "service = x\ndata")
            .find("mesh.ini:9:") == 0);
}

TEST_CASE("a duplicate resource, key or prefix is an error") {
  CHECK(GetErrorAfterReplacing("[rule strict]", "[target t1]")
            .find("mesh.ini:13: target t1 is defined twice, first in line 8") == 0);
  CHECK(GetErrorAfterReplacing("slots = 12", "slots = 12\nslots = 12")
            .find("mesh.ini:6: key \"slots\"") == 0);
  CHECK(GetErrorAfterReplacing("[route desk]",
                               "[route a]\npath_prefix = /desk\nservice = ticket-desk\nrule = "
                               "strict\n[route desk]")
            .find("mesh.ini:23: route desk has the path_prefix \"/desk\" of route \"a\"") == 0);
}

TEST_CASE("the error for invalid INI text names its line") {
  CHECK(GetErrorAfterReplacing("[target t1]", "[target t1] x").find("mesh.ini:8: not INI text") ==
        0);
  CHECK(GetErrorAfterReplacing("slots = 12", "slots 12").find("mesh.ini:5: not INI text") == 0);
  CHECK(GetErrorAfterReplacing("# tickets", "slots = 1")
            .find("mesh.ini:1: key \"slots\" stands before") == 0);
  CHECK(GetErrorAfterReplacing("ticket-desk]", "ticket\x01]")
            .find("mesh.ini:2: a control character") == 0);
}

TEST_CASE("parsing a formatted configuration gives the same configuration") {
  wire::FullConfig config = SampleConfig();
  config.version = 7;
  config.routes.push_back(MakeRoute("odd", "/a\\n\"b';=[c]", {"x", "y.z"}));
  CHECK(ParseInventory(FormatInventory(config), "mesh.ini") == config);
}

TEST_CASE("random edits of the text give a valid configuration or a file error") {
  Random random(1);
  int parsed = 0;
  static constexpr char kAlphabet[] = "[]=\n\r\"'\\;# \t,/a1\0\xc3\xff:";
  for (int round = 0; round < 5000; ++round) {
    std::string text = random.NextBelow(2) == 0 ? kInventory : "";
    for (uint64_t edits = 1 + random.NextBelow(12); edits > 0; --edits) {
      const char c = kAlphabet[random.NextBelow(sizeof(kAlphabet) - 1)];
      const uint64_t position = random.NextBelow(text.size() + 1);
      if (random.NextBelow(3) == 0) {
        text.erase(position, random.NextBelow(20));
      } else {
        text.insert(text.begin() + static_cast<std::ptrdiff_t>(position), c);
      }
    }
    try {
      const wire::FullConfig config = ParseInventory(text, "mesh.ini");
      CHECK(FindProblems(config).empty());
      CHECK(ParseInventory(FormatInventory(config), "mesh.ini") == config);
      ++parsed;
    } catch (const FileError& error) {
      CHECK(error.location().file == "mesh.ini");
    }
  }
  // The test is only meaningful if both outcomes occur.
  CHECK(parsed > 100);
  CHECK(parsed < 4900);
}

}  // namespace
}  // namespace limpet
