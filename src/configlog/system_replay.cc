#include "limpet/configlog/system_replay.h"

#include <utility>

#include "limpet/core/error.h"
#include "limpet/core/fault.h"
#include "limpet/wire/codec.h"

namespace limpet {
namespace {

constexpr std::string_view kStatusPrefix = "status/";

/// A claim with any other name counts as malformed, so that a corrupt claim adds no entry to the
/// lease table.
bool IsLeaseName(std::string_view lease) {
  return lease == kCheckpointLease ||
         (lease.starts_with(kStatusPrefix) && lease.size() > kStatusPrefix.size());
}

}  // namespace

std::string StatusLease(std::string_view data_centre) {
  return std::string(kStatusPrefix) + std::string(data_centre);
}

void LeaseTable::RecordClaim(const wire::LeaseClaim& claim, int64_t offset, TimePoint now) {
  entries_[claim.lease] = {claim.holder, claim.incarnation, offset, now};
}

const LeaseEntry* LeaseTable::Find(std::string_view lease) const {
  const auto it = entries_.find(lease);
  return it == entries_.end() ? nullptr : &it->second;
}

bool LeaseTable::IsCurrent(std::string_view lease, int64_t token) const {
  const LeaseEntry* entry = Find(lease);
  return entry != nullptr && entry->token == token;
}

SystemRecordKind SystemReplay::Apply(const LogRecord& record, TimePoint now) {
  if (record.offset < next_offset_) {
    return SystemRecordKind::kOld;
  }
  next_offset_ = record.offset + 1;
  wire::SystemRecord decoded;
  try {
    wire::Decode(record.payload, decoded);
  } catch (const DecodeError&) {
    return Count(SystemRecordKind::kMalformed);
  }
  return Count(Dispatch(decoded, record.offset, now));
}

SystemRecordKind SystemReplay::Dispatch(wire::SystemRecord& record, int64_t offset, TimePoint now) {
  if (record.__isset.claim && IsLeaseName(record.claim.lease) && !record.claim.holder.empty()) {
    leases_.RecordClaim(record.claim, offset, now);
    return SystemRecordKind::kClaim;
  }
  if (record.__isset.checkpoint) {
    if (!CanApply(kCheckpointLease, record.checkpoint.token)) {
      return SystemRecordKind::kFenced;
    }
    // A checkpoint that covers less of the log than the current one is of no use.
    if (checkpoint_ && record.checkpoint.config.next_offset < checkpoint_->next_offset &&
        !IsFaultActive(Fault::kSkipFence)) {
      return SystemRecordKind::kOld;
    }
    checkpoint_ = std::move(record.checkpoint.config);
    checkpoint_offset_ = offset;
    return SystemRecordKind::kCheckpoint;
  }
  if (record.__isset.status) {
    if (!CanApply(StatusLease(record.status.data_centre), record.status.token)) {
      return SystemRecordKind::kFenced;
    }
    statuses_[record.status.data_centre] = std::move(record.status);
    return SystemRecordKind::kStatus;
  }
  if (record.__isset.roster) {
    if (!CanApply(StatusLease(record.roster.data_centre), record.roster.token)) {
      return SystemRecordKind::kFenced;
    }
    rosters_[record.roster.data_centre] = std::move(record.roster);
    return SystemRecordKind::kRoster;
  }
  return SystemRecordKind::kMalformed;
}

bool SystemReplay::CanApply(std::string_view lease, int64_t token) const {
  return leases_.IsCurrent(lease, token) || IsFaultActive(Fault::kSkipFence);
}

SystemRecordKind SystemReplay::Count(SystemRecordKind kind) {
  fenced_ += kind == SystemRecordKind::kFenced ? 1 : 0;
  malformed_ += kind == SystemRecordKind::kMalformed ? 1 : 0;
  return kind;
}

}  // namespace limpet
