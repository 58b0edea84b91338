#include "limpet/distribution/store_readers.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace limpet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

TEST_CASE("all nodes select the nodes with the highest link bandwidth as readers") {
  const std::map<std::string, int> nodes = {{"a", 7}, {"b", 140}, {"c", 7}, {"d", 140}, {"e", 7}};
  for (const auto& [self, link] : nodes) {
    StoreReaders readers({}, self, link);
    for (const auto& [name, mbps] : nodes) {
      if (name != self) {
        readers.OnNodeReport(kStart, name, mbps, false);
      }
    }
    auto chosen = readers.Readers(kStart);
    std::ranges::sort(chosen);
    CHECK(chosen == std::vector<std::string>{"b", "d"});
    CHECK(readers.ShouldRead(kStart, true) == (self == "b" || self == "d"));
  }
}

TEST_CASE(
    "a node without reports from readers reads the store, and goes on for the release delay") {
  StoreReaders readers({}, "a", 7);
  readers.OnNodeReport(kStart, "b", 140, false);
  readers.OnNodeReport(kStart, "c", 140, false);
  CHECK_FALSE(readers.ShouldRead(kStart + milliseconds(800), true));
  CHECK(readers.ShouldRead(kStart + milliseconds(1000), true));
  readers.OnNodeReport(kStart + milliseconds(1100), "b", 140, false);
  readers.OnNodeReport(kStart + milliseconds(1100), "c", 140, false);
  CHECK(readers.ShouldRead(kStart + milliseconds(1200), true));
  readers.OnNodeReport(kStart + seconds(6), "b", 140, false);
  readers.OnNodeReport(kStart + seconds(6), "c", 140, false);
  CHECK_FALSE(readers.ShouldRead(kStart + seconds(6), true));
}

TEST_CASE("a reader that cannot reach the store is replaced") {
  StoreReaders readers({}, "a", 7);
  readers.OnNodeReport(kStart, "b", 140, true);
  readers.OnNodeReport(kStart, "c", 140, false);
  CHECK(readers.ShouldRead(kStart, true));
}

TEST_CASE("a node without a configuration reads the store at once") {
  StoreReaders readers({}, "a", 7);
  readers.OnNodeReport(kStart, "b", 140, false);
  readers.OnNodeReport(kStart, "c", 140, false);
  CHECK(readers.ShouldRead(kStart, false));
}

}  // namespace
}  // namespace limpet
