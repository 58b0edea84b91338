#include "limpet/net/target_client.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <deque>
#include <utility>

#include "limpet/core/fault.h"
#include "limpet/edge/http_connection.h"
#include "limpet/net/clock.h"

namespace limpet {

namespace {

using edge::ExchangeResult;
using edge::ExchangeStatus;
using edge::ResponseFraming;

/// Longest delay until a cancellation is detected.
constexpr Duration kCancelPollInterval = std::chrono::milliseconds(10);
/// Names and values of the headers of a request. Servers on cxxtools refuse more.
constexpr std::size_t kMaxRequestHeaderBytes = 4096;
/// A server that has closed an idle connection ends an exchange on it within a round trip. If the
/// connection ends later, the server may have run the request.
constexpr Duration kMaxTimeOfClosedConnection = std::chrono::milliseconds(20);
/// The largest value that the setting `max_body_bytes` may have.
constexpr std::size_t kMaxResponseBytes = std::size_t{64} << 20;

HttpRequest MakeRequest(const HttpRequest& from, const std::string& host) {
  HttpRequest request;
  request.method = from.method;
  request.target = from.path.empty() ? "/" : from.path;
  if (!from.query.empty()) {
    request.target += "?" + from.query;
  }
  request.headers.push_back(MakeHeader("Host", host));
  std::size_t header_bytes = 0;
  for (const auto& header : from.headers) {
    if (!IsConnectionHeader(header.name)) {
      header_bytes += header.name.size() + header.value.size();
      request.headers.push_back(header);
    }
  }
  if (header_bytes > kMaxRequestHeaderBytes) {
    throw ExchangeError(ExchangeFailure::kRequestTooLarge,
                        std::to_string(header_bytes) + " bytes of headers");
  }
  request.body = from.body;
  return request;
}

/// Throws `ExchangeError` for an exchange without a complete response. A response that only ends
/// with the connection counts as truncated, because a target that stops in the middle of a response
/// may also close the connection in an orderly way.
void CheckResult(const ExchangeResult& result) {
  const std::string detail = result.error ? result.error.message() : "no complete response";
  switch (result.status) {
    case ExchangeStatus::kNotConnected:
      throw ExchangeError(ExchangeFailure::kNotConnected, detail);
    case ExchangeStatus::kTimedOut:
      throw ExchangeError(ExchangeFailure::kTimeout, detail);
    case ExchangeStatus::kBroken:
      throw ExchangeError(result.framing == ResponseFraming::kChunked
                              ? ExchangeFailure::kTruncatedReply
                              : ExchangeFailure::kConnectionLost,
                          detail);
    case ExchangeStatus::kResponded:
      break;
  }
  if (result.framing == ResponseFraming::kUntilClose && !IsFaultActive(Fault::kAcceptTruncated)) {
    throw ExchangeError(ExchangeFailure::kTruncatedReply, "response without Content-Length");
  }
}

}  // namespace

ExchangeError::ExchangeError(ExchangeFailure failure, const std::string& detail)
    : Error(std::string(EnumName(kExchangeFailureNames, failure)) + ": " + detail),
      failure_(failure) {}

/// An `edge::HttpConnection` with an event loop of its own, which runs only during an exchange, on
/// the thread of the caller.
class TargetClient::Connection {
 public:
  /// Resolves the host. Throws `ExchangeError`.
  Connection(const std::string& host, int port, Duration timeout) : timeout_(timeout) {
    edge::ErrorCode error;
    const auto address = edge::asio::ip::make_address(host, error);
    if (!error) {
      peers_.push_back({address.to_string(), port});
    } else {
      edge::asio::ip::tcp::resolver resolver(context_);
      for (const auto& entry : resolver.resolve(host, std::to_string(port), error)) {
        peers_.push_back({entry.endpoint().address().to_string(), port});
      }
    }
    if (peers_.empty()) {
      throw ExchangeError(ExchangeFailure::kNotConnected, "cannot resolve " + host);
    }
    OpenNext();
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  ExchangeResult Exchange(const HttpRequest& request,
                          TimePoint end,
                          const std::function<bool()>& is_cancelled) {
    ExchangeResult result = ExchangeOnce(request, end, is_cancelled);
    // A host name may have addresses on which nothing listens.
    while (result.status == ExchangeStatus::kNotConnected && !peers_.empty()) {
      OpenNext();
      result = ExchangeOnce(request, end, is_cancelled);
    }
    was_used_ = true;
    return result;
  }

  /// Notices a connection that the server has closed while it was idle.
  bool IsReusable() {
    context_.restart();
    context_.poll();
    return connection_->IsReusable(MonotonicNow());
  }
  bool was_used() const { return was_used_; }

 private:
  void OpenNext() {
    edge::HttpConnectionOptions options;
    options.peer = peers_.front();
    peers_.pop_front();
    options.connect_timeout = timeout_;
    // A target that is paused for less than the timeout does not lose the connection.
    options.peer_timeout = std::max(options.peer_timeout, timeout_);
    options.max_response_bytes = kMaxResponseBytes;
    connection_ = std::make_shared<edge::HttpConnection>(context_.get_executor(), options);
  }

  ExchangeResult ExchangeOnce(const HttpRequest& request,
                              TimePoint end,
                              const std::function<bool()>& is_cancelled) {
    std::optional<ExchangeResult> result;
    try {
      connection_->Send(
          request, std::max(end - MonotonicNow(), Duration(1)),
          [](const HttpHeaders&) { return true; },
          [&result](ExchangeResult value) { result = std::move(value); });
    } catch (const std::exception& error) {
      Close();
      throw ExchangeError(ExchangeFailure::kRequestTooLarge, error.what());
    }
    TimePoint next_poll{};
    while (!result) {
      const TimePoint now = MonotonicNow();
      if (now >= next_poll && is_cancelled()) {
        Close();
        throw ExchangeError(ExchangeFailure::kCancelled, "cancelled by the caller");
      }
      if (now >= end) {
        const ExchangeFailure failure = connection_->is_connecting()
                                            ? ExchangeFailure::kNotConnected
                                            : ExchangeFailure::kTimeout;
        Close();
        throw ExchangeError(failure, "no response within the timeout");
      }
      next_poll = now >= next_poll ? now + kCancelPollInterval : next_poll;
      context_.restart();
      context_.run_one_for(std::min(next_poll - now, end - now));
    }
    return std::move(*result);
  }

  /// Closes the connection and runs the handlers that hold it.
  void Close() {
    connection_->Close();
    context_.restart();
    context_.poll();
  }

  // A handler that was not run holds the connection, whose socket needs the event loop, so the
  // event loop is destroyed last.
  edge::asio::io_context context_{1};
  Duration timeout_;
  /// Addresses that were not tried yet.
  std::deque<PeerAddress> peers_;
  edge::HttpConnectionPtr connection_;
  bool was_used_ = false;
};

TargetClient::TargetClient(std::string host, int port, size_t max_idle_connections)
    : host_(std::move(host)), port_(port), max_idle_connections_(max_idle_connections) {}

TargetClient::~TargetClient() = default;

HttpResponse TargetClient::Exchange(const HttpRequest& request,
                                    bool idempotent,
                                    Duration timeout,
                                    const std::function<bool()>& is_cancelled) {
  const TimePoint end = MonotonicNow() + timeout;
  const HttpRequest converted = MakeRequest(request, host_ + ":" + std::to_string(port_));
  auto connection = AcquireConnection(idempotent, timeout);
  // If the exchange throws, the destructor of the connection closes it.
  const bool reused = connection->was_used();
  const TimePoint sent_at = MonotonicNow();
  ExchangeResult result = connection->Exchange(converted, end, is_cancelled);
  const bool ended_at_once = MonotonicNow() - sent_at < kMaxTimeOfClosedConnection;
  if (reused && result.status == ExchangeStatus::kBroken && !result.response_begun &&
      ended_at_once) {
    // The server had probably closed the idle connection before the request reached it.
    connection = std::make_unique<Connection>(host_, port_, timeout);
    result = connection->Exchange(converted, end, is_cancelled);
  }
  CheckResult(result);
  if (connection->IsReusable()) {
    ReleaseConnection(std::move(connection));
  }
  return std::move(result.response);
}

std::unique_ptr<TargetClient::Connection> TargetClient::AcquireConnection(bool idempotent,
                                                                          Duration timeout) {
  while (idempotent) {
    std::unique_ptr<Connection> connection;
    {
      const std::lock_guard lock(mutex_);
      if (idle_connections_.empty()) {
        break;
      }
      connection = std::move(idle_connections_.back());
      idle_connections_.pop_back();
    }
    if (connection->IsReusable()) {
      return connection;
    }
  }
  return std::make_unique<Connection>(host_, port_, timeout);
}

void TargetClient::ReleaseConnection(std::unique_ptr<Connection> connection) {
  const std::lock_guard lock(mutex_);
  if (idle_connections_.size() < max_idle_connections_) {
    idle_connections_.push_back(std::move(connection));
  }
}

}  // namespace limpet
