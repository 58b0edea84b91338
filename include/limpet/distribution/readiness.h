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
  kJoining,   // the member table is not known yet
  kAsking,    // some peers are asked for their versions
  kFetching,  // a peer is ahead
  kTail,      // the rest comes from the log
  kReady,
};

inline constexpr EnumNames<StartPhase, 5> kStartPhaseNames = {{
    {StartPhase::kJoining, "joining"},
    {StartPhase::kAsking, "asking"},
    {StartPhase::kFetching, "fetching"},
    {StartPhase::kTail, "tail"},
    {StartPhase::kReady, "ready"},
}};

/// Decides when a started node is ready: when it holds the highest version that the peers it asked
/// have and, unless the log fails to answer in time, all that the log holds. Ready is final.
class Readiness {
 public:
  static constexpr std::size_t kPeersAsked = 3;
  static constexpr Duration kPeerTimeout = std::chrono::seconds(2);
  static constexpr Duration kLogTimeout = std::chrono::seconds(2);
  /// Spread of the first log reads of nodes that start together.
  static constexpr Duration kTailSpread = std::chrono::milliseconds(500);
  /// Peers that refuse transfers for this long are passed over for the log, if it answers.
  static constexpr Duration kFetchTimeout = std::chrono::seconds(10);

  /// What the node knows at this moment.
  struct Input {
    bool joined = false;
    /// A believed peer is ahead, or a newer version was refused.
    bool behind = false;
    bool log_configured = true;
    /// When the log last answered a read, if ever.
    std::optional<TimePoint> log_answered_at;
    /// All records up to the end that the log had during this start are replayed.
    bool log_caught_up = false;
    /// Draws at most `kPeersAsked` live members, without this node. Called only when peers are
    /// asked, because it walks the whole member table.
    std::function<std::vector<std::string>()> sample_peers;
  };

  explicit Readiness(Random random) : random_(random) {}

  /// Returns the peers to ask now; usually none.
  std::vector<std::string> Tick(TimePoint now, const Input& input);
  void OnPeerReply(std::string_view peer, bool peer_ready);

  StartPhase phase() const { return phase_; }
  bool ready() const { return phase_ == StartPhase::kReady; }
  /// True while the log is to be read for this start.
  bool WantsLog(TimePoint now) const;

 private:
  std::vector<std::string> Ask(TimePoint now, const Input& input);
  void EndAsking(TimePoint now);
  void TickTail(TimePoint now, const Input& input);

  Random random_;
  StartPhase phase_ = StartPhase::kJoining;
  TimePoint phase_start_;
  std::set<std::string, std::less<>> asked_;
  /// A ready peer answered, so its configuration counts as current without the log.
  bool has_source_ = false;
  std::optional<TimePoint> log_start_;
};

}  // namespace limpet

#endif  // LIMPET_DISTRIBUTION_READINESS_H_
