#ifndef LIMPET_EDGE_EVENT_LOG_H_
#define LIMPET_EDGE_EVENT_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "limpet/core/time.h"

namespace limpet::edge {

/// One structured log line in logfmt: `event=NAME key=value ...`. The line is written through
/// spdlog when the object ends. Values with spaces or quotes are quoted.
class LogEvent {
 public:
  explicit LogEvent(std::string_view name);
  ~LogEvent();
  LogEvent(const LogEvent&) = delete;
  LogEvent& operator=(const LogEvent&) = delete;

  LogEvent& Add(std::string_view key, std::string_view value);
  LogEvent& Add(std::string_view key, int64_t value);
  /// In milliseconds; the key should end in `_ms`.
  LogEvent& Add(std::string_view key, Duration value);

 private:
  std::string line_;
};

/// Sends spdlog's default logger to a file descriptor without ever blocking: lines wait in a buffer
/// of bounded size while the reader is slow, and lines beyond it, or beyond a rate, are dropped and
/// counted in an event `log_lines_dropped`.
void InstallEventLog(const std::string& node, int fd, std::string_view level);
/// Writes what the reader takes now. Lines are written only here, by the loop's tick, which costs
/// one system call for many lines.
void FlushEventLog();
/// Lines dropped since the start.
int64_t DroppedLogLines();

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_EVENT_LOG_H_
