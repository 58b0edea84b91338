#ifndef LIMPET_SRC_CLI_ARGUMENTS_H_
#define LIMPET_SRC_CLI_ARGUMENTS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "limpet/control/control_output.h"
#include "limpet/core/error.h"

namespace limpet {

/// Thrown for a command line with wrong arguments or options.
class UsageError : public Error {
 public:
  using Error::Error;
};

/// Parses "HOST:PORT", the value of an option. Throws `UsageError` with the name of the option if
/// it is malformed.
PeerAddress ParseAddressOption(const std::string& option, const std::string& text);

/// Parses a version. Throws `UsageError` unless it is a whole number of at least 0.
int64_t ParseVersionArgument(const std::string& text);

/// Throws `UsageError` if more than `count` arguments follow the command, which is the first item.
void CheckMaxArguments(const std::vector<std::string>& arguments, std::size_t count);

/// Returns the only argument after the command. Throws `UsageError` if more arguments follow or if
/// it is missing; the message then contains `name`.
std::string GetSingleArgument(const std::vector<std::string>& arguments, const std::string& name);

}  // namespace limpet

#endif  // LIMPET_SRC_CLI_ARGUMENTS_H_
