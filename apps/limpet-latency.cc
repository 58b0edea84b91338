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

struct CallStatistics {
  Histogram histogram;
  int failures = 0;
};

/// Load of one measurement on one path.
struct LoadStep {
  int port = 0;
  limpet::HttpRequest request;
  int connections = 1;
  int calls = 1;
  /// Time between the starts of two calls of a connection; at 0 a call starts when the previous one
  /// ends (closed loop).
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

bool SendCall(limpet::TargetClient& client, const limpet::HttpRequest& request) {
  try {
    // Marked as idempotent, so that the HTTP client may send it again: requests only go to
    // stand-ins.
    return client.Exchange(request, true, kTimeout, [] { return false; }).status == 200;
  } catch (const limpet::ExchangeError&) {
    return false;
  }
}

void RunConnection(const LoadStep& step, CallStatistics& statistics) {
  limpet::TargetClient client("127.0.0.1", step.port);
  // Not measured: the first call also opens the connections on its path.
  SendCall(client, step.request);
  auto next = limpet::MonotonicNow();
  for (int i = 0; i < step.calls; ++i) {
    std::this_thread::sleep_until(next);
    const auto start = limpet::MonotonicNow();
    statistics.failures += SendCall(client, step.request) ? 0 : 1;
    statistics.histogram.Record(limpet::MonotonicNow() - start);
    next = std::max(next + step.interval, limpet::MonotonicNow());
  }
}

CallStatistics RunStep(const LoadStep& step) {
  std::vector<CallStatistics> statistics(static_cast<size_t>(step.connections));
  std::vector<std::thread> threads;
  threads.reserve(statistics.size());
  for (auto& entry : statistics) {
    threads.emplace_back([&] { RunConnection(step, entry); });
    // Distributes the starts of paced connections over one interval.
    std::this_thread::sleep_for(step.interval / step.connections);
  }
  CallStatistics total;
  for (size_t i = 0; i < threads.size(); ++i) {
    threads[i].join();
    total.histogram.Merge(statistics[i].histogram);
    total.failures += statistics[i].failures;
  }
  return total;
}

void Print(int connections, const std::string& path, const CallStatistics& statistics) {
  std::cout << connections << " connections, " << path << ": calls " << statistics.histogram.count()
            << ", failures " << statistics.failures << ", p50 "
            << statistics.histogram.Percentile(0.5).count() << " us, p99 "
            << statistics.histogram.Percentile(0.99).count() << " us\n";
}

int Measure(const cxxopts::ParseResult& parsed) {
  const int rounds = parsed["rounds"].as<int>();
  const int calls = parsed["calls"].as<int>();
  const auto method = parsed["method"].as<std::string>();
  const int body_bytes = parsed["body-bytes"].as<int>();
  const Duration interval(parsed["interval-us"].as<int>());
  int failures = 0;
  for (const int connections : parsed["connections"].as<std::vector<int>>()) {
    CallStatistics direct_total;
    CallStatistics routed_total;
    // Rounds alternate between the paths, so that other load on the machine affects both alike.
    const int calls_per_connection = std::max(1, calls / (rounds * connections));
    const LoadStep direct = {parsed["target-port"].as<int>(),
                             MakeRequest(method, "/direct", body_bytes), connections,
                             calls_per_connection, interval};
    const LoadStep routed = {parsed["node-port"].as<int>(),
                             MakeRequest(method, parsed["path"].as<std::string>(), body_bytes),
                             connections, calls_per_connection, interval};
    for (int round = 0; round < rounds; ++round) {
      const CallStatistics a = RunStep(direct);
      const CallStatistics b = RunStep(routed);
      direct_total.histogram.Merge(a.histogram);
      direct_total.failures += a.failures;
      routed_total.histogram.Merge(b.histogram);
      routed_total.failures += b.failures;
    }
    Print(connections, "direct", direct_total);
    Print(connections, "through nodes", routed_total);
    for (const double fraction : {0.5, 0.99}) {
      const auto added =
          routed_total.histogram.Percentile(fraction) - direct_total.histogram.Percentile(fraction);
      std::cout << connections << " connections, added p" << fraction * 100 << ": " << added.count()
                << " us\n";
    }
    failures += direct_total.failures + routed_total.failures;
  }
  return failures == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("limpet-latency",
                           "Latency that nodes add to calls, against direct calls in the same run");
  options.add_options()("target-port", "HTTP port of the target stand-in", cxxopts::value<int>())(
      "node-port", "HTTP port of the node that receives the calls", cxxopts::value<int>())(
      "path", "request path that has a route",
      cxxopts::value<std::string>()->default_value("/desk"))(
      "connections", "numbers of connections; one measurement for each",
      cxxopts::value<std::vector<int>>()->default_value("1,16,64"))(
      "calls", "calls of each measurement and path", cxxopts::value<int>()->default_value("20000"))(
      "rounds", "rounds of each measurement; a round uses both paths",
      cxxopts::value<int>()->default_value("5"))(
      "method", "HTTP method", cxxopts::value<std::string>()->default_value("POST"))(
      "interval-us", "time between the starts of two calls of a connection; 0: closed loop",
      cxxopts::value<int>()->default_value("0"))("body-bytes", "size of the request body",
                                                 cxxopts::value<int>()->default_value("200"))(
      "help", "print this help");
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
