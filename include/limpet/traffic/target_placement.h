#ifndef LIMPET_TRAFFIC_TARGET_PLACEMENT_H_
#define LIMPET_TRAFFIC_TARGET_PLACEMENT_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "limpet/core/random.h"
#include "limpet/core/time.h"
#include "limpet/rollout/rollout_table.h"
#include "limpet/traffic/service_times.h"
#include "limpet_types.h"

namespace limpet {

struct PlacementOptions {
  /// Added to the expected time of a target in another data centre: the network round trip.
  Duration remote_penalty = std::chrono::milliseconds(3);
  /// Added for each KiB of the expected response from another data centre, because traffic between
  /// data centres costs money.
  Duration remote_penalty_per_kib = std::chrono::milliseconds(10);
  /// A target of the local data centre is chosen if it is expected to respond within this share of
  /// the time until the latency target, even if a remote one is faster. The rest is a margin for
  /// requests that take longer than typical.
  double local_latency_share = 0.9;
  /// Responses of at least this size use the whole `local_latency_share`. For smaller ones the
  /// share shrinks in proportion to the size, because they cost little between data centres.
  size_t full_local_share_bytes = 1024;
  /// Maximum number of random targets compared for one request, once for the local data centre and
  /// once for all others (power of d choices). If nodes with outdated views compared all targets,
  /// they would all choose the same one.
  std::size_t candidates_compared = 4;
  /// A node that was found unresponsive during a probe or a request is avoided for this long.
  Duration unresponsive_penalty = std::chrono::seconds(1);
  /// After a trial request, this node sends no further one to the target before the target's reply
  /// or this time.
  Duration trial_reply_wait = std::chrono::milliseconds(500);
};

/// Value of `PlacementRequest::version_draw` that selects the old version, unless the new one gets
/// all requests.
inline constexpr double kOldVersionDraw = 0.999999;

/// Properties of a request that the choice of its target depends on.
struct PlacementRequest {
  std::string service;
  size_t expected_response_bytes = 0;
  /// Time until the latency target; a later response has less value for the caller.
  Duration remaining_latency{0};
  /// Moving average of the service time of the route over all targets.
  Duration typical_service_time = kAssumedServiceTime;
  size_t request_bytes = 0;
  /// The caller would not lose much if the request is sent to a target that is down, as a trial,
  /// although others are up: it can be repeated.
  bool may_be_trial = false;
  /// Uniform in [0, 1), the same for all attempts of a request. During a roll-out the request goes
  /// to the new version if it is less than the canary share.
  double version_draw = kOldVersionDraw;
};

struct PlacedTarget {
  std::string node;
  std::string instance;
  bool is_local = false;
  /// The request may be queued beyond its latency target, because a late response from this target
  /// is better than a response transferred from another data centre.
  bool wait_beyond_latency_target = false;
};

/// Selects the target of each attempt: the one with the shortest expected completion time (join the
/// shortest queue, weighted by speed). The load of the targets is taken from replies, from status
/// messages and from this node's own open attempts. A target that is down takes only trial
/// requests, at times that its gate states: one that may be a trial, or any if no target is up. Not
/// safe for concurrent use.
class TargetPlacement {
 public:
  /// `rollouts` must outlive the placement. Without it all versions are equivalent.
  TargetPlacement(PlacementOptions options,
                  std::string data_centre,
                  Random random,
                  RolloutTable* rollouts = nullptr);

  /// Returns a random value for `PlacementRequest::version_draw`.
  double DrawVersion() { return rollouts_ == nullptr ? kOldVersionDraw : random_.NextFraction(); }

  /// Stores the status that `node` reports for its target; the node counts as responsive again.
  void Update(TimePoint now,
              const std::string& node,
              const std::string& data_centre,
              const wire::TargetStatus& status);
  /// Whether a link to the node is up.
  void SetReachable(const std::string& node, bool reachable);
  /// Nothing was received from the node although requests to it are pending.
  void OnUnresponsive(TimePoint now, const std::string& node);

  /// Returns std::nullopt if no target of the service outside `excluded` (node names) is usable.
  std::optional<PlacedTarget> Choose(TimePoint now,
                                     const PlacementRequest& request,
                                     const std::vector<std::string>& excluded);

  /// Time until a target of the service, all of which are down, may get a trial request. Nullopt if
  /// none of them states it.
  std::optional<Duration> UntilNextTrial(TimePoint now, const std::string& service) const;

  /// Smallest number of slots among the usable targets of a service; 0 if there is none.
  int MinSlots(const std::string& service) const;

  /// Counts the open attempts of a node. Each `OnAttemptStart` must be followed by exactly one
  /// `OnAttemptEnd`.
  void OnAttemptStart(const std::string& node);
  void OnAttemptEnd(const std::string& node);

  /// Whether a target of the service outside `excluded` (node names) is usable now.
  bool HasAlternative(const std::string& service, const std::vector<std::string>& excluded) const;

 private:
  struct Entry {
    std::string data_centre;
    wire::TargetStatus status;
    TimePoint cold_until{};
    bool reachable = false;
    int open_attempts = 0;
    TimePoint unresponsive_until{};
    /// Time from which a target that is down takes a trial request; zero if unknown.
    TimePoint next_trial{};
  };

  bool Serves(const Entry& entry, const std::string& service) const;
  /// Nodes whose targets have a version that the request may be sent to. Nullopt if all have.
  std::optional<std::vector<std::string>> FindVersionNodes(
      const PlacementRequest& request,
      const std::vector<std::string>& excluded) const;
  /// Whether the target is down and takes a trial request.
  bool IsTrialDue(TimePoint now, const Entry& entry, const std::string& service) const;
  /// Returns a target that takes a trial request, chosen at random.
  std::optional<PlacedTarget> ChooseTrial(TimePoint now,
                                          const std::string& service,
                                          const std::vector<std::string>& excluded);
  /// Like `Choose`, for all versions.
  std::optional<PlacedTarget> ChooseOutside(TimePoint now,
                                            const PlacementRequest& request,
                                            const std::vector<std::string>& excluded);
  /// Whether a request may be sent to the version of the target.
  bool MayUseVersion(const Entry& entry) const;
  /// Whether the node is reachable and its target is up and serves `service`.
  bool IsUsable(const Entry& entry, const std::string& service) const;
  struct Candidate {
    const std::string* node = nullptr;
    const Entry* entry = nullptr;
    double expected_us = 0;
  };
  /// Returns the best of a few random candidates; its `node` is null if there are none. Reorders
  /// `candidates`.
  Candidate SelectBest(TimePoint now,
                       std::vector<Candidate>& candidates,
                       const PlacementRequest& request);
  double EstimateCompletionUs(TimePoint now,
                              const Entry& entry,
                              const PlacementRequest& request) const;
  double RemotePenaltyUs(size_t bytes) const;

  PlacementOptions options_;
  std::string data_centre_;
  Random random_;
  RolloutTable* rollouts_;
  std::map<std::string, Entry> entries_;
};

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_TARGET_PLACEMENT_H_
