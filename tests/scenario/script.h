#ifndef LIMPET_TESTS_SCENARIO_SCRIPT_H_
#define LIMPET_TESTS_SCENARIO_SCRIPT_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "limpet/core/error.h"
#include "limpet/core/time.h"

namespace limpet::scenario {

/// One line of a scenario: its words without a trailing "within N s", which is stored in `within`.
struct Statement {
  SourceLocation location;
  std::vector<std::string> words;
  std::optional<Duration> within;
};

/// Thrown for a line that cannot be parsed or an expectation that is not met. The message names
/// file and line.
class ScenarioError : public FileError {
 public:
  using FileError::FileError;
};

/// Splits a scenario into statements, one per line. '#' starts a comment. Throws `ScenarioError`
/// for an invalid time limit.
std::vector<Statement> ParseScript(std::string_view text, const std::string& file);

/// Parses a duration given as two words, such as "250 ms" or "3 s". Throws `ScenarioError` for
/// anything else.
Duration ParseDuration(const Statement& statement,
                       const std::string& number,
                       const std::string& unit);

}  // namespace limpet::scenario

#endif  // LIMPET_TESTS_SCENARIO_SCRIPT_H_
