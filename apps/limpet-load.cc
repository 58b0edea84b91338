#include <cxxopts.hpp>

#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include "limpet/core/error.h"
#include "limpet/load/experiment.h"
#include "limpet/load/result.h"
#include "limpet/load/runner.h"

namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    throw limpet::FileError({path, 0}, "cannot be read; check the path");
  }
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream out(path);
  out << text;
  if (!out.flush()) {
    throw limpet::FileError({path, 0}, "cannot be written; check folder and permissions");
  }
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options("limpet-load",
                           "Open-loop load generator: runs the experiment in a file against "
                           "nodes, prints a table and audits the executions at the targets.\n\n"
                           "Exit codes: 0 done, 1 the run failed, 2 usage.");
  options.add_options()("experiment", "experiment file (INI)", cxxopts::value<std::string>())(
      "json", "write the result as JSON to this file", cxxopts::value<std::string>())(
      "plot", "write a gnuplot script NAME.gp that draws NAME.png", cxxopts::value<std::string>())(
      "seed", "seed to use instead of the seed in the file", cxxopts::value<uint64_t>())(
      "quiet", "print no progress lines")("help", "print this help")("version",
                                                                     "print the version");
  options.parse_positional({"experiment"});
  options.positional_help("EXPERIMENT");
  return options;
}

void RunExperiment(const cxxopts::ParseResult& arguments) {
  const auto path = arguments["experiment"].as<std::string>();
  limpet::load::Experiment experiment = limpet::load::ParseExperiment(ReadFile(path), path);
  if (arguments.count("seed") > 0) {
    experiment.seed = arguments["seed"].as<uint64_t>();
  }
  const bool quiet = arguments.count("quiet") > 0;
  const auto results = limpet::load::Run(experiment, [quiet](const std::string& line) {
    if (!quiet) {
      std::cerr << line << "\n";
    }
  });
  std::cout << limpet::load::RenderTable(experiment, results);
  if (arguments.count("json") > 0) {
    WriteFile(arguments["json"].as<std::string>(), limpet::load::RenderJson(experiment, results));
  }
  if (arguments.count("plot") > 0) {
    const auto name = arguments["plot"].as<std::string>();
    WriteFile(name + ".gp", limpet::load::RenderPlot(results, name + ".png"));
  }
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options = MakeOptions();
  try {
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
      std::cout << options.help();
      return kExitOk;
    }
    if (arguments.count("version") > 0) {
      std::cout << "limpet-load " << LIMPET_VERSION << "\n";
      return kExitOk;
    }
    if (arguments.count("experiment") == 0) {
      std::cerr << "limpet-load: no experiment file given; see --help\n";
      return kExitUsage;
    }
    RunExperiment(arguments);
    return kExitOk;
  } catch (const limpet::Error& error) {
    std::cerr << "limpet-load: " << error.what() << "\n";
    return kExitFailed;
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "limpet-load: " << error.what() << "; see --help\n";
    return kExitUsage;
  }
}
