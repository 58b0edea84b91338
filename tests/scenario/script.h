#ifndef LIMPET_TESTS_SCENARIO_SCRIPT_H_
#define LIMPET_TESTS_SCENARIO_SCRIPT_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "limpet/core/error.h"
#include "limpet/core/time.h"

namespace limpet::scenario {

/// One line: words, with the trailing "within N s" taken off.
struct Statement {
  SourceLocation location;
  std::vector<std::string> words;
  std::optional<Duration> within;
};

/// A line that does not parse or an expectation that is not met. The message names file and line.
class ScenarioError : public FileError {
 public:
  using FileError::FileError;
};

/// Splits a scenario into statements. '#' starts a comment. Throws `ScenarioError`.
std::vector<Statement> ParseScript(std::string_view text, const std::string& file);

/// "250 ms" or "3 s" as two words. Throws `ScenarioError`.
Duration ParseDuration(const Statement& statement,
                       const std::string& number,
                       const std::string& unit);

}  // namespace limpet::scenario

#endif  // LIMPET_TESTS_SCENARIO_SCRIPT_H_
