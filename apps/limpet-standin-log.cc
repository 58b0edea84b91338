#include <csignal>
#include <cxxopts.hpp>
#include <exception>
#include <iostream>
#include <thread>

#include "standin/log_server.h"

namespace {

constexpr char kExamples[] = R"(
Stand-in for the platform's log with append-only streams in memory, for tests and experiments.

Examples:
  limpet-standin-log --port 7500
  limpet-standin-log --port 7500 --max-records 200 --appends-per-second 50
  curl -X POST localhost:7500/faults -d '{"lose_answers": 1}'
  curl -X POST localhost:7500/faults -d '{"outage": true}'
  curl -X POST localhost:7500/faults -d '{"outage": false, "delay_ms": 800}'
  curl localhost:7500/stats

Exit codes: 0 stopped by a signal, 1 cannot listen, 2 wrong options
)";

int Serve(const cxxopts::ParseResult& options) {
  limpet::StandinLogLimits limits;
  limits.max_records = options["max-records"].as<int64_t>();
  limits.max_record_bytes = options["max-record-bytes"].as<int64_t>();
  limits.appends_per_second = options["appends-per-second"].as<double>();

  // Blocked before threads start, so that only sigwait below receives these signals.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  limpet::StandinLogServer server(options["host"].as<std::string>(), options["port"].as<int>(),
                                  limits);
  std::thread serving([&server] { server.Run(); });
  std::cout << "[standin-log] listening on " << options["host"].as<std::string>() << ":"
            << options["port"].as<int>() << std::endl;
  int signal = 0;
  sigwait(&signals, &signal);
  server.Stop();
  serving.join();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("limpet-standin-log");
  options.add_options()("host", "address to listen on",
                        cxxopts::value<std::string>()->default_value("127.0.0.1"))(
      "port", "port to listen on", cxxopts::value<int>()->default_value("7500"))(
      "max-records", "records kept for each stream, 0: all",
      cxxopts::value<int64_t>()->default_value("0"))(
      "max-record-bytes", "largest record, 0: no limit",
      cxxopts::value<int64_t>()->default_value("1048576"))(
      "appends-per-second", "append rate limit, 0: none",
      cxxopts::value<double>()->default_value("500"))("h,help", "print this help");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << kExamples;
      return 0;
    }
    return Serve(parsed);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "limpet-standin-log: " << error.what() << "; see --help\n";
    return 2;
  } catch (const std::exception& error) {
    std::cerr << "limpet-standin-log: " << error.what() << "\n";
    return 1;
  }
}
