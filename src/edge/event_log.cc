#include "limpet/edge/event_log.h"

#include <fcntl.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "limpet/net/clock.h"

namespace limpet::edge {

namespace {

/// Holds about two seconds of lines at the maximum rate.
constexpr std::size_t kMaxBufferedBytes = std::size_t{256} << 10;
/// A node serves about 100 requests per second, so one line per failed request fits even if all of
/// them fail.
constexpr int kMaxLinesPerSecond = 200;

class NonBlockingSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  explicit NonBlockingSink(int fd) : fd_(fd) {
    ::fcntl(fd_, F_SETFL, ::fcntl(fd_, F_GETFL) | O_NONBLOCK);
  }

  int64_t dropped() const { return dropped_; }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    if (!AdmitLine(message.level) || buffer_.size() > kMaxBufferedBytes) {
      ++dropped_;
      return;
    }
    if (dropped_ != reported_dropped_) {
      const int64_t newly_dropped = dropped_ - std::exchange(reported_dropped_, dropped_);
      buffer_ += "event=log_lines_dropped count=" + std::to_string(newly_dropped) + "\n";
    }
    spdlog::memory_buf_t formatted;
    formatter_->format(message, formatted);
    buffer_.append(formatted.data(), formatted.size());
  }

  void flush_() override {
    while (!buffer_.empty()) {
      const ssize_t written = ::write(fd_, buffer_.data(), buffer_.size());
      if (written <= 0) {
        return;
      }
      buffer_.erase(0, static_cast<std::size_t>(written));
    }
  }

 private:
  /// Counts the line and returns false if it exceeds the rate limit. Warnings and errors are
  /// exempt.
  bool AdmitLine(spdlog::level::level_enum level) {
    const auto second =
        std::chrono::duration_cast<std::chrono::seconds>(MonotonicNow().time_since_epoch());
    if (second != current_second_) {
      current_second_ = second;
      lines_in_second_ = 0;
    }
    return ++lines_in_second_ <= kMaxLinesPerSecond || level >= spdlog::level::warn;
  }

  int fd_;
  std::string buffer_;
  int64_t dropped_ = 0;
  int64_t reported_dropped_ = 0;
  std::chrono::seconds current_second_{0};
  int lines_in_second_ = 0;
};

std::shared_ptr<NonBlockingSink>& CurrentSink() {
  static std::shared_ptr<NonBlockingSink> sink;
  return sink;
}

/// Longer values are cut: names and texts in messages of other writers may have any length.
constexpr std::size_t kMaxValueBytes = 512;

bool NeedsQuotes(std::string_view value) {
  return value.empty() || std::ranges::any_of(value, [](char c) {
           return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 127;
         });
}

}  // namespace

LogEvent::LogEvent(std::string_view name) : line_("event=" + std::string(name)) {}

LogEvent::~LogEvent() {
  spdlog::info(line_);
}

LogEvent& LogEvent::Add(std::string_view key, std::string_view value) {
  value = value.substr(0, kMaxValueBytes);
  line_.append(" ").append(key).append("=");
  if (!NeedsQuotes(value)) {
    line_.append(value);
    return *this;
  }
  line_ += '"';
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      line_ += '\\';
    }
    line_ += c < ' ' && c >= 0 ? ' ' : c;
  }
  line_ += '"';
  return *this;
}

LogEvent& LogEvent::Add(std::string_view key, int64_t value) {
  line_.append(" ").append(key).append("=").append(std::to_string(value));
  return *this;
}

LogEvent& LogEvent::Add(std::string_view key, Duration value) {
  return Add(key, std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
}

void InstallEventLog(const std::string& node, int fd, std::string_view level) {
  CurrentSink() = std::make_shared<NonBlockingSink>(fd);
  auto logger = std::make_shared<spdlog::logger>("limpetd", CurrentSink());
  logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l node=" + node + " %v",
                      spdlog::pattern_time_type::utc);
  logger->set_level(spdlog::level::from_str(std::string(level)));
  spdlog::set_default_logger(logger);
}

void FlushEventLog() {
  if (CurrentSink()) {
    CurrentSink()->flush();
  }
}

int64_t DroppedLogLines() {
  return CurrentSink() ? CurrentSink()->dropped() : 0;
}

}  // namespace limpet::edge
