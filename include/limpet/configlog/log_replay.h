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

/// The accepted change whose base a rejected change named as well.
struct ConflictingChange {
  int64_t version = 0;
  /// Empty if the change is older than the changes that are still known.
  std::string id;
  std::string author;
};

/// A record of the stream "config" that the replay rule rejects; it has no effect.
struct Rejection {
  int64_t offset = 0;
  /// Empty for a malformed record.
  std::string id;
  RejectReason reason = RejectReason::kMalformed;
  /// One-line explanation for the operator.
  std::string detail;
  /// Set for `kStaleBase` only: the change that was accepted on the same base or, if that is
  /// unknown, the version in effect. Has the id of the rejected record if that record was appended
  /// twice.
  ConflictingChange conflicting_change;
};

/// Thrown for a record whose offset is higher than the next offset of the replay.
class ReplayGapError : public Error {
 public:
  ReplayGapError(int64_t expected, int64_t found);
};

/// Result of replaying one record: accepted, rejected, or monostate if it was replayed before.
using ReplayResult = std::variant<std::monostate, wire::AcceptedChange, Rejection>;

/// Implements the replay rule of the stream "config", which is the same for every reader. The
/// version of an accepted change is the offset of its record.
class LogReplay {
 public:
  /// Numbers of rejections and accepted changes that are kept for operators and publishers.
  static constexpr std::size_t kMaxRejections = 256;
  static constexpr std::size_t kMaxAccepted = 256;

  /// Starts with the empty configuration at offset 1.
  LogReplay();
  /// Starts from a configuration at its `next_offset`. Throws `ValidationError` if it is not valid.
  explicit LogReplay(const wire::FullConfig& config);
  /// Starts from a snapshot at an offset; the snapshot is not validated again. It must not be null.
  LogReplay(ConfigSnapshotPtr snapshot, int64_t next_offset);

  /// Replays the record at `next_offset()`. A record with a lower offset is ignored. Throws
  /// `ReplayGapError` for a higher offset.
  ReplayResult Apply(const LogRecord& record);

  int64_t version() const { return snapshot_->version(); }
  int64_t next_offset() const { return next_offset_; }
  const ConfigSnapshotPtr& snapshot() const { return snapshot_; }
  /// Returns the configuration in effect; its `next_offset` is that of the replay.
  wire::FullConfig FullConfig() const;

  /// The newest entries, oldest first.
  const std::deque<Rejection>& rejections() const { return rejections_; }
  const std::deque<wire::AcceptedChange>& accepted() const { return accepted_; }
  /// These return null if no entry that is kept has the id.
  const Rejection* FindRejection(const std::string& id) const;
  const wire::AcceptedChange* FindAccepted(const std::string& id) const;

 private:
  ReplayResult EvaluateRecord(const LogRecord& record);
  Rejection Reject(Rejection rejection);
  ConflictingChange ConflictingChangeOn(int64_t base) const;

  ConfigSnapshotPtr snapshot_;
  int64_t next_offset_ = 1;
  std::deque<Rejection> rejections_;
  std::deque<wire::AcceptedChange> accepted_;
};

/// Applies `change` to `base` and returns the resulting snapshot. Does not check that the change is
/// based on `base`. Throws `ValidationError` if the result is not valid.
ConfigSnapshotPtr ApplyChange(const ConfigSnapshot& base, const wire::AcceptedChange& change);

}  // namespace limpet

#endif  // LIMPET_CONFIGLOG_LOG_REPLAY_H_
