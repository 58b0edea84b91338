#ifndef LIMPET_SRC_CLI_COMMAND_RESULT_H_
#define LIMPET_SRC_CLI_COMMAND_RESULT_H_

#include <nlohmann/json.hpp>
#include <string>

namespace limpet {

/// Exit codes of `limpetctl`, which its --help documents.
enum class ExitCode {
  kOk = 0,
  kFailure = 1,
  kUsage = 2,
  kInvalid = 3,
  kPublishConflict = 4,
  kUnknownOutcome = 5,
  kLogUnavailable = 6,
  kNodeUnavailable = 7,
  kNotFound = 8,
  kNotInEffect = 9,
};

/// Result of a command: `text` for people, `json` for programs (option --json).
struct CommandResult {
  ExitCode code = ExitCode::kOk;
  std::string text;
  nlohmann::json json = nlohmann::json::object();
};

}  // namespace limpet

#endif  // LIMPET_SRC_CLI_COMMAND_RESULT_H_
