#ifndef LIMPET_CONFIGLOG_SYSTEM_APPENDER_H_
#define LIMPET_CONFIGLOG_SYSTEM_APPENDER_H_

#include <cstdint>
#include <optional>

#include "limpet/configlog/log_cursor.h"
#include "limpet/control/control_output.h"
#include "limpet/core/time.h"

namespace limpet {

/// Appends to the stream "system", one record at a time. After each append the stream has to be
/// read to its end before the next append. Otherwise a record whose response was lost could be
/// written twice, and the next record could be based on outdated content of the stream.
class SystemAppender {
 public:
  explicit SystemAppender(Random random) : backoff_(random) {}

  /// Returns true if the last append has been read back and no backoff delay is running.
  bool CanAppend(TimePoint now, const LogCursor& cursor);
  LogAppend Append(TimePoint now, const wire::SystemRecord& record, RequestIds& ids);
  /// Returns true if the result belongs to the pending append.
  bool OnResult(TimePoint now, const LogResult& result);
  /// True if the log refused the last append because the record exceeds its size limit.
  bool was_too_large() const { return too_large_; }

 private:
  struct PendingAppend {
    uint64_t request = 0;
    TimePoint sent_at;
  };

  void CompleteAppend(TimePoint now, LogStatus status);

  LogBackoff backoff_;
  std::optional<PendingAppend> pending_;
  TimePoint not_before_;
  /// A read sent after this time has to reach the end of the stream before the next append.
  std::optional<TimePoint> read_back_after_;
  bool too_large_ = false;
};

}  // namespace limpet

#endif  // LIMPET_CONFIGLOG_SYSTEM_APPENDER_H_
