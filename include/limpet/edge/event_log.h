#ifndef LIMPET_EDGE_EVENT_LOG_H_
#define LIMPET_EDGE_EVENT_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "limpet/core/time.h"

namespace limpet::edge {

/// One structured log line in logfmt: `event=NAME key=value ...`. The destructor writes the line
/// through spdlog. Values with spaces or quotes are quoted.
class LogEvent {
 public:
  explicit LogEvent(std::string_view name);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;

  LogEvent& Add(std::string_view key, std::string_view value);
  LogEvent& Add(std::string_view key, int64_t value);
  /// Adds the value in milliseconds; the key should end in `_ms`.
  LogEvent& Add(std::string_view key, Duration value);

 private:
  std::string line_;
};

/// Directs spdlog's default logger to a file descriptor and never blocks. Lines are buffered while
/// the reader is slow. Lines that exceed the buffer or the rate limit are dropped and counted in an
/// event `log_lines_dropped`.
void InstallEventLog(const std::string& node, int fd, std::string_view level);
/// Writes buffered lines until the file descriptor accepts no more. Lines are written only here,
/// from the event loop's tick, so that one system call writes many lines.
void FlushEventLog();
/// Lines dropped since `InstallEventLog`; 0 before it.
int64_t DroppedLogLines();

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_EVENT_LOG_H_
