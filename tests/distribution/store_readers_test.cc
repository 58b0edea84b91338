#include "limpet/distribution/store_readers.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

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
    CHECK((readers.Role(kStart, true) != ReaderRole::kNone) == (self == "b" || self == "d"));
  }
}

TEST_CASE(
    "a node without reports from readers reads the store, and goes on for the release delay") {
  StoreReaders readers({}, "a", 7);
  readers.OnNodeReport(kStart, "b", 140, false);
  readers.OnNodeReport(kStart, "c", 140, false);
  CHECK(readers.Role(kStart + milliseconds(800), true) == ReaderRole::kNone);
  CHECK(readers.Role(kStart + milliseconds(1000), true) == ReaderRole::kPrimary);
  readers.OnNodeReport(kStart + milliseconds(1100), "b", 140, false);
  readers.OnNodeReport(kStart + milliseconds(1100), "c", 140, false);
  CHECK(readers.Role(kStart + milliseconds(1200), true) != ReaderRole::kNone);
  readers.OnNodeReport(kStart + seconds(6), "b", 140, false);
  readers.OnNodeReport(kStart + seconds(6), "c", 140, false);
  CHECK(readers.Role(kStart + seconds(6), true) == ReaderRole::kNone);
}

TEST_CASE("a reader that cannot reach the store is replaced") {
  StoreReaders readers({}, "a", 7);
  readers.OnNodeReport(kStart, "b", 140, true);
  readers.OnNodeReport(kStart, "c", 140, false);
  CHECK(readers.Role(kStart, true) == ReaderRole::kSecondary);
}

TEST_CASE("a node without a configuration reads the store at once") {
  StoreReaders readers({}, "a", 7);
  readers.OnNodeReport(kStart, "b", 140, false);
  readers.OnNodeReport(kStart, "c", 140, false);
  CHECK(readers.Role(kStart, false) == ReaderRole::kPrimary);
}

TEST_CASE("the reader with the best rank is the primary, and the next one follows when it fails") {
  StoreReaders readers({}, "a", 100);
  readers.OnNodeReport(kStart, "b", 140, false);
  CHECK(readers.Role(kStart, true) == ReaderRole::kSecondary);
  readers.OnNodeReport(kStart + milliseconds(100), "b", 140, true);
  CHECK(readers.Role(kStart + milliseconds(100), true) == ReaderRole::kPrimary);
  readers.OnNodeReport(kStart + milliseconds(200), "b", 140, false);
  CHECK(readers.Role(kStart + milliseconds(200), true) == ReaderRole::kSecondary);
  readers.Remove("b");
  readers.OnNodeReport(kStart + milliseconds(300), "c", 7, false);
  CHECK(readers.Role(kStart + milliseconds(300), true) == ReaderRole::kPrimary);
}

// Load: an outage of the store that all nodes of a large data centre notice. Guards against calls
// of all nodes to the store for its whole length.
TEST_CASE("in a general outage few nodes try to read at first, and their number doubles") {
  constexpr int kNodes = 100;
  std::vector<std::string> names;
  for (int i = 0; i < kNodes; ++i) {
    names.push_back("node-" + std::to_string(i));
  }
  std::vector<StoreReaders> nodes;
  for (const std::string& name : names) {
    nodes.emplace_back(StoreReadersOptions{}, name, 100);
  }
  const auto count_reading = [&](Duration since_outage) {
    int reading = 0;
    for (int self = 0; self < kNodes; ++self) {
      for (int other = 0; other < kNodes; ++other) {
        if (other != self) {
          nodes[self].OnNodeReport(kStart + since_outage, names[other], 100, true);
        }
      }
      reading += nodes[self].Role(kStart + since_outage, true) != ReaderRole::kNone ? 1 : 0;
    }
    return reading;
  };
  CHECK(count_reading(Duration(0)) == 4);
  CHECK(count_reading(milliseconds(1000)) == 8);
  CHECK(count_reading(milliseconds(2000)) == 16);
  CHECK(count_reading(milliseconds(5000)) == kNodes);
}

}  // namespace
}  // namespace limpet
