#include <doctest/doctest.h>

#include <string>

#include "limpet/core/error.h"
#include "limpet/load/experiment.h"

namespace limpet::load {
namespace {

const char* const kValid =
    "[experiment]\nname = overload\nseed = 7\n"
    "[workload booking]\nmethod = POST\npath = /tickets\nidempotent = false\n"
    "[phase steady]\nseconds = 2\nrate = 100\n"
    "[fault slow]\nat_seconds = 1\nstand_in = 127.0.0.1:9\nbody = {}\n"
    "[arm a]\nnodes = 127.0.0.1:1, 127.0.0.1:2\n";

std::string ParseError(const std::string& text) {
  try {
    ParseExperiment(text, "x.ini");
  } catch (const FileError& error) {
    return error.what();
  }
  return "";
}

TEST_CASE("all sections of an experiment file are parsed") {
  const Experiment experiment = ParseExperiment(kValid, "x.ini");
  CHECK(experiment.seed == 7);
  CHECK_FALSE(experiment.workloads.at(0).idempotent);
  CHECK(experiment.phases.at(0).rate == 100);
  CHECK(experiment.faults.at(0).stand_in == HostPort{"127.0.0.1", 9});
  CHECK(experiment.arms.at(0).nodes.size() == 2);
}

TEST_CASE("an error names the file, the line and the key") {
  CHECK(ParseError(std::string(kValid) + "[phase x]\nrate = fast\n").find("x.ini:18: key 'rate'") ==
        0);
  CHECK(ParseError(std::string(kValid) + "[phase x]\nspeed = 1\n").find("x.ini:18: unknown key") ==
        0);
  CHECK(ParseError(std::string(kValid) + "[arm b]\nnodes = here\n").find("is not host:port") !=
        std::string::npos);
}

TEST_CASE("an experiment without an arm is refused") {
  CHECK(ParseError("[experiment]\nname = x\n").find("needs at least one") != std::string::npos);
}

}  // namespace
}  // namespace limpet::load
