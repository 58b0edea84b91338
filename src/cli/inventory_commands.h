#ifndef LIMPET_SRC_CLI_INVENTORY_COMMANDS_H_
#define LIMPET_SRC_CLI_INVENTORY_COMMANDS_H_

#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "cli/command_result.h"
#include "limpet/configlog/log_access.h"
#include "limpet/configlog/publisher.h"
#include "limpet/core/random.h"
#include "limpet/core/time.h"
#include "limpet_types.h"

namespace limpet {

/// Returns the result for an inventory that cannot be parsed or is not valid.
CommandResult InvalidInventory(const std::string& message);

/// Returns the result for a log that could not be read or written.
CommandResult LogFailure(LogStatus status);

/// `validate FILE`: counts the resources of the inventory. The caller has parsed the file, which
/// also validates it.
class ValidateCommand {
 public:
  explicit ValidateCommand(const wire::FullConfig& config) : config_(config) {}
  CommandResult Run() const;

 private:
  const wire::FullConfig& config_;
};

/// `diff FILE`: shows the changes that publishing the file would make.
class DiffCommand {
 public:
  DiffCommand(LogAccess& log, const wire::FullConfig& config) : log_(log), config_(config) {}
  CommandResult Run();

 private:
  LogAccess& log_;
  const wire::FullConfig& config_;
};

/// `publish FILE`: publishes the inventory as the next version.
class PublishCommand {
 public:
  PublishCommand(LogAccess& log, Random random, std::function<void(Duration)> pause)
      : publisher_(log, std::move(random), std::move(pause)) {}
  CommandResult Run(const PublishRequest& request);

 private:
  Publisher publisher_;
};

}  // namespace limpet

#endif  // LIMPET_SRC_CLI_INVENTORY_COMMANDS_H_
