#ifndef LIMPET_REGISTRY_TARGET_REGISTRY_H_
#define LIMPET_REGISTRY_TARGET_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

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
  kCurrent,      // from the local target, which is ready
  kDraining,     // from the local target, which accepts no new work from now on
  kUnconfirmed,  // from a target start that is not used before it passes a health check
  kLate,         // older than what is already known
  kWrongPlace,   // not the address of the local target
};

inline constexpr EnumNames<AnnouncementResult, 5> kAnnouncementResultNames = {{
    {AnnouncementResult::kCurrent, "current"},
    {AnnouncementResult::kDraining, "draining"},
    {AnnouncementResult::kUnconfirmed, "unconfirmed"},
    {AnnouncementResult::kLate, "late"},
    {AnnouncementResult::kWrongPlace, "wrong_place"},
}};

/// Tracks the local target, which runs beside this node, by its heartbeats and health checks.
/// Heartbeats may be duplicated, delayed, or received after those of a later instance.
///
/// A heartbeat alone does not put a target start into use: it may have been sent before a leave
/// that an earlier process of this node acknowledged. The start becomes a candidate and is used
/// once it passes a health check that was sent by this process after the last leave, because a
/// target that is leaving fails its health checks. Draining and leaving need no check and are final
/// for a target start. Not safe for concurrent use.
class TargetRegistry {
 public:
  /// `address` is the address at which the local target accepts requests. `started` and
  /// `started_unix_ms` are the start of this process by both clocks.
  TargetRegistry(std::string address, TimePoint started, int64_t started_unix_ms)
      : address_(std::move(address)), started_(started), started_unix_ms_(started_unix_ms) {}

  AnnouncementResult OnAnnouncement(TimePoint now, const TargetAnnouncement& announcement);
  /// Handles the message of a target that it leaves. `start_time_ms` is empty if the message has no
  /// start time.
  void OnLeave(TimePoint now, const std::string& instance, std::optional<int64_t> start_time_ms);

  /// Returns a candidate whose health check is due, or null.
  const TargetAnnouncement* FindCheckDue(TimePoint now) const;
  /// Call it when a health check of the target is sent; pass the result to `OnCheckPassed`. Sets
  /// when the check of the candidate `instance` is repeated.
  int64_t OnCheckSent(TimePoint now, const std::string& instance);
  /// Handles a passed health check that named `instance`, and returns true if that changes
  /// `current()`. A check that was sent before the last leave proves nothing and is ignored.
  bool OnCheckPassed(int64_t check, const std::string& instance);
  /// Handles a passed health check before any heartbeat of `instance`. The target is used if none
  /// is known; its start time is unknown until its next heartbeat.
  bool OnDiscovered(int64_t check,
                    const std::string& instance,
                    const std::string& service,
                    int slots);
  /// Puts a candidate whose service has no health check into use if it started after this process,
  /// or if its heartbeats arrive long after any leave. Returns true if that changes `current()`.
  bool ConfirmUnchecked(const std::string& instance);

  /// The latest confirmed target start that has not left, also while it drains; null if none.
  const TargetAnnouncement* current() const { return current_ ? &*current_ : nullptr; }
  void set_address(std::string address) { address_ = std::move(address); }

 private:
  struct Candidate {
    TargetAnnouncement announcement;
    TimePoint heard_at{};
    TimePoint check_due_at{};
    Duration check_backoff{0};
  };
  struct EndedStart {
    std::string instance;
    int64_t start_time_ms = 0;
    TimePoint expiry{};
  };

  bool IsOfCurrentStart(const TargetAnnouncement& announcement) const;
  AnnouncementResult OnCurrentAnnouncement(const TargetAnnouncement& announcement);
  AnnouncementResult OnDraining(TimePoint now, const TargetAnnouncement& announcement);
  AnnouncementResult AddCandidate(TimePoint now, const TargetAnnouncement& announcement);
  bool HasEnded(const TargetAnnouncement& announcement) const;
  void RecordEnd(const std::string& instance, int64_t start_time_ms, TimePoint expiry);
  /// Handles the acknowledged end of a start of `instance`. Without a start time, no candidate with
  /// this name remains.
  void EndStart(TimePoint now, const std::string& instance, std::optional<int64_t> start_time_ms);
  void RemoveExpired(TimePoint now);

  std::string address_;
  TimePoint started_;
  int64_t started_unix_ms_;
  std::optional<TargetAnnouncement> current_;
  /// Target starts that have announced themselves and are not confirmed yet, by instance.
  std::map<std::string, Candidate> candidates_;
  /// Target starts that have left or drained.
  std::vector<EndedStart> ended_starts_;
  /// Number of leaves and drains so far, by which an outdated health check is recognised.
  int64_t ended_count_ = 0;
  TimePoint last_end_{};
};

}  // namespace limpet

#endif  // LIMPET_REGISTRY_TARGET_REGISTRY_H_
