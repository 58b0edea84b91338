#ifndef LIMPET_SRC_CLI_ARGUMENTS_H_
#define LIMPET_SRC_CLI_ARGUMENTS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "limpet/control/control_output.h"
#include "limpet/core/error.h"

namespace limpet {

/// A command line that cannot be understood.
class UsageError : public Error {
 public:
  using Error::Error;
};

/// "HOST:PORT" of an option. Throws `UsageError` that names the option.
PeerAddress ParseAddressOption(const std::string& option, const std::string& text);

/// Throws `UsageError` unless it is a whole number from 0.
int64_t ParseVersionArgument(const std::string& text);

/// Throws `UsageError` unless `count` arguments follow the command, which is the first item.
void CheckMaxArguments(const std::vector<std::string>& arguments, std::size_t count);

/// The one argument after the command. Throws `UsageError` that names it if it is missing.
std::string GetSingleArgument(const std::vector<std::string>& arguments, const std::string& name);

}  // namespace limpet

#endif  // LIMPET_SRC_CLI_ARGUMENTS_H_
