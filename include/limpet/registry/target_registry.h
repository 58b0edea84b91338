#ifndef LIMPET_REGISTRY_TARGET_REGISTRY_H_
#define LIMPET_REGISTRY_TARGET_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "limpet/core/enum_names.h"
#include "limpet/core/time.h"

namespace limpet {

/// State of a target, as reported in one heartbeat.
struct TargetAnnouncement {
  /// Name of the target instance. A restarted target may reuse it; the start time then differs.
  std::string instance;
  std::string service;
  /// host:port at which the target accepts requests.
  std::string address;
  std::string data_centre;
  /// Version of the target's software.
  std::string software;
  int slots = 0;
  bool draining = false;
  /// Time for which the target will still be slow after its start.
  Duration cold_remaining{0};
  /// Increases with each heartbeat of one target instance.
  int64_t sequence = 0;
  /// Start time by the clock of the target; 0 if unknown.
  int64_t start_time_ms = 0;

  /// Returns true if `later` is of the same process start. An unknown start time matches any.
  bool IsSameInstance(const TargetAnnouncement& later) const {
    return instance == later.instance &&
           (start_time_ms == later.start_time_ms || start_time_ms == 0);
  }
};

enum class AnnouncementResult {
  kCurrent,     // from the local target, which is ready
  kDraining,    // from the local target, which accepts no new work from now on
  kLate,        // older than what is already known
  kWrongPlace,  // not the address of the local target
};

inline constexpr EnumNames<AnnouncementResult, 4> kAnnouncementResultNames = {{
    {AnnouncementResult::kCurrent, "current"},
    {AnnouncementResult::kDraining, "draining"},
    {AnnouncementResult::kLate, "late"},
    {AnnouncementResult::kWrongPlace, "wrong_place"},
}};

/// Tracks the local target, which runs beside this node, by its heartbeats. Heartbeats may be
/// duplicated, delayed, or received after those of a later instance. A leave is final for a target
/// instance. Not safe for concurrent use.
class TargetRegistry {
 public:
  /// `address` is the address at which the local target accepts requests.
  explicit TargetRegistry(std::string address) : address_(std::move(address)) {}

  AnnouncementResult OnAnnouncement(TimePoint now, const TargetAnnouncement& announcement);
  /// Handles the message of a target that it leaves. `start_time_ms` is empty if the message has no
  /// start time. The start time is then taken from the heartbeats; if it is not known from them
  /// either, the leave applies to all starts up to `unix_ms`, the current time of day.
  void OnLeave(TimePoint now,
               int64_t unix_ms,
               const std::string& instance,
               std::optional<int64_t> start_time_ms);

  /// Handles an instance that the target's health endpoint named before any heartbeat was received.
  /// Returns false if a target is already known, or if the instance has left or was replaced. Its
  /// start time is unknown until its next heartbeat.
  bool OnDiscovered(const std::string& instance, const std::string& service, int slots);

  /// The latest known target instance that has not left, also while it drains; null if none.
  const TargetAnnouncement* current() const { return current_ ? &*current_ : nullptr; }
  void set_address(std::string address) { address_ = std::move(address); }

 private:
  struct EndedInstance {
    /// Start time of the instance; all starts up to this time have ended.
    int64_t start_time_ms = 0;
    TimePoint ended_at{};
    /// The start time was not known when the target left, so `start_time_ms` is only an upper
    /// bound.
    bool estimated = false;
  };

  bool IsLate(const TargetAnnouncement& announcement) const;
  void RemoveExpired(TimePoint now);

  std::string address_;
  std::optional<TargetAnnouncement> current_;
  /// Target instances that have left or were replaced, by name.
  std::map<std::string, EndedInstance> ended_instances_;
};

}  // namespace limpet

#endif  // LIMPET_REGISTRY_TARGET_REGISTRY_H_
