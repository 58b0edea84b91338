#include "limpet/traffic/connection_subset.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>

namespace limpet {
namespace {

constexpr size_t kWidth = 6;

std::vector<Endpoint> MakeEndpoints(int count) {
  std::vector<Endpoint> endpoints;
  for (int i = 0; i < count; ++i) {
    endpoints.push_back({"t" + std::to_string(i), 1, "dc" + std::to_string(i % 3), "", 0, true});
  }
  return endpoints;
}

TEST_CASE("removing an endpoint replaces at most one member of a subset") {
  const std::vector<Endpoint> all = MakeEndpoints(30);
  for (const Endpoint& removed : all) {
    std::vector<Endpoint> rest = all;
    std::erase(rest, removed);
    const auto before = SelectSubset("caller", "dc0", all, kWidth);
    const auto after = SelectSubset("caller", "dc0", rest, kWidth);
    const auto kept = std::count_if(before.begin(), before.end(), [&](const Endpoint& endpoint) {
      return std::find(after.begin(), after.end(), endpoint) != after.end();
    });
    CHECK(kept >= static_cast<long>(kWidth) - 1);
  }
}

TEST_CASE("callers spread over all endpoints and connect at least half of their subset locally") {
  constexpr int kCallers = 600;
  constexpr int kEndpoints = 30;
  std::map<std::string, int> connections;
  for (int i = 0; i < kCallers; ++i) {
    const std::string data_centre = "dc" + std::to_string(i % 3);
    const auto subset =
        SelectSubset("c" + std::to_string(i), data_centre, MakeEndpoints(kEndpoints), kWidth);
    CHECK(subset.size() == kWidth);
    size_t local = 0;
    for (const Endpoint& endpoint : subset) {
      ++connections[endpoint.node];
      local += endpoint.data_centre == data_centre ? 1 : 0;
    }
    CHECK(local >= kWidth / 2);
  }
  const int mean = kCallers * static_cast<int>(kWidth) / kEndpoints;
  CHECK(connections.size() == kEndpoints);
  for (const auto& [node, count] : connections) {
    CHECK(count > mean / 2);
    CHECK(count < mean * 3 / 2);
  }
}

}  // namespace
}  // namespace limpet
