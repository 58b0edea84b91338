#include "limpet/edge/guard.h"

#include "limpet/edge/event_log.h"

namespace limpet::edge {

namespace {

/// The event loop of a process has one thread.
int64_t unexpected_errors = 0;

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
