#ifndef LIMPET_CONFIGLOG_SYSTEM_APPENDER_H_
#define LIMPET_CONFIGLOG_SYSTEM_APPENDER_H_

#include <cstdint>
#include <optional>

#include "limpet/configlog/log_cursor.h"
#include "limpet/control/control_output.h"
#include "limpet/core/time.h"

namespace limpet {

/// Appends to the stream "system", one record at a time. After each append the stream is read back
/// before the next one, so that a record whose answer was lost is not written twice and the next
/// record is decided on what the stream holds.
class SystemAppender {
 public:
  explicit SystemAppender(Random random) : backoff_(random) {}

  /// True when the last append is read back and no failure is being waited out.
  bool CanAppend(TimePoint now, const LogCursor& cursor);
  LogAppend Append(TimePoint now, const wire::SystemRecord& record, RequestIds& ids);
  /// Returns true if the result belongs to the open append.
  bool OnResult(TimePoint now, const LogResult& result);
  /// The last append was refused because the record exceeds the log's limit.
  bool was_too_large() const { return too_large_; }

 private:
  struct PendingAppend {
    uint64_t request = 0;
    TimePoint sent_at;
  };

  void Close(TimePoint now, LogStatus status);

  LogBackoff backoff_;
  std::optional<PendingAppend> pending_;
  TimePoint not_before_;
  /// A read sent after this moment has to reach the end before the next append.
  std::optional<TimePoint> read_back_after_;
  bool too_large_ = false;
};

}  // namespace limpet

#endif  // LIMPET_CONFIGLOG_SYSTEM_APPENDER_H_
