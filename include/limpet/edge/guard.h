#ifndef LIMPET_EDGE_GUARD_H_
#define LIMPET_EDGE_GUARD_H_

#include <cstdint>
#include <exception>
#include <string_view>

#include "limpet/edge/asio.h"

namespace limpet::edge {

/// Logs and counts an exception that no caller expected.
void ReportUnexpectedError(std::string_view where, const std::exception& error);
/// Exceptions reported by `ReportUnexpectedError` since the start of the process.
int64_t UnexpectedErrors();

/// Runs `function`. Returns false if it throws; the exception is then reported. An unexpected error
/// in the handling of one message must end only the connection or request that it belongs to.
template <typename Function>
bool RunGuarded(std::string_view where, Function&& function) {
  try {
    function();
    return true;
  } catch (const std::exception& error) {
    ReportUnexpectedError(where, error);
    return false;
  }
}

/// Runs the event loop until it is stopped or has no work left. An exception that escapes from a
/// handler is reported, and the loop continues with the next handler.
void RunEventLoop(asio::io_context& context);

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_GUARD_H_
