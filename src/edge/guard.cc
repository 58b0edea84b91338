#include "limpet/edge/guard.h"

#include <atomic>

#include "limpet/edge/event_log.h"

namespace limpet::edge {

namespace {

/// Threads of limpetd use connections of their own beside the event loop.
std::atomic<int64_t> unexpected_errors = 0;

}  // namespace

void ReportUnexpectedError(std::string_view where, const std::exception& error) {
  ++unexpected_errors;
  LogEvent("unexpected_error").Add("where", where).Add("problem", error.what());
}

int64_t UnexpectedErrors() {
  return unexpected_errors;
}

void RunEventLoop(asio::io_context& context) {
  while (!RunGuarded("event_loop", [&context] { context.run(); })) {
  }
}

}  // namespace limpet::edge
