#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "scenario/interpreter.h"

namespace limpet::scenario {
namespace {

constexpr uint64_t kSeed = 1;

std::string RunAndGetError(const std::string& text, const std::string& file) {
  try {
    Interpreter(kSeed).Run(text, file);
  } catch (const FileError& error) {
    return error.what();
  }
  return "";
}

TEST_CASE("every scenario file passes") {
  std::vector<std::filesystem::path> files;
  for (const auto& entry :
       std::filesystem::directory_iterator(LIMPET_SOURCE_DIR "/tests/scenario")) {
    if (entry.path().extension() == ".scenario") {
      files.push_back(entry.path());
    }
  }
  std::sort(files.begin(), files.end());
  REQUIRE(files.size() > 15);
  for (const auto& path : files) {
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    CHECK_MESSAGE(RunAndGetError(text.str(), path.filename().string()) == "",
                  path.filename().string());
  }
}

TEST_CASE("a scenario error names the file, the line and the expectation") {
  CHECK(RunAndGetError("nodes cork 1 desk\nexpect all ready\n", "x")
            .find("x:2: expected all ready") == 0);
  CHECK(RunAndGetError("frobnicate\n", "x") == "x:1: unknown statement 'frobnicate'");
  CHECK(RunAndGetError("wait soon s\n", "x").find("x:1: expected a duration") == 0);
  CHECK(RunAndGetError("kill nobody\n", "x") == "x:1: 'nobody' names no node");
}

}  // namespace
}  // namespace limpet::scenario
