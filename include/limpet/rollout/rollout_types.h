#ifndef LIMPET_ROLLOUT_ROLLOUT_TYPES_H_
#define LIMPET_ROLLOUT_ROLLOUT_TYPES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "limpet/core/enum_names.h"
#include "limpet/core/time.h"

namespace limpet {

/// Order of the operator to move the traffic of a service to targets of one software version.
struct RolloutOrder {
  std::string service;
  std::string target_version;
  /// Time from the order until the roll-out has to be completed or rolled back.
  Duration duration{0};

  /// Identifies the order by its content, because a restored store assigns new offsets to the same
  /// record.
  int64_t Id() const;
  bool operator==(const RolloutOrder&) const = default;
};

enum class RolloutState {
  kRunning,     // targets of the target version get the canary share
  kClosing,     // they get all requests, and the other targets refuse new ones
  kCompleted,   // the other targets may be stopped
  kRolledBack,  // targets of the target version get nothing
};

inline constexpr EnumNames<RolloutState, 4> kRolloutStateNames = {{
    {RolloutState::kRunning, "running"},
    {RolloutState::kClosing, "closing"},
    {RolloutState::kCompleted, "completed"},
    {RolloutState::kRolledBack, "rolled_back"},
}};

/// State of a roll-out, which all nodes apply.
struct RolloutStatus {
  /// `RolloutOrder::Id` of the order.
  int64_t order = 0;
  std::string target_version;
  RolloutState state = RolloutState::kRunning;
  /// Share of the requests for targets of the target version.
  double share = 0;
  /// Increases with each change.
  int64_t sequence = 0;
  /// Time since the first sight of the order, so that the deadline survives the loss of the node
  /// that saw it first.
  Duration elapsed{0};
  /// Versions that were rolled back by earlier orders of the service.
  std::vector<std::string> excluded_versions;
};

/// Values of the entries `order/SERVICE` and `rollout/SERVICE` of the shared state. The decoders
/// throw `DecodeError`.
std::string EncodeRolloutOrder(const RolloutOrder& order);
RolloutOrder DecodeRolloutOrder(std::string_view text);
std::string EncodeRolloutStatus(const RolloutStatus& status);
RolloutStatus DecodeRolloutStatus(std::string_view text);

}  // namespace limpet

#endif  // LIMPET_ROLLOUT_ROLLOUT_TYPES_H_
