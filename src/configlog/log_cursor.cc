#include "limpet/configlog/log_cursor.h"

#include <algorithm>
#include <utility>

namespace limpet {
namespace {

constexpr double kPollJitter = 0.2;
constexpr double kBackoffJitter = 0.5;

}  // namespace

Duration LogBackoff::NextDelay() {
  constexpr int kMaxDoublings = 4;
  const Duration delay = std::min(kMaxDelay, kMinDelay * (1 << std::min(failures_, kMaxDoublings)));
  ++failures_;
  return random_.Jitter(delay, kBackoffJitter);
}

LogCursor::LogCursor(std::string stream, Duration interval, int max_records, Random random)
    : stream_(std::move(stream)),
      interval_(interval),
      max_records_(max_records),
      backoff_(random) {}

std::optional<LogRead> LogCursor::Tick(TimePoint now, int64_t from, RequestIds& ids) {
  if (pending_ && now - pending_->sent_at >= kLogRequestTimeout) {
    RecordFailure(now);
  }
  if (pending_ || now < next_read_) {
    return std::nullopt;
  }
  pending_ = PendingRequest{ids.Next(), from, now};
  return LogRead{pending_->request, stream_, from, max_records_};
}

LogCursor::Page LogCursor::OnResult(TimePoint now, const LogResult& result) {
  if (!pending_ || result.request != pending_->request) {
    return Page::kUnrelated;
  }
  const PendingRequest pending = *pending_;
  const Page page = Classify(result, pending.from);
  if (page == Page::kFailed) {
    RecordFailure(now);
    return page;
  }
  pending_.reset();
  failing_ = false;
  backoff_.Reset();
  responded_at_ = now;
  first_offset_ = result.first_offset;
  end_offset_ = result.end_offset;
  next_read_ = now + backoff_.random().Jitter(interval_, kPollJitter);
  if (page == Page::kRecords) {
    const int64_t next = pending.from + static_cast<int64_t>(result.records.size());
    if (next >= result.end_offset) {
      caught_up_at_ = pending.sent_at;
    } else {
      next_read_ = now;
    }
  }
  return page;
}

LogCursor::Page LogCursor::Classify(const LogResult& result, int64_t from) const {
  const bool bounds_valid = result.first_offset >= 1 && result.first_offset <= result.end_offset;
  if (result.status == LogStatus::kOffsetExpired) {
    return bounds_valid && result.first_offset > from ? Page::kExpired : Page::kFailed;
  }
  if (result.status != LogStatus::kOk || !bounds_valid) {
    return Page::kFailed;
  }
  if (result.first_offset > from) {
    return Page::kExpired;
  }
  if (result.end_offset < from) {
    return result.records.empty() ? Page::kBeyondEnd : Page::kFailed;
  }
  int64_t expected = from;
  for (const LogRecord& record : result.records) {
    if (record.offset != expected++) {
      return Page::kFailed;
    }
  }
  // An empty page before the end of the stream would be requested again immediately, in an endless
  // loop.
  const bool is_stuck = result.records.empty() && from < result.end_offset;
  return expected <= result.end_offset && !is_stuck ? Page::kRecords : Page::kFailed;
}

void LogCursor::ReadSoon(TimePoint now) {
  if (!failing_) {
    next_read_ = std::min(next_read_, now);
  }
}

void LogCursor::RecordFailure(TimePoint now) {
  pending_.reset();
  failing_ = true;
  ++failures_;
  next_read_ = now + backoff_.NextDelay();
}

}  // namespace limpet
