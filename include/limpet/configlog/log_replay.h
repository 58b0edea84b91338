#ifndef LIMPET_CONFIGLOG_LOG_REPLAY_H_
#define LIMPET_CONFIGLOG_LOG_REPLAY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <variant>

#include "limpet/config/snapshot.h"
#include "limpet/control/control_output.h"
#include "limpet/core/enum_names.h"
#include "limpet/core/error.h"
#include "limpet_types.h"

namespace limpet {

inline constexpr char kConfigStream[] = "config";
inline constexpr char kSystemStream[] = "system";

enum class RejectReason {
  kMalformed,  // the record does not decode
  kStaleBase,  // its base is not the version in effect at its offset
  kInvalid,    // the configuration after its delta does not validate
};

inline constexpr EnumNames<RejectReason, 3> kRejectReasonNames = {{
    {RejectReason::kMalformed, "malformed"},
    {RejectReason::kStaleBase, "stale_base"},
    {RejectReason::kInvalid, "invalid"},
}};

/// The accepted change that made a base stale.
struct ConflictingChange {
  int64_t version = 0;
  /// Empty when the change is older than the history this replay keeps.
  std::string id;
  std::string author;
};

/// A record of the stream "config" that changed nothing.
struct Rejection {
  int64_t offset = 0;
  /// Empty for a malformed record.
  std::string id;
  RejectReason reason = RejectReason::kMalformed;
  /// One line for an operator.
  std::string detail;
  /// Set for `kStaleBase`: the change that was accepted on that base or, if it is unknown, the
  /// version in effect. Has the id of the rejected record itself when that is a repeated append.
  ConflictingChange conflicting_change;
};

/// Records between the position of a replay and the record it was given are missing.
class ReplayGapError : public Error {
 public:
  ReplayGapError(int64_t expected, int64_t found);
};

/// Result of one record: accepted, rejected, or (monostate) already replayed.
using ReplayResult = std::variant<std::monostate, wire::AcceptedChange, Rejection>;

/// The replay rule of the stream "config", the same in every reader. The version of an accepted
/// change is the offset of its record.
class LogReplay {
 public:
  /// Rejections and accepted changes kept for operators and publishers.
  static constexpr std::size_t kMaxRejections = 256;
  static constexpr std::size_t kMaxAccepted = 256;

  /// Starts with the empty configuration at offset 1.
  LogReplay();
  /// Continues from a configuration at its `next_offset`. Throws `ValidationError` if it is not
  /// valid as a whole.
  explicit LogReplay(const wire::FullConfig& config);
  /// Continues at an offset from a configuration in effect, without validating it again. The
  /// snapshot must not be null.
  LogReplay(ConfigSnapshotPtr snapshot, int64_t next_offset);

  /// Replays the record at `next_offset()`; earlier offsets are ignored. Throws `ReplayGapError`
  /// for a later offset.
  ReplayResult Apply(const LogRecord& record);

  int64_t version() const { return snapshot_->version(); }
  int64_t next_offset() const { return next_offset_; }
  const ConfigSnapshotPtr& snapshot() const { return snapshot_; }
  /// The configuration in effect with `next_offset` at the position of this replay.
  wire::FullConfig FullConfig() const;

  /// The newest ones, oldest first.
  const std::deque<Rejection>& rejections() const { return rejections_; }
  const std::deque<wire::AcceptedChange>& accepted() const { return accepted_; }
  /// Null if the id is not among those kept.
  const Rejection* FindRejection(const std::string& id) const;
  const wire::AcceptedChange* FindAccepted(const std::string& id) const;

 private:
  ReplayResult Decide(const LogRecord& record);
  Rejection Reject(Rejection rejection);
  ConflictingChange ConflictingChangeOn(int64_t base) const;

  ConfigSnapshotPtr snapshot_;
  int64_t next_offset_ = 1;
  std::deque<Rejection> rejections_;
  std::deque<wire::AcceptedChange> accepted_;
};

/// The snapshot after `change` on `base`. Throws `ValidationError` if the result is not valid as a
/// whole; does not check the change's base.
ConfigSnapshotPtr ApplyChange(const ConfigSnapshot& base, const wire::AcceptedChange& change);

}  // namespace limpet

#endif  // LIMPET_CONFIGLOG_LOG_REPLAY_H_
