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

/// One step of the measurement on one path.
struct Step {
  int port = 0;
  limpet::HttpRequest request;
  int connections = 1;
  int calls = 1;
  /// Time between the starts of two calls of one connection; 0 is a closed loop.
  Duration interval{0};
};

limpet::HttpRequest MakeRequest(const std::string& method,
                                const std::string& path,
                                int body_bytes) {
  limpet::HttpRequest request;
  request.method = method;
  request.path = path;
  request.body = std::string(static_cast<size_t>(body_bytes), 'x');
  return request;
}

bool Succeeds(limpet::TargetClient& client, const limpet::HttpRequest& request) {
  try {
    // The requests only go to stand-ins, so that a repetition by the HTTP client does no harm.
    return client.Exchange(request, true, kTimeout, [] { return false; }).status == 200;
  } catch (const limpet::ExchangeError&) {
    return false;
  }
}

void RunConnection(const Step& step, Series& series) {
  limpet::TargetClient client("127.0.0.1", step.port);
  // The first call opens connections on the way; a kept connection is what is measured.
  Succeeds(client, step.request);
  auto next = limpet::MonotonicNow();
  for (int i = 0; i < step.calls; ++i) {
    std::this_thread::sleep_until(next);
    const auto start = limpet::MonotonicNow();
    series.failures += Succeeds(client, step.request) ? 0 : 1;
    series.histogram.Record(limpet::MonotonicNow() - start);
    next = std::max(next + step.interval, limpet::MonotonicNow());
  }
}

Series Run(const Step& step) {
  std::vector<Series> series(static_cast<size_t>(step.connections));
  std::vector<std::thread> threads;
  threads.reserve(series.size());
  for (auto& entry : series) {
    threads.emplace_back([&] { RunConnection(step, entry); });
    // Spreads the starts of paced connections over one interval.
    std::this_thread::sleep_for(step.interval / step.connections);
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
  const auto method = parsed["method"].as<std::string>();
  const int body_bytes = parsed["body-bytes"].as<int>();
  const Duration interval(parsed["interval-us"].as<int>());
  int failures = 0;
  for (const int connections : parsed["connections"].as<std::vector<int>>()) {
    Series direct_sum;
    Series routed_sum;
    // Alternating rounds expose both paths to the same load of the machine.
    const int share = std::max(1, calls / (rounds * connections));
    const Step direct = {parsed["target-port"].as<int>(),
                         MakeRequest(method, "/direct", body_bytes), connections, share, interval};
    const Step routed = {parsed["node-port"].as<int>(),
                         MakeRequest(method, parsed["path"].as<std::string>(), body_bytes),
                         connections, share, interval};
    for (int round = 0; round < rounds; ++round) {
      const Series a = Run(direct);
      const Series b = Run(routed);
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
      "method", "HTTP method", cxxopts::value<std::string>()->default_value("POST"))(
      "interval-us", "time between two calls of a connection; 0: closed loop",
      cxxopts::value<int>()->default_value("0"))("body-bytes", "size of the request body",
                                                 cxxopts::value<int>()->default_value("200"))(
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
