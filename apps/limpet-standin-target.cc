#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

#include "limpet/net/http_server.h"
#include "standin/target.h"

namespace {

cxxopts::Options MakeOptions() {
  cxxopts::Options options("limpet-standin-target", "Stand-in for a target of limpetgrade");
  options.add_options()("port", "HTTP port", cxxopts::value<int>())(
      "host", "address to listen on", cxxopts::value<std::string>()->default_value("127.0.0.1"))(
      "slots", "requests executed at once", cxxopts::value<int>()->default_value("12"))(
      "service-time-us", "mean service time in microseconds",
      cxxopts::value<int>()->default_value("0"))(
      "spread", "maximum deviation from the mean service time, as a share of it",
      cxxopts::value<double>()->default_value("0.2"))(
      "cold-start-ms", "time in the state starting, with longer service times",
      cxxopts::value<int>()->default_value("0"))("seed", "seed of service times",
                                                 cxxopts::value<int>()->default_value("1"))(
      "help", "print this help");
  return options;
}

void WaitForSignal() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int received = 0;
  sigwait(&signals, &received);
}

void BlockSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    auto options = MakeOptions();
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << "\n";
      return 0;
    }
    BlockSignals();
    limpet::StandinTargetOptions target_options;
    target_options.slots = parsed["slots"].as<int>();
    target_options.service_time = limpet::Duration(parsed["service-time-us"].as<int>());
    target_options.spread = parsed["spread"].as<double>();
    target_options.cold_start = std::chrono::milliseconds(parsed["cold-start-ms"].as<int>());
    target_options.seed = static_cast<uint64_t>(parsed["seed"].as<int>());
    limpet::StandinTarget target(target_options);
    limpet::HttpServerOptions server_options;
    server_options.host = parsed["host"].as<std::string>();
    server_options.port = parsed["port"].as<int>();
    limpet::HttpServer server(server_options, [&](const limpet::HttpRequest& request,
                                                  const limpet::ConnectionWatch& watch) {
      return target.Handle(request, watch);
    });
    WaitForSignal();
    server.Stop();
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "limpet-standin-target: " << error.what() << "\n";
    return 1;
  }
}
