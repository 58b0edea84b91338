#include "limpet/configlog/publisher.h"

#include <utility>

#include "limpet/config/config.h"
#include "limpet/wire/codec.h"

namespace limpet {
namespace {

/// Random variation of the pause, so that publishers that failed together do not retry together.
constexpr double kPauseJitter = 0.5;

/// Returns true if the record may be in the log after an append with this result.
bool IsPossiblyAppended(LogStatus status) {
  return status == LogStatus::kOk || status == LogStatus::kUnknownOutcome ||
         status == LogStatus::kMalformedResponse;
}

}  // namespace

Publisher::Publisher(LogAccess& log, Random random, std::function<void(Duration)> pause)
    : log_(log), reader_(log), random_(std::move(random)), pause_(std::move(pause)) {}

PublishResult Publisher::Publish(const PublishRequest& request) {
  std::vector<std::string> problems = FindProblems(request.config);
  if (!problems.empty()) {
    return InvalidChange{std::move(problems)};
  }
  const LogStatus status = CatchUpWithRetries();
  if (status != LogStatus::kOk) {
    return LogUnavailable{status};
  }
  const LogReplay& replay = reader_.replay();
  wire::ChangeRecord record;
  record.delta = Diff(replay.snapshot()->config(), request.config);
  if (IsEmpty(record.delta)) {
    return NothingToPublish{replay.version()};
  }
  record.base = request.config.version;
  if (record.base != replay.version()) {
    return std::get<PublishConflict>(FindOutcome(record));
  }
  record.id = random_.HexId();
  record.author = request.author;
  record.comment = request.comment;
  return AppendUntilDecided(record);
}

PublishResult Publisher::AppendUntilDecided(const wire::ChangeRecord& record) {
  const std::string payload = wire::Encode(record);
  bool may_be_appended = false;
  LogStatus status = LogStatus::kOk;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    Pause(attempt);
    status = log_.Append({0, kConfigStream, payload}).status;
    may_be_appended = may_be_appended || IsPossiblyAppended(status);
    if (!may_be_appended) {
      if (status == LogStatus::kTooLarge) {
        return ChangeTooLarge{payload.size()};
      }
      continue;
    }
    // The stream is searched for the record's id before the record is appended again.
    status = CatchUpWithRetries();
    if (status != LogStatus::kOk) {
      return UnknownResult{record.id, status};
    }
    auto outcome = FindOutcome(record);
    if (auto* published = std::get_if<Published>(&outcome)) {
      return std::move(*published);
    }
    if (auto* conflict = std::get_if<PublishConflict>(&outcome)) {
      return std::move(*conflict);
    }
    if (auto* invalid = std::get_if<InvalidChange>(&outcome)) {
      return std::move(*invalid);
    }
  }
  if (may_be_appended) {
    return UnknownResult{record.id, LogStatus::kUnknownOutcome};
  }
  return LogUnavailable{status};
}

std::variant<std::monostate, Published, PublishConflict, InvalidChange> Publisher::FindOutcome(
    const wire::ChangeRecord& record) const {
  const LogReplay& replay = reader_.replay();
  if (!record.id.empty()) {
    if (const auto* change = replay.FindAccepted(record.id)) {
      return Published{record.id, change->version, record.delta};
    }
    const Rejection* rejection = replay.FindRejection(record.id);
    if (rejection != nullptr && rejection->reason == RejectReason::kInvalid) {
      return InvalidChange{{rejection->detail}};
    }
  }
  if (record.base == replay.version()) {
    return std::monostate();
  }
  // A superseded base never becomes current again, so this record cannot be accepted any more, even
  // if an earlier append takes effect later.
  return PublishConflict{record.id, record.base, reader_.FindConflictingChange(record.base)};
}

LogStatus Publisher::CatchUpWithRetries() {
  LogStatus status = LogStatus::kOk;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    Pause(attempt);
    status = reader_.CatchUp();
    if (status == LogStatus::kOk || status == LogStatus::kOffsetExpired) {
      break;
    }
  }
  return status;
}

void Publisher::Pause(int attempt) {
  if (attempt > 0) {
    pause_(random_.Jitter(kFirstPause * (1 << (attempt - 1)), kPauseJitter));
  }
}

}  // namespace limpet
