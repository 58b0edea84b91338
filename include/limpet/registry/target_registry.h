#ifndef LIMPET_REGISTRY_TARGET_REGISTRY_H_
#define LIMPET_REGISTRY_TARGET_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "limpet/core/enum_names.h"
#include "limpet/core/time.h"

namespace limpet {

/// What a target says of itself in one heartbeat.
struct TargetAnnouncement {
  /// Names one start of the target, unless `start_time_ms` differs as well.
  std::string instance;
  std::string service;
  /// host:port at which the target takes requests.
  std::string address;
  std::string data_centre;
  /// Version of the target's software.
  std::string software;
  int slots = 0;
  bool draining = false;
  /// How much longer the target stays slow after its start.
  Duration cold_remaining{0};
  /// Rises with each heartbeat of one start.
  int64_t sequence = 0;
  /// Time of the start, by the clock of the target; 0 if unknown.
  int64_t start_time_ms = 0;

  bool IsSameInstance(const TargetAnnouncement& later) const {
    return instance == later.instance &&
           (start_time_ms == later.start_time_ms || start_time_ms == 0);
  }
};

enum class AnnouncementResult {
  kCurrent,     // the target beside this node, ready
  kDraining,    // it takes no new work from now on
  kLate,        // sent before something that is known already
  kWrongPlace,  // its address is not beside this node
};

inline constexpr EnumNames<AnnouncementResult, 4> kAnnouncementResultNames = {{
    {AnnouncementResult::kCurrent, "current"},
    {AnnouncementResult::kDraining, "draining"},
    {AnnouncementResult::kLate, "late"},
    {AnnouncementResult::kWrongPlace, "wrong_place"},
}};

/// The target beside this node, from its heartbeats. Heartbeats may be repeated, late and
/// overtaken by those of a later start; leaving is final for one start of a target. Not safe for
/// concurrent use.
class TargetRegistry {
 public:
  /// `address` is where the target beside this node listens.
  explicit TargetRegistry(std::string address) : address_(std::move(address)) {}

  AnnouncementResult OnAnnouncement(TimePoint now, const TargetAnnouncement& announcement);
  /// The target says that it is leaving for good. `start_time_ms` is empty if it did not say its
  /// start; `unix_ms`, the time of day, then bounds the starts that the leave is for.
  void OnLeave(TimePoint now,
               int64_t unix_ms,
               const std::string& instance,
               std::optional<int64_t> start_time_ms);

  /// The target's health endpoint named an instance before any heartbeat came. False if that is not
  /// news, or if the instance has left. Its start is unknown until its next heartbeat.
  bool OnDiscovered(const std::string& instance, const std::string& service, int slots);

  /// The latest start that was heard of and has not left; also while it drains.
  const TargetAnnouncement* current() const { return current_ ? &*current_ : nullptr; }
  void set_address(std::string address) { address_ = std::move(address); }

 private:
  struct Departed {
    /// Starts up to this one have left.
    int64_t start_time_ms = 0;
    TimePoint at{};
    /// The start was not known when the target left, so `start_time_ms` is only an upper bound.
    bool estimated = false;
  };

  bool IsLate(const TargetAnnouncement& announcement) const;
  void Forget(TimePoint now);

  std::string address_;
  std::optional<TargetAnnouncement> current_;
  /// Starts that have left or were replaced, by instance.
  std::map<std::string, Departed> departed_;
};

}  // namespace limpet

#endif  // LIMPET_REGISTRY_TARGET_REGISTRY_H_
