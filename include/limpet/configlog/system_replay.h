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
  /// Offset of the claim: the fencing token.
  int64_t token = 0;
  /// When this process read the claim. Decides only when a candidate tries to claim.
  TimePoint read_at;
};

/// Leases by the last claim in the stream. Whoever claimed last holds the lease, until the next
/// claim; no clock takes part.
class LeaseTable {
 public:
  void Claim(const wire::LeaseClaim& claim, int64_t offset, TimePoint now);

  /// Null if no claim was read.
  const LeaseEntry* Find(std::string_view lease) const;
  /// True for a record written under the last claim of its lease. An older token is that of a
  /// fenced holder.
  bool IsCurrent(std::string_view lease, int64_t token) const;
  const std::map<std::string, LeaseEntry, std::less<>>& entries() const { return entries_; }

 private:
  std::map<std::string, LeaseEntry, std::less<>> entries_;
};

enum class SystemRecordKind { kClaim, kCheckpoint, kStatus, kRoster, kFenced, kMalformed, kOld };

/// What the stream "system" says: leases, the newest checkpoint, and the last status and roster
/// record of each data centre. Records of fenced holders change nothing, and neither does a
/// checkpoint that covers less of the log than the one before.
class SystemReplay {
 public:
  /// Starts at an offset. Records under a claim before it count as fenced, because nothing shows
  /// that the claim was the last one.
  explicit SystemReplay(int64_t first_offset = 1) : next_offset_(first_offset) {}

  /// Replays one record; earlier offsets are ignored. Later ones may skip records that the log no
  /// longer retains.
  SystemRecordKind Apply(const LogRecord& record, TimePoint now);

  int64_t next_offset() const { return next_offset_; }
  const LeaseTable& leases() const { return leases_; }
  const std::optional<wire::FullConfig>& checkpoint() const { return checkpoint_; }
  /// Offset of the record that holds `checkpoint()`; 0 without one.
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
  bool MayApply(std::string_view lease, int64_t token) const;

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
