#ifndef LIMPET_SRC_CLI_NODE_COMMANDS_H_
#define LIMPET_SRC_CLI_NODE_COMMANDS_H_

#include <string>
#include <utility>

#include "cli/command_result.h"
#include "cli/node_access.h"
#include "limpet/configlog/log_access.h"

namespace limpet {

/// `explain ROUTE`: shows the service, rule and targets that calls of a route use. ROUTE is the
/// name of a route, or a path together with the caller that sends it.
class ExplainCommand {
 public:
  ExplainCommand(std::string route, std::string caller)
      : route_(std::move(route)), caller_(std::move(caller)) {}

  CommandResult RunWithLog(LogAccess& log) const;
  /// Uses the configuration and the membership table of the node.
  CommandResult RunWithNode(NodeAccess& node) const;

 private:
  std::string route_;
  std::string caller_;
};

/// `nodes`: lists the nodes from the roster and status records, or from the membership table of one
/// node.
class NodesCommand {
 public:
  CommandResult RunWithLog(LogAccess& log) const;
  CommandResult RunWithNode(NodeAccess& node) const;
};

/// `drain NODE`: makes a node leave.
class DrainCommand {
 public:
  explicit DrainCommand(NodeAccess& node) : node_(node) {}
  CommandResult Run();

 private:
  NodeAccess& node_;
};

}  // namespace limpet

#endif  // LIMPET_SRC_CLI_NODE_COMMANDS_H_
