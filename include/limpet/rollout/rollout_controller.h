#ifndef LIMPET_ROLLOUT_ROLLOUT_CONTROLLER_H_
#define LIMPET_ROLLOUT_ROLLOUT_CONTROLLER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "limpet/core/time.h"
#include "limpet/rollout/rollout_analysis.h"
#include "limpet/rollout/rollout_types.h"
#include "limpet_types.h"

namespace limpet {

struct RolloutOptions {
  /// A bad version gets at most this share of the requests between order and deadline, plus
  /// `exposure_slack` requests.
  double exposure_share = 0.1;
  double exposure_slack = 50;
  /// A target counts if the node beside it sent a report within this time.
  Duration target_age = std::chrono::seconds(3);
};

/// Decides on the roll-out of one service while this node holds the lease for it: raises the canary
/// share in steps, compares the versions, and completes the roll-out or rolls it back. Verdicts are
/// final. Free of I/O; not safe for concurrent use.
class RolloutController {
 public:
  /// `first_seen` is the first sight of the order at this node.
  RolloutController(RolloutOptions options, RolloutOrder order, TimePoint first_seen);

  /// Continues from the state that an earlier holder published; also from that of an earlier order
  /// of the service, whose rolled back version stays excluded.
  void Resume(TimePoint now, const RolloutStatus& status);
  /// Continues from the record that an earlier holder wrote to the store.
  void OnStoredState(const std::string& target_version, RolloutState state);
  void OnReport(TimePoint now, const std::string& node, const wire::RolloutReport& report);

  /// Returns the state to publish if it changed. Call it about every 50 ms.
  std::optional<RolloutStatus> Decide(TimePoint now);
  /// The state that has to be written to the store and is not acknowledged yet.
  std::optional<RolloutState> StateToWrite() const;
  /// The store has acknowledged this state.
  void OnWritten(RolloutState state);

  const RolloutOrder& order() const { return order_; }
  const RolloutStatus& status() const { return status_; }
  /// Why the version was rolled back; for the log.
  const std::string& reason() const { return reason_; }
  int64_t new_requests() const { return analysis_.new_requests(); }
  int64_t requests() const { return analysis_.requests(); }

 private:
  struct Target {
    std::string software;
    bool closed = false;
    int64_t applied_sequence = 0;
    TimePoint heard_at{};
    std::map<std::string, RolloutCounts> counted;
  };
  struct TargetCounts {
    int old_targets = 0;
    int open_old_targets = 0;
    int new_targets = 0;
  };

  bool IsExcluded(const std::string& version) const;
  TargetCounts CountTargets(TimePoint now) const;
  double Progress(TimePoint now) const;
  /// Largest share for which the exposure stays in its bound until a fault is noticed.
  double ExposureLimit(TimePoint now) const;
  double CanaryShare(TimePoint now, const TargetCounts& targets) const;
  bool MayClose(TimePoint now, const TargetCounts& targets) const;
  bool MayComplete(TimePoint now, const TargetCounts& targets) const;
  void RollBack(std::string reason);
  void SetState(RolloutState state, double share);

  RolloutOptions options_;
  RolloutOrder order_;
  TimePoint first_seen_;
  RolloutStatus status_;
  RolloutAnalysis analysis_;
  /// By node and instance.
  std::map<std::pair<std::string, std::string>, Target> targets_;
  TimePoint closing_since_{};
  int64_t new_requests_at_closing_ = 0;
  /// The record `completed` may have been written, so the verdict cannot change any more.
  bool completing_ = false;
  bool changed_ = true;
  std::optional<RolloutState> written_;
  std::string reason_;
};

}  // namespace limpet

#endif  // LIMPET_ROLLOUT_ROLLOUT_CONTROLLER_H_
