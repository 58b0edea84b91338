#ifndef LIMPET_DISTRIBUTION_READINESS_H_
#define LIMPET_DISTRIBUTION_READINESS_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "limpet/core/enum_names.h"
#include "limpet/core/random.h"
#include "limpet/core/time.h"

namespace limpet {

enum class StartPhase {
  kJoining,   // waits for the member table
  kAsking,    // waits for the versions of some peers
  kFetching,  // fetches changes from peers that are ahead
  kTail,      // reads the remaining records from the log
  kReady,
};

inline constexpr EnumNames<StartPhase, 5> kStartPhaseNames = {{
    {StartPhase::kJoining, "joining"},
    {StartPhase::kAsking, "asking"},
    {StartPhase::kFetching, "fetching"},
    {StartPhase::kTail, "tail"},
    {StartPhase::kReady, "ready"},
}};

/// Decides when a starting node is ready: when it has the highest version of the peers that it
/// asked and all changes in the log. If the log does not respond in time, the version of a ready
/// peer is sufficient. A node that is ready stays ready.
class Readiness {
 public:
  static constexpr std::size_t kPeersAsked = 3;
  static constexpr Duration kPeerTimeout = std::chrono::seconds(2);
  static constexpr Duration kLogTimeout = std::chrono::seconds(2);
  /// The first log reads of nodes that start together are spread over this time.
  static constexpr Duration kTailSpread = std::chrono::milliseconds(500);
  /// If the node is still behind after this time, for example because peers refuse transfers, it
  /// reads the log instead.
  static constexpr Duration kFetchTimeout = std::chrono::seconds(10);

  /// State of the node at a tick.
  struct Input {
    bool joined = false;
    /// A peer that is not excluded (see `Repair`) is ahead, or a newer version was refused.
    bool behind = false;
    bool log_configured = true;
    /// Time of the log's last response to a read, if any.
    std::optional<TimePoint> log_responded_at;
    /// All records up to the end of the log, as read during this start, are replayed.
    bool log_caught_up = false;
    /// Returns at most `kPeersAsked` random live members other than this node. Called only when
    /// peers are to be asked, because it walks the whole member table.
    std::function<std::vector<std::string>()> sample_peers;
  };

  explicit Readiness(Random random) : random_(random) {}

  /// Returns the peers to ask for their versions now; usually none.
  std::vector<std::string> Tick(TimePoint now, const Input& input);
  /// Handles the reply of a peer. Ignored if no reply of this peer is awaited.
  void OnReply(std::string_view peer, bool peer_ready);

  StartPhase phase() const { return phase_; }
  bool ready() const { return phase_ == StartPhase::kReady; }
  /// True while the node has to read the log to become ready.
  bool ShouldReadLog(TimePoint now) const;

 private:
  std::vector<std::string> StartAsking(TimePoint now, const Input& input);
  void StartFetching(TimePoint now);
  void TickTail(TimePoint now, const Input& input);

  Random random_;
  StartPhase phase_ = StartPhase::kJoining;
  TimePoint phase_start_;
  std::set<std::string, std::less<>> awaited_peers_;
  /// A ready peer replied, so its configuration counts as current if the log does not respond.
  bool has_ready_peer_ = false;
  std::optional<TimePoint> log_start_;
};

}  // namespace limpet

#endif  // LIMPET_DISTRIBUTION_READINESS_H_
