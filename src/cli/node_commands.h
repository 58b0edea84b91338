#ifndef LIMPET_SRC_CLI_NODE_COMMANDS_H_
#define LIMPET_SRC_CLI_NODE_COMMANDS_H_

#include <string>
#include <utility>

#include "cli/command_result.h"
#include "cli/node_access.h"
#include "limpet/configlog/log_access.h"

namespace limpet {

/// `explain ROUTE`: where calls of a route go. ROUTE is a route's name, or a path with the caller
/// that uses it.
class ExplainCommand {
 public:
  ExplainCommand(std::string route, std::string caller)
      : route_(std::move(route)), caller_(std::move(caller)) {}

  CommandResult RunWithLog(LogAccess& log) const;
  /// Uses the configuration and the members that the node holds.
  CommandResult RunWithNode(NodeAccess& node) const;

 private:
  std::string route_;
  std::string caller_;
};

/// `nodes`: from the roster and status records, or the member table of one node.
class NodesCommand {
 public:
  CommandResult RunWithLog(LogAccess& log) const;
  CommandResult RunWithNode(NodeAccess& node) const;
};

/// `drain NODE`.
class DrainCommand {
 public:
  explicit DrainCommand(NodeAccess& node) : node_(node) {}
  CommandResult Run();

 private:
  NodeAccess& node_;
};

}  // namespace limpet

#endif  // LIMPET_SRC_CLI_NODE_COMMANDS_H_
