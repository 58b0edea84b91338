#include "limpet/edge/listener.h"

#include <boost/asio/ip/address.hpp>
#include <utility>

#include "limpet/edge/event_log.h"
#include "limpet/edge/guard.h"
#include "limpet/net/clock.h"
#include "limpet/net/http_server.h"

namespace limpet::edge {

namespace {

/// Length of the accept queue; large enough for a burst of new callers.
constexpr int kBacklog = 1024;
/// Delay before accepting again after a failure, which is usually a lack of file descriptors.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);
constexpr Duration kMinLogInterval = std::chrono::seconds(1);

void ThrowOnError(const ErrorCode& error, const PeerAddress& address) {
  if (error) {
    throw ListenError("cannot listen on " + address.host + ":" + std::to_string(address.port) +
                      ": " + error.message());
  }
}

}  // namespace

Listener::Listener(const Executor& executor, const PeerAddress& address, Handler on_connection)
    : executor_(executor),
      acceptor_(executor),
      retry_timer_(executor),
      on_connection_(std::move(on_connection)) {
  ErrorCode error;
  const auto host = asio::ip::make_address(address.host, error);
  ThrowOnError(error, address);
  const asio::ip::tcp::endpoint endpoint(host, static_cast<uint16_t>(address.port));
  acceptor_.open(endpoint.protocol(), error);
  ThrowOnError(error, address);
  acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  ThrowOnError(error, address);
  acceptor_.bind(endpoint, error);
  ThrowOnError(error, address);
  acceptor_.listen(kBacklog, error);
  ThrowOnError(error, address);
  Accept();
}

void Listener::Accept() {
  acceptor_.async_accept([this](ErrorCode error, TcpSocket socket) {
    if (error == asio::error::operation_aborted) {
      return;
    }
    if (error) {
      LogFailure(error);
      retry_timer_.expires_after(kAcceptRetryDelay);
      retry_timer_.async_wait([this](ErrorCode stopped) {
        if (!stopped) {
          Accept();
        }
      });
      return;
    }
    // An exception must not end the acceptance of connections.
    RunGuarded("accept", [this, &socket] { on_connection_(std::move(socket)); });
    Accept();
  });
}

void Listener::LogFailure(const ErrorCode& error) {
  const TimePoint now = MonotonicNow();
  if (now - last_failure_log_ >= kMinLogInterval) {
    last_failure_log_ = now;
    LogEvent("accept_failed").Add("error", error.message());
  }
}

}  // namespace limpet::edge
