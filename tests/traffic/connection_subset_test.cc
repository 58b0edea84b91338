#include "limpet/traffic/connection_subset.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>

namespace limpet {
namespace {

constexpr size_t kWidth = 6;

std::vector<Endpoint> Endpoints(int count) {
  std::vector<Endpoint> endpoints;
  for (int i = 0; i < count; ++i) {
    endpoints.push_back({"t" + std::to_string(i), 1, "dc" + std::to_string(i % 3), "", 0, true});
  }
  return endpoints;
}

TEST_CASE("the loss of one endpoint replaces at most one member") {
  const std::vector<Endpoint> all = Endpoints(30);
  for (const Endpoint& lost : all) {
    std::vector<Endpoint> rest = all;
    std::erase(rest, lost);
    const auto before = SelectSubset("caller", "dc0", all, kWidth);
    const auto after = SelectSubset("caller", "dc0", rest, kWidth);
    const auto kept = std::count_if(before.begin(), before.end(), [&](const Endpoint& endpoint) {
      return std::find(after.begin(), after.end(), endpoint) != after.end();
    });
    CHECK(kept >= static_cast<long>(kWidth) - 1);
  }
}

TEST_CASE("half of the subset is local") {
  const auto subset = SelectSubset("caller", "dc1", Endpoints(30), kWidth);
  CHECK(subset.size() == kWidth);
  CHECK(std::count_if(subset.begin(), subset.end(), [](const Endpoint& endpoint) {
          return endpoint.data_centre == "dc1";
        }) >= static_cast<long>(kWidth) / 2);
}

TEST_CASE("callers spread over all endpoints") {
  constexpr int kCallers = 600;
  constexpr int kEndpoints = 30;
  std::map<std::string, int> connections;
  for (int i = 0; i < kCallers; ++i) {
    const std::string data_centre = "dc" + std::to_string(i % 3);
    for (const auto& endpoint :
         SelectSubset("c" + std::to_string(i), data_centre, Endpoints(kEndpoints), kWidth)) {
      ++connections[endpoint.node];
    }
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
