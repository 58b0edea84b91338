#ifndef LIMPET_NET_TARGET_CLIENT_H_
#define LIMPET_NET_TARGET_CLIENT_H_

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "limpet/core/enum_names.h"
#include "limpet/core/error.h"
#include "limpet/core/time.h"
#include "limpet/net/http_message.h"

namespace limpet {

enum class ExchangeFailure {
  kNotConnected,     // no connection was established; nothing was sent
  kRequestTooLarge,  // the headers exceed the limit or cannot be sent; nothing was sent
  kConnectionLost,
  kTimeout,
  kTruncatedReply,
  kCancelled,
};

inline constexpr EnumNames<ExchangeFailure, 6> kExchangeFailureNames = {{
    {ExchangeFailure::kNotConnected, "not_connected"},
    {ExchangeFailure::kRequestTooLarge, "request_too_large"},
    {ExchangeFailure::kConnectionLost, "connection_lost"},
    {ExchangeFailure::kTimeout, "timeout"},
    {ExchangeFailure::kTruncatedReply, "truncated_reply"},
    {ExchangeFailure::kCancelled, "cancelled"},
}};

class ExchangeError : public Error {
 public:
  ExchangeError(ExchangeFailure failure, const std::string& detail);

  ExchangeFailure failure() const { return failure_; }
  /// Returns true only if no byte of the request can have reached the server.
  bool nothing_sent() const {
    return failure_ == ExchangeFailure::kNotConnected ||
           failure_ == ExchangeFailure::kRequestTooLarge;
  }

 private:
  ExchangeFailure failure_;
};

/// Sends requests to one HTTP server and waits for the response. Safe for concurrent use.
/// Idempotent requests reuse connections, and are sent again if a reused connection closes at once
/// without a response. Every other request uses a new connection, so that it is sent at most once.
class TargetClient {
 public:
  TargetClient(std::string host, int port, size_t max_idle_connections = 32);
  ~TargetClient();

  /// Calls `is_cancelled` at least every 10 ms while waiting for the response; if it returns true,
  /// the connection is closed and the exchange fails with `kCancelled`. Throws `ExchangeError`.
  HttpResponse Exchange(const HttpRequest& request,
                        bool idempotent,
                        Duration timeout,
                        const std::function<bool()>& is_cancelled);

 private:
  class Connection;

  std::unique_ptr<Connection> AcquireConnection(bool idempotent, Duration timeout);
  void ReleaseConnection(std::unique_ptr<Connection> connection);

  const std::string host_;
  const int port_;
  const size_t max_idle_connections_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<Connection>> idle_connections_;
};

}  // namespace limpet

#endif  // LIMPET_NET_TARGET_CLIENT_H_
