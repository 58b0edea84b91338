#ifndef LIMPET_ROLLOUT_ROLLOUT_TABLE_H_
#define LIMPET_ROLLOUT_ROLLOUT_TABLE_H_

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "limpet/core/time.h"
#include "limpet/rollout/rollout_types.h"

namespace limpet {

/// How requests of a service are sent to the targets of one software version.
enum class VersionUse {
  kOld,       // gets the requests that the canary share leaves
  kNew,       // gets the canary share
  kHeldBack,  // gets nothing, because an order for it may exist that this node does not know
  kExcluded,  // gets nothing, and refuses what it gets, because it was rolled back
};

/// What a node knows of roll-outs: orders, states, and since when it knows which version. Without
/// orders all versions are equivalent. Not safe for concurrent use.
class RolloutTable {
 public:
  /// Returns the freshness proof of this node: it knows all orders that the store had acknowledged
  /// by then. If the function is empty, versions without an order are used at once.
  using Knowledge = std::function<std::optional<TimePoint>()>;

  explicit RolloutTable(Knowledge knowledge) : knowledge_(std::move(knowledge)) {}

  /// Returns false if this order is known already.
  bool SetOrder(TimePoint now, const RolloutOrder& order);
  void SetStatus(TimePoint now, const std::string& service, const RolloutStatus& status);
  /// A target of the service runs this version.
  void OnVersion(TimePoint now, const std::string& service, const std::string& version);

  VersionUse Use(const std::string& service, const std::string& version) const;
  /// Share of the requests for versions of use `kNew`.
  double Share(const std::string& service) const;
  /// Whether the node beside a target of this version refuses new calls.
  bool IsClosed(const std::string& service, const std::string& version) const;
  /// Whether a roll-out of the service is known, so that `Use` and `Share` matter.
  bool HasRollout(const std::string& service) const;

  /// Returns null if no order is known.
  const RolloutOrder* FindOrder(const std::string& service) const;
  TimePoint OrderSeenAt(const std::string& service) const;
  /// Returns the last known state, with the present time since the first sight of its order.
  std::optional<RolloutStatus> FindStatus(TimePoint now, const std::string& service) const;

 private:
  struct Version {
    TimePoint first_seen{};
    /// All orders that may concern this version are known.
    bool allowed = false;
  };
  struct Service {
    std::optional<RolloutOrder> order;
    TimePoint order_seen_at{};
    std::optional<RolloutStatus> status;
    TimePoint status_received_at{};
    TimePoint completed_at{};
    std::map<std::string, Version> versions;
  };

  const Service* Find(const std::string& service) const;
  static const std::string& TargetVersion(const Service& entry);

  Knowledge knowledge_;
  std::optional<TimePoint> first_proof_at_;
  std::map<std::string, Service> services_;
};

}  // namespace limpet

#endif  // LIMPET_ROLLOUT_ROLLOUT_TABLE_H_
