#ifndef LIMPET_CONFIGLOG_SYSTEM_REPLAY_H_
#define LIMPET_CONFIGLOG_SYSTEM_REPLAY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "limpet/control/control_output.h"
#include "limpet/core/time.h"
#include "limpet_types.h"

namespace limpet {

inline constexpr char kCheckpointLease[] = "checkpoint";
/// "status/<data centre>".
std::string StatusLease(std::string_view data_centre);

/// The last claim of one lease.
struct LeaseEntry {
  std::string holder;
  int64_t incarnation = 0;
  /// The offset of the claim is the fencing token.
  int64_t token = 0;
  /// When this process read the claim. Only used to decide when to claim the lease again.
  TimePoint read_at;
};

/// The last claim of each lease. The node with the last claim in the stream holds the lease until
/// the next claim; this does not depend on clocks.
class LeaseTable {
 public:
  void RecordClaim(const wire::LeaseClaim& claim, int64_t offset, TimePoint now);

  /// Returns null if no claim of the lease was read.
  const LeaseEntry* Find(std::string_view lease) const;
  /// Returns true if `token` is that of the last claim of the lease. An older token belongs to a
  /// fenced holder.
  bool IsCurrent(std::string_view lease, int64_t token) const;
  const std::map<std::string, LeaseEntry, std::less<>>& entries() const { return entries_; }

 private:
  std::map<std::string, LeaseEntry, std::less<>> entries_;
};

enum class SystemRecordKind { kClaim, kCheckpoint, kStatus, kRoster, kFenced, kMalformed, kOld };

/// Replays the stream "system" to the state of leases, the newest checkpoint, and the last status
/// and roster record of each data centre. Records of fenced holders have no effect; neither has a
/// checkpoint that covers less of the log than the one before.
class SystemReplay {
 public:
  /// Starts at an offset. A record whose token is an earlier offset counts as fenced, because the
  /// replay has not read the claim and cannot tell whether it is the last one.
  explicit SystemReplay(int64_t first_offset = 1) : next_offset_(first_offset) {}

  /// Replays one record. A record with an offset below `next_offset()` is ignored. A gap in the
  /// offsets is allowed, because the log may no longer retain the records between.
  SystemRecordKind Apply(const LogRecord& record, TimePoint now);

  int64_t next_offset() const { return next_offset_; }
  const LeaseTable& leases() const { return leases_; }
  const std::optional<wire::FullConfig>& checkpoint() const { return checkpoint_; }
  /// Offset of the record that holds `checkpoint()`; 0 if there is none.
  int64_t checkpoint_offset() const { return checkpoint_offset_; }
  const std::map<std::string, wire::StatusRecord, std::less<>>& statuses() const {
    return statuses_;
  }
  const std::map<std::string, wire::RosterRecord, std::less<>>& rosters() const { return rosters_; }
  int64_t fenced() const { return fenced_; }
  int64_t malformed() const { return malformed_; }

 private:
  SystemRecordKind Count(SystemRecordKind kind);
  SystemRecordKind Dispatch(wire::SystemRecord& record, int64_t offset, TimePoint now);
  bool CanApply(std::string_view lease, int64_t token) const;

  int64_t next_offset_;
  LeaseTable leases_;
  std::optional<wire::FullConfig> checkpoint_;
  int64_t checkpoint_offset_ = 0;
  std::map<std::string, wire::StatusRecord, std::less<>> statuses_;
  std::map<std::string, wire::RosterRecord, std::less<>> rosters_;
  int64_t fenced_ = 0;
  int64_t malformed_ = 0;
};

}  // namespace limpet

#endif  // LIMPET_CONFIGLOG_SYSTEM_REPLAY_H_
