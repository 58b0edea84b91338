#include "limpet/net/target_client.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <cxxtools/selector.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <string_view>
#include <utility>

#include "limpet/core/fault.h"
#include "limpet/net/clock.h"

namespace limpet {

namespace {

/// Longest delay until a cancellation is detected.
constexpr Duration kCancelPollInterval = std::chrono::milliseconds(10);

/// cxxtools has no exception type for a failed connection attempt, so it can be recognised only by
/// its message. If the message does not match, the failure counts as a connection lost after the
/// request was sent; the request is then never wrongly reported as not executed.
bool IsConnectFailure(std::string_view message) {
  return message.starts_with("while trying to connect") || message.starts_with("failed to connect");
}

bool CanHaveBody(int status) {
  return status >= 200 && status != 204 && status != 304;
}

cxxtools::http::Request ToCxxtoolsRequest(const HttpRequest& from) {
  cxxtools::http::Request request(from.path);
  request.method(from.method);
  request.qparams(from.query);
  for (const auto& header : from.headers) {
    if (!IsConnectionHeader(header.name)) {
      request.addHeader(header.name.c_str(), header.value.c_str());
    }
  }
  request.body() << from.body;
  return request;
}

cxxtools::Milliseconds ToMilliseconds(Duration duration) {
  // At least 1 ms, because with 0 the selector would not wait.
  return cxxtools::Milliseconds(std::max<double>(1, static_cast<double>(duration.count()) / 1000));
}

}  // namespace

ExchangeError::ExchangeError(ExchangeFailure failure, const std::string& detail)
    : Error(std::string(EnumName(kExchangeFailureNames, failure)) + ": " + detail),
      failure_(failure) {}

/// A cxxtools client with the state of its current exchange. Uses the asynchronous mode, which can
/// be cancelled and which reports a body that is shorter than its Content-Length.
class TargetClient::Connection : public cxxtools::Connectable {
 public:
  Connection(const std::string& host, int port)
      : client_(selector_, host, static_cast<unsigned short>(port)) {
    cxxtools::connect(client_.replyFinished, *this, &Connection::OnFinished);
    cxxtools::connect(client_.headerReceived, *this, &Connection::OnHeader);
    cxxtools::connect(client_.bodyAvailable, *this, &Connection::OnBody);
  }

  HttpResponse Exchange(const HttpRequest& request,
                        Duration timeout,
                        const std::function<bool()>& is_cancelled) {
    finished_ = false;
    chunked_ = false;
    body_.clear();
    const cxxtools::http::Request converted = ConvertRequest(request);
    try {
      client_.beginExecute(converted);
      WaitForResponse(MonotonicNow() + timeout, is_cancelled);
      client_.endExecute();
    } catch (const ExchangeError&) {
      throw;
    } catch (const std::exception& error) {
      throw ExchangeError(ClassifyFailure(error), error.what());
    }
    return MakeResponse();
  }

  bool IsReusable() const { return client_.header().keepAlive(); }

 private:
  static cxxtools::http::Request ConvertRequest(const HttpRequest& request) {
    try {
      return ToCxxtoolsRequest(request);
    } catch (const std::exception& error) {
      throw ExchangeError(ExchangeFailure::kRequestTooLarge, error.what());
    }
  }

  void WaitForResponse(TimePoint end, const std::function<bool()>& is_cancelled) {
    while (!finished_) {
      const TimePoint now = MonotonicNow();
      if (now >= end) {
        throw ExchangeError(ExchangeFailure::kTimeout, "no response within the timeout");
      }
      if (is_cancelled()) {
        throw ExchangeError(ExchangeFailure::kCancelled, "cancelled by the caller");
      }
      client_.wait(ToMilliseconds(std::min(kCancelPollInterval, end - now)));
    }
  }

  ExchangeFailure ClassifyFailure(const std::exception& error) const {
    if (chunked_) {
      return ExchangeFailure::kTruncatedReply;
    }
    return IsConnectFailure(error.what()) ? ExchangeFailure::kNotConnected
                                          : ExchangeFailure::kConnectionLost;
  }

  HttpResponse MakeResponse() {
    const auto& header = client_.header();
    HttpResponse response;
    response.status = static_cast<int>(header.httpReturnCode());
    if (CanHaveBody(response.status) && !header.hasHeader("Content-Length") &&
        !IsFaultActive(Fault::kAcceptTruncated)) {
      throw ExchangeError(ExchangeFailure::kTruncatedReply, "response without Content-Length");
    }
    for (const auto& [name, value] : header) {
      wire::Header copy;
      copy.name = name;
      copy.value = value + std::strspn(value, " \t");
      response.headers.push_back(std::move(copy));
    }
    response.body = std::move(body_);
    return response;
  }

  void OnFinished(cxxtools::http::Client& /*client*/) { finished_ = true; }

  /// Ends the exchange with an exception if the response is chunked. cxxtools does not detect the
  /// end of a chunked body in asynchronous mode, nor a truncated one in synchronous mode, so a
  /// chunked response cannot be checked for completeness.
  void OnHeader(cxxtools::http::Client& client) {
    chunked_ = client.header().chunkedTransferEncoding();
    if (chunked_) {
      throw Error("a chunked response cannot be checked for completeness");
    }
  }

  std::size_t OnBody(cxxtools::http::Client& client) {
    std::array<char, 8192> buffer;
    std::size_t total = 0;
    auto* source = client.in().rdbuf();
    for (auto available = source->in_avail(); available > 0; available = source->in_avail()) {
      const auto chunk_size = std::min<std::streamsize>(available, buffer.size());
      const auto count = source->sgetn(buffer.data(), chunk_size);
      body_.append(buffer.data(), static_cast<size_t>(count));
      total += static_cast<std::size_t>(count);
    }
    return total;
  }

  cxxtools::Selector selector_;
  cxxtools::http::Client client_;
  bool finished_ = false;
  bool chunked_ = false;
  std::string body_;
};

TargetClient::TargetClient(std::string host, int port, size_t max_idle_connections)
    : host_(std::move(host)), port_(port), max_idle_connections_(max_idle_connections) {}

TargetClient::~TargetClient() = default;

HttpResponse TargetClient::Exchange(const HttpRequest& request,
                                    bool idempotent,
                                    Duration timeout,
                                    const std::function<bool()>& is_cancelled) {
  auto connection = AcquireConnection(idempotent);
  // If the exchange throws, the destructor of the connection closes it.
  HttpResponse response = connection->Exchange(request, timeout, is_cancelled);
  if (connection->IsReusable()) {
    ReleaseConnection(std::move(connection));
  }
  return response;
}

std::unique_ptr<TargetClient::Connection> TargetClient::AcquireConnection(bool idempotent) {
  if (idempotent) {
    const std::lock_guard lock(mutex_);
    if (!idle_connections_.empty()) {
      auto connection = std::move(idle_connections_.back());
      idle_connections_.pop_back();
      return connection;
    }
  }
  return std::make_unique<Connection>(host_, port_);
}

void TargetClient::ReleaseConnection(std::unique_ptr<Connection> connection) {
  const std::lock_guard lock(mutex_);
  if (idle_connections_.size() < max_idle_connections_) {
    idle_connections_.push_back(std::move(connection));
  }
}

}  // namespace limpet
