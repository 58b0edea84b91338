#ifndef LIMPET_TRAFFIC_TARGET_PLACEMENT_H_
#define LIMPET_TRAFFIC_TARGET_PLACEMENT_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "limpet/core/random.h"
#include "limpet/core/time.h"
#include "limpet/traffic/service_times.h"
#include "limpet_types.h"

namespace limpet {

struct PlacementOptions {
  /// Added to the expected time of a target in another data centre: the way there and back.
  Duration remote_penalty = std::chrono::milliseconds(3);
  /// Added for each KiB of an expected response from another data centre, because bytes between
  /// data centres are paid for.
  Duration remote_penalty_per_kib = std::chrono::milliseconds(10);
  /// A target of the own data centre is chosen if it is expected to answer within this share of the
  /// time left, even if a remote one is faster. The rest covers requests that take longer than
  /// usual.
  double local_share = 0.9;
  /// Responses of this size or more have the whole local share, smaller ones less of it, because
  /// they cost little between data centres.
  size_t local_share_bytes = 1024;
  /// Targets of one data centre that are compared for one request. With many callers whose views
  /// are old, comparing all would send them all to the same target (power of d choices).
  std::size_t candidates_compared = 4;
  /// A node that left a probe or a request without any sign of life is avoided for this long.
  Duration unresponsive_penalty = std::chrono::seconds(1);
};

/// What is known of a request when its target is chosen.
struct PlacementRequest {
  std::string service;
  size_t expected_response_bytes = 0;
  /// Time until the response loses its full value.
  Duration remaining_latency{0};
  /// Time that requests of the route usually run, over all targets.
  Duration typical_service_time = kAssumedServiceTime;
};

struct PlacedTarget {
  std::string node;
  std::string instance;
  bool is_local = false;
  /// A late response from here is better than bytes from another data centre.
  bool wait_beyond_latency_target = false;
};

/// Selects the target of each attempt: the one with the shortest expected completion (join the
/// shortest queue, weighted by speed), from the load that rides on replies and status messages and
/// from this node's own open calls. Not safe for concurrent use.
class TargetPlacement {
 public:
  TargetPlacement(PlacementOptions options, std::string data_centre, Random random);

  /// The target beside `node`, as that node reports it.
  void Update(TimePoint now,
              const std::string& node,
              const std::string& data_centre,
              const wire::TargetStatus& status);
  /// Whether a link to the node is up.
  void SetReachable(const std::string& node, bool reachable);
  /// The node shows no sign of life although requests wait for it.
  void OnUnresponsive(TimePoint now, const std::string& node);

  /// Nothing if no target of the service outside `excluded` (node names) can take a request.
  std::optional<PlacedTarget> Choose(TimePoint now,
                                     const PlacementRequest& request,
                                     const std::vector<std::string>& excluded);

  /// Slots of the known targets of a service, the smallest; 0 if none is known.
  int MinSlots(const std::string& service) const;

  /// Each `OnSend` is followed by exactly one `OnEnd`.
  void OnSend(const std::string& node);
  void OnEnd(const std::string& node);

  /// Whether a target outside `excluded` could be chosen now.
  bool HasAlternative(const std::string& service, const std::vector<std::string>& excluded) const;

 private:
  struct Entry {
    std::string data_centre;
    wire::TargetStatus status;
    TimePoint cold_until{};
    bool reachable = false;
    int open_calls = 0;
    TimePoint unresponsive_until{};
  };

  bool IsUsable(const Entry& entry, const std::string& service) const;
  struct Option {
    const std::string* node = nullptr;
    const Entry* entry = nullptr;
    double time = 0;
  };
  /// The best of a few random candidates; null node if there are none.
  Option Best(TimePoint now, std::vector<Option>& candidates, const PlacementRequest& request);
  double ExpectedTime(TimePoint now, const Entry& entry, const PlacementRequest& request) const;
  double RemotePenalty(size_t bytes) const;

  PlacementOptions options_;
  std::string data_centre_;
  Random random_;
  std::map<std::string, Entry> entries_;
};

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_TARGET_PLACEMENT_H_
