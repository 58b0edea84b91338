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
  kNotConnected,     // no connection was made: the request did not reach the peer
  kRequestTooLarge,  // headers over the limit of cxxtools; nothing was sent
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
  /// True only if no byte of the request can have reached the peer.
  bool nothing_sent() const {
    return failure_ == ExchangeFailure::kNotConnected ||
           failure_ == ExchangeFailure::kRequestTooLarge;
  }

 private:
  ExchangeFailure failure_;
};

/// Sends requests to one HTTP server; safe for concurrent use. Idempotent requests reuse kept
/// connections. Any other request goes on a connection of its own, because cxxtools sends a request
/// again by itself when a kept connection closes without a reply.
class TargetClient {
 public:
  TargetClient(std::string host, int port, size_t max_kept_connections = 32);
  ~TargetClient();

  /// `is_cancelled` is asked every 10 ms; true closes the connection. Throws `ExchangeError`.
  HttpResponse Exchange(const HttpRequest& request,
                        bool idempotent,
                        Duration timeout,
                        const std::function<bool()>& is_cancelled);

 private:
  class Connection;

  std::unique_ptr<Connection> AcquireConnection(bool idempotent);
  void ReleaseConnection(std::unique_ptr<Connection> connection);

  const std::string host_;
  const int port_;
  const size_t max_kept_connections_;
  std::mutex mutex_;
  std::vector<std::unique_ptr<Connection>> kept_;
};

}  // namespace limpet

#endif  // LIMPET_NET_TARGET_CLIENT_H_
