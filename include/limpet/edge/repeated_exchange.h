#ifndef LIMPET_EDGE_REPEATED_EXCHANGE_H_
#define LIMPET_EDGE_REPEATED_EXCHANGE_H_

#include <functional>
#include <memory>
#include <vector>

#include "limpet/core/time.h"
#include "limpet/edge/http_connection.h"

namespace limpet::edge {

struct RepeatedExchangeOptions {
  HttpConnectionOptions connection;
  /// A server that works responds within this time. Without a response, the request is sent again,
  /// and again after each further interval of this length.
  Duration response_time = std::chrono::milliseconds(500);
  /// A sent request without a response is given up after this time. Longer than `response_time`,
  /// because a slow server responds later.
  Duration attempt_timeout = std::chrono::seconds(2);
  /// Called before the request is sent again, with the number of attempts so far and the time since
  /// the first one.
  std::function<void(int attempts, Duration waited)> on_repeat = [](int, Duration) {};
};

/// Sends requests that may be executed more than once to one server, one at a time. A connection
/// may look alive and never return a response, and a later request on it would get none either.
/// Therefore a request without a response is sent again on a new connection, while the earlier ones
/// stay open; the first response ends the exchange.
class RepeatedExchange {
 public:
  using Callback = std::function<void(ExchangeResult)>;

  RepeatedExchange(const Executor& executor, RepeatedExchangeOptions options);
  ~RepeatedExchange();
  RepeatedExchange(const RepeatedExchange&) = delete;
  RepeatedExchange& operator=(const RepeatedExchange&) = delete;

  /// The server may withhold the response to `request` for up to `wait`. `repeat` is sent from the
  /// second attempt on and should not make the server wait, so that its response shows soon whether
  /// the server works. `callback` gets the first response, or the failure of an attempt when the
  /// connection fails or cannot be established; it is not called after `Cancel`.
  void Send(HttpRequest request, Duration wait, HttpRequest repeat, Callback callback);
  /// Ends a pending exchange without calling its callback.
  void Cancel();

 private:
  void StartAttempt(HttpConnectionPtr connection, HttpRequest request, Duration wait);
  void Repeat(TimePoint now);
  void OnResult(const HttpConnectionPtr& connection, ExchangeResult result);
  void CloseAttempts();

  Executor executor_;
  RepeatedExchangeOptions options_;
  Timer timer_;
  /// Connection of the last response, for the next request.
  HttpConnectionPtr idle_connection_;
  /// Connections on which the pending request was sent.
  std::vector<HttpConnectionPtr> attempts_;
  int attempt_count_ = 0;
  TimePoint started_at_{};
  HttpRequest repeat_;
  Callback callback_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_REPEATED_EXCHANGE_H_
