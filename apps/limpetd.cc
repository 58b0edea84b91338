#include <malloc.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

#include "limpet/net/node.h"
#include "limpet/settings/node_settings.h"

namespace {

/// Exit codes, also shown by --help.
enum ExitCode {
  kExitOk = 0,
  kExitFailure = 1,
  kExitUsage = 2,
  kExitSettings = 3,
  kExitListen = 4,
  kExitDrainTimeout = 5
};

constexpr const char* kExitCodeText =
    "Exit codes: 0 planned stop or success, 1 internal failure, 2 wrong usage, 3 settings file\n"
    "not readable or not valid, 4 port in use or address not available, 5 stopped at the drain\n"
    "timeout with requests in flight.\n";

constexpr const char* kVersion = "0.1.0";

cxxopts::Options MakeOptions() {
  cxxopts::Options options("limpetd", "Node of limpetgrade, one beside each target");
  options.add_options()("settings", "settings file (INI)", cxxopts::value<std::string>())(
      "check-settings", "check the settings file and exit")(
      "print-settings", "print all settings keys with their defaults and exit")(
      "version", "print the version and exit")("help", "print this help and exit");
  return options;
}

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

/// Keeps the resident memory of an idle node low, which has a few kilobytes of live heap in each of
/// about ten threads: uses two malloc arenas instead of one for each thread, and returns free
/// memory to the system early.
void LimitMemory() {
  mallopt(M_ARENA_MAX, 2);
  mallopt(M_TRIM_THRESHOLD, 256 * 1024);
}

void SetUpLogging(const limpet::NodeSettings& settings) {
  auto logger = spdlog::stderr_logger_mt("limpetd");
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e %l " + settings.name + " %v");
  logger->set_level(spdlog::level::from_str(
      std::string(limpet::EnumName(limpet::kLogLevelNames, settings.log_level))));
  spdlog::set_default_logger(logger);
}

int RunNode(const limpet::NodeSettings& settings) {
  const sigset_t signals = StopSignals();
  // Blocked before any thread starts, so that only sigwait receives them.
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  SetUpLogging(settings);
  limpet::Node node(settings);
  spdlog::info("[node] {} serves callers on {}:{} and nodes on {}:{}", settings.name, settings.host,
               settings.http_port, settings.host, settings.peer_port);
  int received = 0;
  sigwait(&signals, &received);
  if (!node.Stop()) {
    // Does not join threads: those that still wait for a target can take unbounded time to end.
    std::_Exit(kExitDrainTimeout);
  }
  return kExitOk;
}

int Run(int argc, char** argv) {
  auto options = MakeOptions();
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << options.help() << "\n" << kExitCodeText;
    return kExitOk;
  }
  if (parsed.count("version") > 0) {
    std::cout << "limpetd " << kVersion << "\n";
    return kExitOk;
  }
  if (parsed.count("print-settings") > 0) {
    std::cout << limpet::SettingsMarkdown();
    return kExitOk;
  }
  if (parsed.count("settings") == 0) {
    std::cerr << "limpetd: --settings FILE is required; see --help\n";
    return kExitUsage;
  }
  const auto settings = limpet::LoadSettings(parsed["settings"].as<std::string>());
  if (parsed.count("check-settings") > 0) {
    std::cout << "settings are valid\n";
    return kExitOk;
  }
  LimitMemory();
  return RunNode(settings);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "limpetd: " << error.what() << "; see --help\n";
    return kExitUsage;
  } catch (const limpet::FileError& error) {
    std::cerr << "limpetd: " << error.what() << "\n";
    return kExitSettings;
  } catch (const limpet::ListenError& error) {
    std::cerr << "limpetd: " << error.what() << "\n";
    return kExitListen;
  } catch (const std::exception& error) {
    std::cerr << "limpetd: " << error.what() << "\n";
    return kExitFailure;
  }
}
