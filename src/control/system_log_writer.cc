#include "control/system_log_writer.h"

#include <algorithm>
#include <utility>

#include "limpet/configlog/checkpoint_policy.h"

namespace limpet {

SystemLogWriter::SystemLogWriter(Context context, Random random, Counters& counters)
    : context_(context),
      appender_(random),
      checkpoint_lease_(kCheckpointLease, context.membership.local().name),
      status_lease_(StatusLease(context.membership.local().data_centre),
                    context.membership.local().name),
      claims_(counters.Get("lease_claims")),
      failed_(counters.Get("log_appends_failed")) {}

std::optional<LogAppend> SystemLogWriter::Tick(TimePoint now, RequestIds& ids) {
  is_current_ = IsCurrent(now);
  if (!context_.readers.is_reader() || !is_current_ ||
      !appender_.CanAppend(now, context_.system_log.cursor())) {
    return std::nullopt;
  }
  const std::optional<wire::SystemRecord> record = NextRecord(now);
  if (!record) {
    return std::nullopt;
  }
  claims_.Add(record->__isset.claim ? 1 : 0);
  checkpoint_pending_ = record->__isset.checkpoint;
  return appender_.Append(now, *record, ids);
}

bool SystemLogWriter::OnResult(TimePoint now, const LogResult& result) {
  if (!appender_.OnResult(now, result)) {
    return false;
  }
  failed_.Add(result.status == LogStatus::kOk ? 0 : 1);
  if (appender_.was_too_large() && checkpoint_pending_) {
    next_checkpoint_ = now + kTooLargeRetryDelay;
  }
  context_.system_log.ReadSoon(now);
  return true;
}

std::vector<std::string> SystemLogWriter::HeldLeases() const {
  std::vector<std::string> held;
  if (!context_.readers.is_reader() || !is_current_) {
    return held;
  }
  for (const LeaseKeeper* keeper : {&checkpoint_lease_, &status_lease_}) {
    if (FindToken(*keeper) != 0) {
      held.push_back(keeper->lease());
    }
  }
  return held;
}

std::optional<wire::SystemRecord> SystemLogWriter::NextRecord(TimePoint now) {
  if (auto claim = NextClaim(now, status_lease_, context_.readers.status_rank())) {
    return claim;
  }
  if (auto claim = NextClaim(now, checkpoint_lease_, context_.readers.checkpoint_rank())) {
    return claim;
  }
  if (auto checkpoint = NextCheckpoint(now)) {
    return checkpoint;
  }
  if (auto status = NextStatus(now)) {
    return status;
  }
  return NextRoster(now);
}

std::optional<wire::SystemRecord> SystemLogWriter::NextClaim(TimePoint now,
                                                             const LeaseKeeper& keeper,
                                                             int rank) {
  const int64_t incarnation = context_.membership.local().incarnation;
  if (!keeper.ShouldClaim(now, context_.system_log.replay().leases(), incarnation, rank,
                          *context_.system_log.synced_since())) {
    return std::nullopt;
  }
  wire::SystemRecord record;
  record.claim = keeper.MakeClaim(incarnation);
  record.__isset.claim = true;
  return record;
}

std::optional<wire::SystemRecord> SystemLogWriter::NextCheckpoint(TimePoint now) {
  const int64_t token = FindToken(checkpoint_lease_);
  // A holder that has not read the stream "config" to its end, or lacks expired records, may not
  // have the newest version and writes no checkpoint.
  if (token == 0 || now < next_checkpoint_ || !context_.config_log.cursor().caught_up_at() ||
      context_.config_log.has_gap()) {
    return std::nullopt;
  }
  const SystemReplay& replay = context_.system_log.replay();
  const int64_t covered_version = replay.checkpoint() ? replay.checkpoint()->version : 0;
  const auto changes = context_.store.history().Since(covered_version);
  CheckpointInput input;
  input.checkpoint_offset = replay.checkpoint_offset();
  input.checkpoint_next_offset = replay.checkpoint() ? replay.checkpoint()->next_offset : 1;
  input.system_first = context_.system_log.cursor().first_offset();
  input.system_end = context_.system_log.cursor().end_offset();
  // If the history no longer holds the changes after the checkpoint, a new checkpoint is due.
  input.changes_since = changes ? static_cast<int64_t>(changes->size()) : kChangesPerCheckpoint;
  input.position = context_.store.position();
  input.config_first = context_.config_log.cursor().first_offset();
  input.config_end = context_.config_log.cursor().end_offset();
  if (context_.store.version() <= covered_version) {
    input.changes_since = 0;
  }
  if (!IsCheckpointDue(input)) {
    return std::nullopt;
  }
  wire::SystemRecord record;
  record.checkpoint.token = token;
  record.checkpoint.config = context_.store.FullConfig();
  record.__isset.checkpoint = true;
  return record;
}

std::optional<wire::SystemRecord> SystemLogWriter::NextStatus(TimePoint now) {
  const int64_t token = FindToken(status_lease_);
  if (token == 0) {
    status_held_since_.reset();
    return std::nullopt;
  }
  status_held_since_ = status_held_since_.value_or(now);
  const std::vector<wire::MemberRecord>& live = context_.membership.LiveInDataCentre();
  const bool has_waited = now - *status_held_since_ >= kFirstReportWait;
  if (now < next_status_ || (!has_waited && !context_.status.HasReportOfAll(live))) {
    return std::nullopt;
  }
  wire::StatusRecord status = context_.status.Summarise(live, context_.store.version());
  status.data_centre = context_.membership.local().data_centre;
  const auto& written = context_.system_log.replay().statuses();
  if (const auto last = written.find(status.data_centre); last != written.end()) {
    status.token = last->second.token;
    if (status == last->second) {
      return std::nullopt;
    }
  }
  next_status_ = now + kStatusInterval;
  status.token = token;
  wire::SystemRecord record;
  record.status = std::move(status);
  record.__isset.status = true;
  return record;
}

std::optional<wire::SystemRecord> SystemLogWriter::NextRoster(TimePoint now) {
  const int64_t token = FindToken(status_lease_);
  if (token == 0 || now < next_roster_) {
    return std::nullopt;
  }
  wire::RosterRecord roster;
  roster.token = token;
  roster.data_centre = context_.membership.local().data_centre;
  for (const wire::MemberRecord& member : context_.membership.LiveInDataCentre()) {
    roster.nodes.push_back(member.name);
  }
  const auto& written = context_.system_log.replay().rosters();
  const auto last = written.find(roster.data_centre);
  if (last != written.end() && last->second.nodes == roster.nodes) {
    return std::nullopt;
  }
  next_roster_ = now + kRosterInterval;
  wire::SystemRecord record;
  record.roster = std::move(roster);
  record.__isset.roster = true;
  return record;
}

int64_t SystemLogWriter::FindToken(const LeaseKeeper& keeper) const {
  return keeper.FindToken(context_.system_log.replay().leases(),
                          context_.membership.local().incarnation);
}

bool SystemLogWriter::IsCurrent(TimePoint now) const {
  const SystemLogReader& log = context_.system_log;
  return log.synced_since() && log.cursor().caught_up_at() &&
         now - *log.cursor().caught_up_at() < kMaxReadAge;
}

}  // namespace limpet
