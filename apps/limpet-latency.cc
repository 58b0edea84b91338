#include <algorithm>
#include <atomic>
#include <cxxopts.hpp>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "limpet/core/histogram.h"
#include "limpet/net/clock.h"
#include "limpet/net/target_client.h"

namespace {

using limpet::Duration;
using limpet::Histogram;

constexpr Duration kTimeout = std::chrono::seconds(10);

struct Series {
  Histogram histogram;
  int failures = 0;
};

limpet::HttpRequest MakeRequest(const std::string& path, int body_bytes) {
  limpet::HttpRequest request;
  request.method = "POST";
  request.path = path;
  request.body = std::string(static_cast<size_t>(body_bytes), 'x');
  return request;
}

/// Closed loop on one kept connection. The requests only go to stand-ins, so that a repetition by
/// the HTTP client does no harm.
void RunConnection(int port, const limpet::HttpRequest& request, int calls, Series& series) {
  limpet::TargetClient client("127.0.0.1", port);
  for (int i = 0; i < calls; ++i) {
    const auto start = limpet::MonotonicNow();
    try {
      const auto answer = client.Exchange(request, true, kTimeout, [] { return false; });
      series.failures += answer.status == 200 ? 0 : 1;
    } catch (const limpet::ExchangeError&) {
      ++series.failures;
    }
    series.histogram.Record(limpet::MonotonicNow() - start);
  }
}

Series Run(int port, const limpet::HttpRequest& request, int connections, int calls) {
  std::vector<Series> series(static_cast<size_t>(connections));
  std::vector<std::thread> threads;
  threads.reserve(series.size());
  for (auto& entry : series) {
    threads.emplace_back([&] { RunConnection(port, request, calls, entry); });
  }
  Series sum;
  for (size_t i = 0; i < threads.size(); ++i) {
    threads[i].join();
    sum.histogram.Merge(series[i].histogram);
    sum.failures += series[i].failures;
  }
  return sum;
}

void Print(int connections, const std::string& path, const Series& series) {
  std::cout << connections << " connections, " << path << ": calls " << series.histogram.count()
            << ", failures " << series.failures << ", p50 "
            << series.histogram.Percentile(0.5).count() << " us, p99 "
            << series.histogram.Percentile(0.99).count() << " us\n";
}

int Measure(const cxxopts::ParseResult& parsed) {
  const int rounds = parsed["rounds"].as<int>();
  const int calls = parsed["calls"].as<int>();
  const auto direct = MakeRequest("/direct", parsed["body-bytes"].as<int>());
  const auto routed = MakeRequest(parsed["path"].as<std::string>(), parsed["body-bytes"].as<int>());
  int failures = 0;
  for (const int connections : parsed["connections"].as<std::vector<int>>()) {
    Series direct_sum;
    Series routed_sum;
    // Alternating rounds expose both paths to the same load of the machine.
    const int share = std::max(1, calls / (rounds * connections));
    for (int round = 0; round < rounds; ++round) {
      const Series a = Run(parsed["target-port"].as<int>(), direct, connections, share);
      const Series b = Run(parsed["node-port"].as<int>(), routed, connections, share);
      direct_sum.histogram.Merge(a.histogram);
      direct_sum.failures += a.failures;
      routed_sum.histogram.Merge(b.histogram);
      routed_sum.failures += b.failures;
    }
    Print(connections, "direct", direct_sum);
    Print(connections, "over nodes", routed_sum);
    for (const double fraction : {0.5, 0.99}) {
      const auto added =
          routed_sum.histogram.Percentile(fraction) - direct_sum.histogram.Percentile(fraction);
      std::cout << connections << " connections, added p" << fraction * 100 << ": " << added.count()
                << " us\n";
    }
    failures += direct_sum.failures + routed_sum.failures;
  }
  return failures == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("limpet-latency",
                           "Latency that nodes add to calls, against direct calls in the same run");
  options.add_options()("target-port", "HTTP port of the target stand-in", cxxopts::value<int>())(
      "node-port", "HTTP port of the node that takes the calls", cxxopts::value<int>())(
      "path", "path with a route", cxxopts::value<std::string>()->default_value("/desk"))(
      "connections", "connections of each step",
      cxxopts::value<std::vector<int>>()->default_value("1,16,64"))(
      "calls", "calls of each step and path", cxxopts::value<int>()->default_value("20000"))(
      "rounds", "alternations between the paths", cxxopts::value<int>()->default_value("5"))(
      "body-bytes", "size of the request body", cxxopts::value<int>()->default_value("200"))(
      "help", "usage");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help()
                << "\nExit codes: 0 all calls succeeded, 1 some failed, 2 usage\n";
      return 0;
    }
    return Measure(parsed);
  } catch (const std::exception& error) {
    std::cerr << "limpet-latency: " << error.what() << "; see --help\n";
    return 2;
  }
}
