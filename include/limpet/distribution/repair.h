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

/// Table of peers that are ahead of this node, and the one request for their changes that is open.
/// The node behind asks, so that it is sent nothing twice.
class Repair {
 public:
  /// A push usually arrives within this time of the first ping that carries the new version.
  static constexpr Duration kGrace = std::chrono::milliseconds(400);
  static constexpr Duration kReplyTimeout = std::chrono::seconds(1);
  static constexpr Duration kMinBackoff = std::chrono::milliseconds(100);
  static constexpr Duration kMaxBackoff = std::chrono::seconds(5);
  /// A peer that claims a version and gives nothing after this many requests is not believed for
  /// `kExclusionTime`.
  static constexpr int kMaxFailures = 5;
  static constexpr Duration kExclusionTime = std::chrono::seconds(60);
  /// Bounds the table against claims under made-up names.
  static constexpr std::size_t kMaxPeers = 64;

  struct Request {
    std::string peer;
    PeerAddress to;
  };

  explicit Repair(Random random) : random_(random) {}

  /// A peer said that it has `version`. Without `grace` it is asked at the next tick.
  void OnPeerVersion(TimePoint now,
                     const std::string& peer,
                     const PeerAddress& address,
                     int64_t version,
                     Duration grace);
  /// The request to send now, if any. Forgets peers that are no longer ahead of `own_version`.
  std::optional<Request> Tick(TimePoint now, int64_t own_version);
  /// The peer answered the open request. Without progress it gets a strike.
  void OnReply(TimePoint now, std::string_view peer, bool progress);
  void OnRefusal(TimePoint now, std::string_view peer, Duration retry_after);

  bool IsWaitingFor(std::string_view peer) const { return pending_ && pending_->peer == peer; }
  /// True while a believed peer is ahead of `own_version`.
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
