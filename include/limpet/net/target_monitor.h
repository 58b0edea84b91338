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

/// State of the own target from probes of its health endpoint and from its announcements. Free of
/// I/O; not safe for concurrent use.
class TargetHealth {
 public:
  /// Probes without an answer in a row before the target counts as down: one can be lost to a short
  /// stall.
  static constexpr int kFailuresUntilDown = 2;

  /// `state` is nothing if the probe had no answer.
  void OnProbe(std::optional<wire::TargetState::type> state);
  /// An announced drain outranks later probes until the next announcement or until probes fail,
  /// because health endpoints lag.
  void OnAnnouncement(wire::TargetState::type state);

  wire::TargetState::type state() const { return state_; }

 private:
  wire::TargetState::type state_ = wire::TargetState::kStarting;
  bool drain_announced_ = false;
  int failures_ = 0;
};

/// Reads a health answer: JSON with a member "state", or any other body, which counts as up.
/// Nothing for a status other than 200.
std::optional<wire::TargetState::type> ParseHealth(const HttpResponse& response);

struct TargetMonitorOptions {
  std::string health_path = "/health";
  Duration interval = std::chrono::seconds(1);
  Duration timeout = std::chrono::milliseconds(500);
};

/// Probes the own target on a thread of its own.
class TargetMonitor {
 public:
  /// Called on a change of the state, under the lock of the monitor.
  using Listener = std::function<void(wire::TargetState::type)>;

  TargetMonitor(TargetMonitorOptions options, TargetClient& target, Listener listener);
  ~TargetMonitor();
  TargetMonitor(const TargetMonitor&) = delete;
  TargetMonitor& operator=(const TargetMonitor&) = delete;

  /// False if `state` is not one of the four names.
  bool Announce(std::string_view state);
  wire::TargetState::type state() const;
  void Stop();

 private:
  void Run();
  std::optional<wire::TargetState::type> Probe();
  void Change(const std::function<void()>& change);

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
