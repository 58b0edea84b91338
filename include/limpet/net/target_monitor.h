#ifndef LIMPET_NET_TARGET_MONITOR_H_
#define LIMPET_NET_TARGET_MONITOR_H_

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

#include "limpet/core/enum_names.h"
#include "limpet/core/time.h"
#include "limpet/net/target_client.h"
#include "limpet_types.h"

namespace limpet {

inline constexpr EnumNames<wire::TargetState::type, 4> kTargetStateNames = {{
    {wire::TargetState::kStarting, "starting"},
    {wire::TargetState::kUp, "up"},
    {wire::TargetState::kDraining, "draining"},
    {wire::TargetState::kDown, "down"},
}};

/// Derives the state of this node's target from health probes and from the announcements of the
/// target. Performs no I/O. Not safe for concurrent use.
class TargetHealth {
 public:
  /// Consecutive failed probes after which the target counts as down. More than one, because a
  /// short stall can make a single probe fail.
  static constexpr int kFailuresUntilDown = 2;

  /// `state` has no value if the probe failed.
  void OnProbe(std::optional<wire::TargetState::type> state);
  /// An announced drain takes precedence over later probes, because a health endpoint can report an
  /// outdated state. This ends with the next announcement or after `kFailuresUntilDown` failed
  /// probes.
  void OnAnnouncement(wire::TargetState::type state);

  wire::TargetState::type state() const { return state_; }

 private:
  wire::TargetState::type state_ = wire::TargetState::kStarting;
  bool drain_announced_ = false;
  int failures_ = 0;
};

/// Parses the response of a health endpoint: a JSON object whose member "state" is one of the four
/// state names, or any other body, which means up. Returns no value for an unknown state name or a
/// status other than 200.
std::optional<wire::TargetState::type> ParseHealth(const HttpResponse& response);

struct TargetMonitorOptions {
  std::string health_path = "/health";
  Duration interval = std::chrono::seconds(1);
  Duration timeout = std::chrono::milliseconds(500);
};

/// Probes this node's target on a separate thread.
class TargetMonitor {
 public:
  /// Called when the state has changed, while the mutex of the monitor is locked.
  using Listener = std::function<void(wire::TargetState::type)>;

  TargetMonitor(TargetMonitorOptions options, TargetClient& target, Listener listener);
  ~TargetMonitor();
  TargetMonitor(const TargetMonitor&) = delete;
  TargetMonitor& operator=(const TargetMonitor&) = delete;

  /// Processes an announcement of the target. Returns false if `state` is not one of the four state
  /// names.
  bool Announce(std::string_view state);
  wire::TargetState::type state() const;
  void Stop();

 private:
  void Run();
  std::optional<wire::TargetState::type> Probe();
  void ApplyChange(const std::function<void()>& change);

  const TargetMonitorOptions options_;
  TargetClient& target_;
  const Listener listener_;
  mutable std::mutex mutex_;
  std::condition_variable stopped_;
  bool stopping_ = false;
  TargetHealth health_;
  std::thread thread_;
};

}  // namespace limpet

#endif  // LIMPET_NET_TARGET_MONITOR_H_
