#include <chrono>
#include <cstdlib>
#include <cxxopts.hpp>
#include <exception>
#include <fstream>
#include <iostream>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "cli/arguments.h"
#include "cli/command_result.h"
#include "cli/http_node_access.h"
#include "cli/inventory_commands.h"
#include "cli/node_commands.h"
#include "cli/request_timeline.h"
#include "cli/status_commands.h"
#include "limpet/config/ini_reader.h"
#include "limpet/config/inventory.h"
#include "limpet/net/log_client.h"

namespace {

using limpet::CommandResult;
using limpet::ExitCode;

constexpr char kVersion[] = "0.1.0";

constexpr char kCommands[] = R"(
Commands:
  validate FILE      check an inventory; reads only the file
  diff FILE          show what publishing the file would change
  publish FILE       publish the file as the next version
  status [VERSION]   show a version and how many nodes of each data centre have it or a newer one
  status --inventory print the current configuration as an inventory to edit
  trace CHANGE       show a change (id or version) at every node by name
  explain ROUTE      show where calls of a route (name, or path with --caller) go
  nodes              list the nodes
  drain HOST:PORT    make the node with this admin address leave the mesh
  explain-request ID [FILE...]
                     collect the log lines of a request from the logs of several nodes (or standard
                     input) and print why it ended

Examples:
  limpetctl status --inventory > mesh.ini
  limpetctl validate mesh.ini
  limpetctl diff mesh.ini
  limpetctl publish mesh.ini --comment "more slots for enrol"
  limpetctl trace 5f2c6e0a9b1d4c3e8f70a1b2c3d4e5f6
  limpetctl explain /desk/tickets --caller kiosk --node 10.0.0.7:7480
  limpetctl nodes --json --log 10.0.0.9:7500

The section [inventory] of an inventory holds the version that it was edited from. If another
change was published on that version, publish fails and prints that conflicting change.

Exit codes:
  0 success                        5 the outcome of a publish is unknown
  1 internal failure               6 the log is unavailable
  2 wrong usage                    7 the node is unavailable
  3 invalid inventory or change    8 no such version, change or route
  4 conflict with another change   9 the change is not in effect everywhere
)";

cxxopts::Options MakeOptions() {
  cxxopts::Options options("limpetctl", "Operator command line of limpetgrade");
  options.positional_help("COMMAND [ARGUMENT]");
  options.add_options()("log", "address of the platform's log",
                        cxxopts::value<std::string>()->default_value("127.0.0.1:7500"))(
      "node", "admin address of the node to query instead of the log (nodes, explain)",
      cxxopts::value<std::string>())("json", "print JSON instead of tables")(
      "author", "author of a publish; default is the environment variable USER",
      cxxopts::value<std::string>())("comment", "comment of a publish",
                                     cxxopts::value<std::string>()->default_value(""))(
      "base", "version the file was edited from, if it has no section [inventory]",
      cxxopts::value<int64_t>())("caller", "caller for explain PATH",
                                 cxxopts::value<std::string>()->default_value(""))(
      "inventory", "with status: print the inventory")(
      "timeout-ms", "timeout of each network operation in milliseconds",
      cxxopts::value<int>()->default_value("3000"))("version", "print the version")(
      "h,help", "print this help")("arguments", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"arguments"});
  return options;
}

/// Runs the commands of src/cli with the options of the command line.
class Program {
 public:
  explicit Program(const cxxopts::ParseResult& options)
      : options_(options),
        timeout_(std::chrono::milliseconds(options["timeout-ms"].as<int>())),
        log_(limpet::ParseAddressOption("--log", options["log"].as<std::string>()), timeout_) {}

  CommandResult Run(const std::vector<std::string>& arguments) {
    const std::string& command = arguments[0];
    if (command == "validate") {
      return limpet::ValidateCommand(LoadInventory(arguments)).Run();
    }
    if (command == "diff") {
      const auto config = LoadInventory(arguments);
      return limpet::DiffCommand(log_, config).Run();
    }
    if (command == "publish") {
      return Publish(arguments);
    }
    if (command == "status") {
      return Status(arguments);
    }
    if (command == "trace") {
      return limpet::TraceCommand(log_).Run(Argument(arguments, "CHANGE"));
    }
    if (command == "explain") {
      const limpet::ExplainCommand explain(Argument(arguments, "ROUTE"),
                                           options_["caller"].as<std::string>());
      return RunAtNodeOrLog(explain);
    }
    if (command == "nodes") {
      limpet::CheckMaxArguments(arguments, 0);
      return RunAtNodeOrLog(limpet::NodesCommand());
    }
    if (command == "drain") {
      limpet::HttpNodeAccess node(
          limpet::ParseAddressOption("drain", Argument(arguments, "HOST:PORT")), timeout_);
      return limpet::DrainCommand(node).Run();
    }
    if (command == "explain-request") {
      return ExplainRequest(arguments);
    }
    throw limpet::UsageError("unknown command \"" + command + "\"");
  }

 private:
  static std::string Argument(const std::vector<std::string>& arguments, const std::string& name) {
    return limpet::GetSingleArgument(arguments, name);
  }

  limpet::wire::FullConfig LoadInventory(const std::vector<std::string>& arguments) const {
    const std::string path = Argument(arguments, "FILE");
    auto config = limpet::ParseInventory(limpet::ReadTextFile(path), path);
    if (options_.count("base") > 0) {
      config.version = options_["base"].as<int64_t>();
    }
    return config;
  }

  CommandResult Publish(const std::vector<std::string>& arguments) {
    limpet::PublishRequest request;
    request.config = LoadInventory(arguments);
    request.comment = options_["comment"].as<std::string>();
    const char* user = std::getenv("USER");
    request.author = options_.count("author") > 0 ? options_["author"].as<std::string>()
                     : user != nullptr            ? user
                                                  : "";
    if (request.author.empty()) {
      throw limpet::UsageError("publish needs --author");
    }
    std::random_device device;
    const limpet::Random random((uint64_t{device()} << 32U) | device());
    limpet::PublishCommand publish(
        log_, random, [](limpet::Duration pause) { std::this_thread::sleep_for(pause); });
    return publish.Run(request);
  }

  CommandResult Status(const std::vector<std::string>& arguments) {
    if (options_.count("inventory") > 0) {
      limpet::CheckMaxArguments(arguments, 0);
      return limpet::InventoryCommand(log_).Run();
    }
    std::optional<int64_t> version;
    if (arguments.size() > 1) {
      version = limpet::ParseVersionArgument(Argument(arguments, "VERSION"));
    }
    return limpet::StatusCommand(log_).Run(version);
  }

  static CommandResult ExplainRequest(const std::vector<std::string>& arguments) {
    if (arguments.size() < 2) {
      throw limpet::UsageError("explain-request needs ID");
    }
    limpet::RequestTimeline timeline(arguments[1]);
    if (arguments.size() == 2) {
      timeline.Read(std::cin);
    }
    for (std::size_t i = 2; i < arguments.size(); ++i) {
      std::ifstream log(arguments[i]);
      if (!log) {
        throw limpet::UsageError("cannot read " + arguments[i]);
      }
      timeline.Read(log);
    }
    return timeline.Result();
  }

  template <typename Command>
  CommandResult RunAtNodeOrLog(const Command& command) {
    if (options_.count("node") == 0) {
      return command.RunWithLog(log_);
    }
    limpet::HttpNodeAccess node(
        limpet::ParseAddressOption("--node", options_["node"].as<std::string>()), timeout_);
    return command.RunWithNode(node);
  }

  const cxxopts::ParseResult& options_;
  limpet::Duration timeout_;
  limpet::LogClient log_;
};

int Print(const CommandResult& result, bool json) {
  if (json) {
    // Text from records can contain bytes that are not UTF-8.
    std::cout << result.json.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
  } else {
    (result.code == ExitCode::kOk || result.code == ExitCode::kNotInEffect ? std::cout : std::cerr)
        << result.text;
  }
  return static_cast<int>(result.code);
}

int Main(int argc, char** argv) {
  auto options = MakeOptions();
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << options.help() << kCommands;
    return 0;
  }
  if (parsed.count("version") > 0) {
    std::cout << "limpetctl " << kVersion << "\n";
    return 0;
  }
  if (parsed.count("arguments") == 0) {
    throw limpet::UsageError("no command given");
  }
  const bool json = parsed.count("json") > 0;
  try {
    return Print(Program(parsed).Run(parsed["arguments"].as<std::vector<std::string>>()), json);
  } catch (const limpet::FileError& error) {
    return Print(limpet::InvalidInventory(error.what()), json);
  }
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Main(argc, argv);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "limpetctl: " << error.what() << "; see limpetctl --help\n";
    return static_cast<int>(ExitCode::kUsage);
  } catch (const limpet::UsageError& error) {
    std::cerr << "limpetctl: " << error.what() << "; see limpetctl --help\n";
    return static_cast<int>(ExitCode::kUsage);
  } catch (const std::exception& error) {
    std::cerr << "limpetctl: " << error.what() << "\n";
    return static_cast<int>(ExitCode::kFailure);
  }
}
