#ifndef LIMPET_SRC_CLI_STATUS_COMMANDS_H_
#define LIMPET_SRC_CLI_STATUS_COMMANDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cli/command_result.h"
#include "limpet/configlog/log_access.h"
#include "limpet/configlog/system_replay.h"
#include "limpet/core/enum_names.h"

namespace limpet {

/// State of one version at a node.
enum class NodeState { kInEffect, kBehind, kRefused, kUnknown };

inline constexpr EnumNames<NodeState, 4> kNodeStateNames = {{
    {NodeState::kInEffect, "in_effect"},
    {NodeState::kBehind, "behind"},
    {NodeState::kRefused, "refused"},
    {NodeState::kUnknown, "unknown"},
}};

struct NodeReport {
  std::string node;
  std::string data_centre;
  NodeState state = NodeState::kUnknown;
  /// Reason of a refusal, version that the node holds, or why the state is unknown.
  std::string detail;
};

/// Returns the state of `version` at every node that the roster or status records name, by data
/// centre and name.
std::vector<NodeReport> ReportNodes(const SystemReplay& system, int64_t version);

/// `status [VERSION]`: shows a version and how many nodes of each data centre hold it.
class StatusCommand {
 public:
  explicit StatusCommand(LogAccess& log) : log_(log) {}
  CommandResult Run(std::optional<int64_t> version);

 private:
  LogAccess& log_;
};

/// `status --inventory`: prints the configuration in effect as an inventory.
class InventoryCommand {
 public:
  explicit InventoryCommand(LogAccess& log) : log_(log) {}
  CommandResult Run();

 private:
  LogAccess& log_;
};

/// `trace CHANGE`: shows a change and its state at every node. CHANGE is an id or a version.
class TraceCommand {
 public:
  explicit TraceCommand(LogAccess& log) : log_(log) {}
  CommandResult Run(const std::string& change);

 private:
  LogAccess& log_;
};

}  // namespace limpet

#endif  // LIMPET_SRC_CLI_STATUS_COMMANDS_H_
