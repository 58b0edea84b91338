#include "limpet/edge/event_log.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <chrono>
#include <memory>
#include <string>

namespace limpet::edge {
namespace {

/// Uses a pipe as the log output and restores the previous logger at the end.
struct Fixture {
  std::shared_ptr<spdlog::logger> previous_logger = spdlog::default_logger();
  int pipe_ends[2] = {-1, -1};

  Fixture() {
    REQUIRE(::pipe(pipe_ends) == 0);
    InstallEventLog("node-1", pipe_ends[1], "info");
  }
  ~Fixture() {
    spdlog::set_default_logger(previous_logger);
    ::close(pipe_ends[0]);
    ::close(pipe_ends[1]);
  }
  std::string Read() {
    FlushEventLog();
    std::string text(1 << 20, '\0');
    ::fcntl(pipe_ends[0], F_SETFL, O_NONBLOCK);
    const ssize_t size = ::read(pipe_ends[0], text.data(), text.size());
    text.resize(size < 0 ? 0 : static_cast<std::size_t>(size));
    return text;
  }
};

TEST_CASE_FIXTURE(Fixture, "an event is logged as one line of keys and values") {
  LogEvent("call_ended")
      .Add("request", "a b\"c")
      .Add("status", 503)
      .Add("took_ms", Duration(std::chrono::milliseconds(12)));
  const std::string line = Read();
  CHECK(line.find(" node=node-1 event=call_ended request=\"a b\\\"c\" status=503 took_ms=12\n") !=
        std::string::npos);
}

TEST_CASE_FIXTURE(Fixture, "logging does not block when the reader has stopped reading") {
  const auto start = std::chrono::steady_clock::now();
  const int64_t dropped_before = DroppedLogLines();
  for (int i = 0; i < 20'000; ++i) {
    spdlog::warn("event=filler text={}", std::string(200, 'x'));
    FlushEventLog();
  }
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(5));
  CHECK(DroppedLogLines() > dropped_before);
  // The number of dropped lines is logged once the reader reads again.
  while (!Read().empty()) {
  }
  spdlog::warn("event=after");
  const std::string text = Read();
  CHECK(text.find("event=log_lines_dropped count=") != std::string::npos);
}

TEST_CASE_FIXTURE(Fixture, "lines above the rate limit are dropped") {
  for (int i = 0; i < 5'000; ++i) {
    LogEvent("busy").Add("number", i);
  }
  CHECK(DroppedLogLines() > 4'000);
}

}  // namespace
}  // namespace limpet::edge
