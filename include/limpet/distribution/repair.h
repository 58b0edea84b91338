#ifndef LIMPET_DISTRIBUTION_REPAIR_H_
#define LIMPET_DISTRIBUTION_REPAIR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "limpet/control/control_output.h"
#include "limpet/core/random.h"
#include "limpet/core/time.h"

namespace limpet {

/// Tracks the peers that are ahead of this node and the single pending request for their changes.
/// The node that is behind sends the request, so that it does not receive changes twice.
class Repair {
 public:
  /// A push usually arrives within this time after the first ping with the new version.
  static constexpr Duration kPushGracePeriod = std::chrono::milliseconds(400);
  static constexpr Duration kReplyTimeout = std::chrono::seconds(1);
  static constexpr Duration kMinBackoff = std::chrono::milliseconds(100);
  static constexpr Duration kMaxBackoff = std::chrono::seconds(5);
  /// A peer that reports a version but delivers nothing for this many requests in a row is excluded
  /// for `kExclusionTime`.
  static constexpr int kMaxFailures = 5;
  static constexpr Duration kExclusionTime = std::chrono::seconds(60);
  /// Limits the size of the table if versions are reported under invented names.
  static constexpr std::size_t kMaxPeers = 64;

  struct Request {
    std::string peer;
    PeerAddress to;
  };

  explicit Repair(Random random) : random_(random) {}

  /// Records that a peer reported `version`. If the peer is new, it is not asked before `grace`
  /// has passed.
  void OnPeerVersion(TimePoint now,
                     const std::string& peer,
                     const PeerAddress& address,
                     int64_t version,
                     Duration grace);
  /// Returns the request to send now, if any. Removes peers that are not ahead of `own_version`,
  /// and counts a failure if the pending request got no reply within `kReplyTimeout`.
  std::optional<Request> Tick(TimePoint now, int64_t own_version);
  /// Handles the reply to the pending request. Counts a failure if it brought no `progress`.
  void OnReply(TimePoint now, std::string_view peer, bool progress);
  /// Handles a refusal of the pending request. The peer is asked again after about `retry_after`,
  /// clamped to `kMinBackoff` and `kMaxBackoff`.
  void OnRefusal(TimePoint now, std::string_view peer, Duration retry_after);

  bool IsWaitingFor(std::string_view peer) const { return pending_ && pending_->peer == peer; }
  /// True while a peer that is not excluded is ahead of `own_version`.
  bool IsBehind(int64_t own_version) const;

 private:
  struct Peer {
    PeerAddress address;
    int64_t version = 0;
    TimePoint not_before;
    int failures = 0;
    std::optional<TimePoint> excluded_until;
  };
  struct PendingRequest {
    std::string peer;
    TimePoint sent_at;
  };

  void RecordFailure(TimePoint now, std::string_view name);

  Random random_;
  std::map<std::string, Peer, std::less<>> peers_;
  std::optional<PendingRequest> pending_;
};

}  // namespace limpet

#endif  // LIMPET_DISTRIBUTION_REPAIR_H_
