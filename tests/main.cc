#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>

namespace {

/// Excludes exactly the test cases that KNOWN-RED.txt lists and prints their names. They are not
/// excluded if the environment variable LIMPET_RUN_KNOWN_RED is set.
void ExcludeKnownRed(doctest::Context& context) {
  const std::string prefix = "test: ";
  std::ifstream list(LIMPET_SOURCE_DIR "/KNOWN-RED.txt");
  for (std::string line; std::getline(list, line);) {
    if (line.starts_with(prefix)) {
      context.addFilter("test-case-exclude", line.substr(prefix.size()).c_str());
      std::cout << "known red, not run: " << line.substr(prefix.size()) << "\n";
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  doctest::Context context(argc, argv);
  if (std::getenv("LIMPET_RUN_KNOWN_RED") == nullptr) {
    ExcludeKnownRed(context);
  }
  return context.run();
}
