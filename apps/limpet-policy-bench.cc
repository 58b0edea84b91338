#include <cxxopts.hpp>
#include <iostream>
#include <map>
#include <string>

#include "../src/load/policy_experiments.h"

int main(int argc, char** argv) {
  const std::map<std::string, void (*)(uint64_t, std::ostream&)> experiments = {
      {"balancers", limpet::CompareBalancers},
      {"limits", limpet::CompareLimits},
      {"retries", limpet::CompareRetryBudgets},
      {"subsets", limpet::CompareSubsetWidths},
  };
  cxxopts::Options options("limpet-policy-bench", "Compares traffic policies in virtual time.");
  options.add_options()("experiment", "balancers, limits, retries or subsets; all if absent",
                        cxxopts::value<std::string>()->default_value(""))(
      "seed", "seed of all random choices", cxxopts::value<uint64_t>()->default_value("1"))(
      "help", "print this help");
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0U) {
      std::cout << options.help();
      return 0;
    }
    const auto selected = arguments["experiment"].as<std::string>();
    if (!selected.empty() && !experiments.contains(selected)) {
      std::cerr << "unknown experiment: " << selected << "\n";
      return 2;
    }
    for (const auto& [name, run] : experiments) {
      if (selected.empty() || name == selected) {
        run(arguments["seed"].as<uint64_t>(), std::cout);
        std::cout << "\n";
      }
    }
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
  return 0;
}
