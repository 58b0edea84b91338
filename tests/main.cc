#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>

namespace {

/// Passes over exactly the test cases that KNOWN-RED.txt names and prints them. With
/// LIMPET_RUN_KNOWN_RED set they run.
void ExcludeKnownRed(doctest::Context& context) {
  const std::string mark = "test: ";
  std::ifstream list(LIMPET_SOURCE_DIR "/KNOWN-RED.txt");
  for (std::string line; std::getline(list, line);) {
    if (line.starts_with(mark)) {
      context.addFilter("test-case-exclude", line.substr(mark.size()).c_str());
      std::cout << "known red, not run: " << line.substr(mark.size()) << "\n";
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
