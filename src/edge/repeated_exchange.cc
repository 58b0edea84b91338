#include "limpet/edge/repeated_exchange.h"

#include <utility>

#include "limpet/core/fault.h"
#include "limpet/net/clock.h"

namespace limpet::edge {

RepeatedExchange::RepeatedExchange(const Executor& executor, RepeatedExchangeOptions options)
    : executor_(executor), options_(std::move(options)), timer_(executor) {}

RepeatedExchange::~RepeatedExchange() {
  *alive_ = false;
  Cancel();
}

void RepeatedExchange::Send(HttpRequest request,
                            Duration wait,
                            HttpRequest repeat,
                            Callback callback) {
  started_at_ = MonotonicNow();
  attempt_count_ = 0;
  repeat_ = std::move(repeat);
  callback_ = std::move(callback);
  HttpConnectionPtr connection = std::exchange(idle_connection_, nullptr);
  if (!connection || !connection->IsReusable(started_at_) || connection->HasPeerEnded()) {
    connection = std::make_shared<HttpConnection>(executor_, options_.connection);
  }
  StartAttempt(std::move(connection), std::move(request), wait);
}

void RepeatedExchange::StartAttempt(HttpConnectionPtr connection,
                                    HttpRequest request,
                                    Duration wait) {
  ++attempt_count_;
  const TimePoint sent_at = MonotonicNow();
  attempts_.push_back(connection);
  timer_.expires_after(wait + options_.response_time);
  timer_.async_wait([this, alive = alive_](ErrorCode error) {
    // A timer that expired just before it was restarted or cancelled still reports success.
    const auto is_due = [this] { return timer_.expiry() <= std::chrono::steady_clock::now(); };
    if (!error && *alive && !attempts_.empty() && is_due()) {
      Repeat(MonotonicNow());
    }
  });
  HttpConnection& sender = *connection;
  sender.Send(
      std::move(request), wait + options_.attempt_timeout, [](const HttpHeaders&) { return true; },
      [this, connection = std::move(connection), sent_at,
       repeated = attempt_count_ > 1](ExchangeResult result) {
        result.sent_at = sent_at;
        result.repeated = repeated;
        OnResult(connection, std::move(result));
      });
}

void RepeatedExchange::Repeat(TimePoint now) {
  if (IsFaultActive(Fault::kWaitForLostResponse)) {
    return;
  }
  options_.on_repeat(attempt_count_, now - started_at_);
  StartAttempt(std::make_shared<HttpConnection>(executor_, options_.connection), repeat_,
               Duration(0));
}

void RepeatedExchange::OnResult(const HttpConnectionPtr& connection, ExchangeResult result) {
  std::erase(attempts_, connection);
  const bool others_pending = !attempts_.empty();
  if (result.status == ExchangeStatus::kTimedOut && others_pending) {
    return;
  }
  if (result.status == ExchangeStatus::kResponded) {
    idle_connection_ = connection;
  }
  CloseAttempts();
  std::exchange(callback_, nullptr)(std::move(result));
}

void RepeatedExchange::Cancel() {
  CloseAttempts();
  callback_ = nullptr;
  if (idle_connection_) {
    idle_connection_->Close();
    idle_connection_.reset();
  }
}

void RepeatedExchange::CloseAttempts() {
  timer_.cancel();
  for (const HttpConnectionPtr& attempt : std::exchange(attempts_, {})) {
    attempt->Close();
  }
}

}  // namespace limpet::edge
