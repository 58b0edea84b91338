#ifndef LIMPET_TESTS_SUPPORT_PROPERTY_H_
#define LIMPET_TESTS_SUPPORT_PROPERTY_H_

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>
#include <utility>

#include <rapidcheck.h>

namespace limpet::test {

/// Draws an integer uniformly from [low, high). The fixed size is needed because RapidCheck
/// otherwise draws from a smaller range in the first cases.
inline int DrawInRange(int low, int high) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(low, high));
}

/// Checks a property with a fixed seed, so that CI runs are repeatable. If the environment variable
/// RC_PARAMS is set, e.g. to "seed=... max_success=...", it replaces the seed, the number of cases
/// and the size. Returns false and prints the counterexample if the property fails.
template <typename Property>
bool CheckProperty(const std::string& name, uint64_t seed, int cases, int size, Property property) {
  rc::detail::TestParams params = rc::detail::configuration().testParams;
  if (std::getenv("RC_PARAMS") == nullptr) {
    params.seed = seed;
    params.maxSuccess = cases;
    params.maxSize = size;
  }
  rc::detail::TestMetadata metadata;
  metadata.id = name;
  metadata.description = name;
  const auto result = rc::detail::checkTestable(std::move(property), metadata, params);
  const bool is_success = result.template is<rc::detail::SuccessResult>();
  if (!is_success) {
    std::cerr << name << ", seed " << params.seed << "\n";
    rc::detail::printResultMessage(result, std::cerr);
    std::cerr << std::endl;
  }
  return is_success;
}

}  // namespace limpet::test

#endif  // LIMPET_TESTS_SUPPORT_PROPERTY_H_
