#include "limpet/configlog/system_appender.h"

#include "limpet/configlog/log_replay.h"
#include "limpet/wire/codec.h"

namespace limpet {

bool SystemAppender::CanAppend(TimePoint now, const LogCursor& cursor) {
  if (pending_ && now - pending_->sent_at >= kLogRequestTimeout) {
    CompleteAppend(now, LogStatus::kUnknownOutcome);
  }
  if (pending_ || now < not_before_) {
    return false;
  }
  // A read that was sent at the very time at which the append ended may have been served before the
  // append, so only a later read counts.
  return !read_back_after_ || (cursor.caught_up_at() && *cursor.caught_up_at() > *read_back_after_);
}

LogAppend SystemAppender::Append(TimePoint now, const wire::SystemRecord& record, RequestIds& ids) {
  pending_ = PendingAppend{ids.Next(), now};
  return {pending_->request, kSystemStream, wire::Encode(record)};
}

bool SystemAppender::OnResult(TimePoint now, const LogResult& result) {
  if (!pending_ || result.request != pending_->request) {
    return false;
  }
  CompleteAppend(now, result.status);
  return true;
}

void SystemAppender::CompleteAppend(TimePoint now, LogStatus status) {
  pending_.reset();
  read_back_after_ = now;
  too_large_ = status == LogStatus::kTooLarge;
  if (status == LogStatus::kOk) {
    backoff_.Reset();
  } else {
    not_before_ = now + backoff_.NextDelay();
  }
}

}  // namespace limpet
