#include "limpet/edge/http_connection.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

#include "limpet/edge/guard.h"
#include "limpet/net/clock.h"

namespace limpet::edge {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t kReadBytes = std::size_t{16} << 10;
constexpr uint32_t kMaxResponseHeaderBytes = 64 * 1024;
/// Received bytes that the parser has not consumed. It consumes bodies at once, and the header
/// limit bounds what it waits for, but not the length of a line between chunks.
constexpr std::size_t kMaxUnparsedBytes = std::size_t{128} << 10;
/// Number of interim responses (1xx) before the exchange fails.
constexpr int kMaxInterimResponses = 16;
/// Number of responses to other requests that are dropped before the exchange fails.
constexpr int kMaxSkippedResponses = 3;
/// Subtracted from the peer's Keep-Alive timeout, because the peer started counting earlier.
constexpr Duration kIdleMargin = std::chrono::seconds(1);

/// Returns the value of "timeout=N" (seconds) in a Keep-Alive header; no value if absent or
/// invalid.
std::optional<Duration> ParseKeepAliveTimeout(boost::beast::string_view text) {
  constexpr std::string_view kName = "timeout=";
  const std::string_view value(text.data(), text.size());
  const std::size_t start = value.find(kName);
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view digits = value.substr(start + kName.size());
  digits = digits.substr(0, digits.find_first_not_of("0123456789"));
  const int seconds = ParseNonNegative(digits, -1);
  return seconds < 0 ? std::nullopt : std::optional<Duration>(std::chrono::seconds(seconds));
}

}  // namespace

HttpConnection::HttpConnection(const Executor& executor, HttpConnectionOptions options)
    : options_(std::move(options)), socket_(executor), timer_(executor) {}

void HttpConnection::Send(HttpRequest request,
                          Duration timeout,
                          Matcher matches,
                          Callback callback) {
  request_ = ToBeastRequest(std::move(request));
  timeout_ = timeout;
  matches_ = std::move(matches);
  callback_ = std::move(callback);
  response_complete_ = false;
  response_begun_ = false;
  skipped_responses_ = 0;
  interim_responses_ = 0;
  if (state_ == State::kNew) {
    Connect();
    return;
  }
  state_ = State::kBusy;
  StartTimer(timeout_, ExchangeStatus::kTimedOut);
  WriteRequest();
}

void HttpConnection::Connect() {
  state_ = State::kConnecting;
  ErrorCode error;
  const auto address = asio::ip::make_address(options_.peer.host, error);
  if (error) {
    asio::post(socket_.get_executor(), [self = shared_from_this(), error] {
      self->Fail(ExchangeStatus::kNotConnected, error);
    });
    return;
  }
  StartTimer(std::min(options_.connect_timeout, timeout_), ExchangeStatus::kNotConnected);
  socket_.async_connect(
      {address, static_cast<uint16_t>(options_.peer.port)},
      [self = shared_from_this()](ErrorCode result) { self->OnConnected(result); });
}

void HttpConnection::OnConnected(ErrorCode error) {
  if (state_ != State::kConnecting) {
    return;
  }
  if (error) {
    Fail(ExchangeStatus::kNotConnected, error);
    return;
  }
  SetConnectionOptions(socket_, options_.peer_timeout);
  state_ = State::kBusy;
  StartTimer(timeout_, ExchangeStatus::kTimedOut);
  WriteRequest();
}

void HttpConnection::WriteRequest() {
  BeginResponse();
  writing_ = true;
  http::async_write(socket_, request_,
                    [self = shared_from_this()](ErrorCode error, std::size_t /*bytes*/) {
                      self->writing_ = false;
                      if (error) {
                        // A response may have arrived before the peer closed the connection; the
                        // read operation reports the result.
                        return;
                      }
                      self->FinishExchange();
                    });
  Read();
}

void HttpConnection::BeginResponse() {
  parser_.emplace();
  parser_->header_limit(kMaxResponseHeaderBytes);
  parser_->body_limit(options_.max_response_bytes);
  parser_->eager(true);
  if (request_.method() == http::verb::head) {
    parser_->skip(true);
  }
}

void HttpConnection::Read() {
  if (reading_ || state_ == State::kClosed) {
    return;
  }
  reading_ = true;
  socket_.async_read_some(
      buffer_.prepare(kReadBytes), [self = shared_from_this()](ErrorCode error, std::size_t bytes) {
        if (!RunGuarded("target_connection", [&] { self->OnRead(error, bytes); })) {
          self->Fail(ExchangeStatus::kBroken, asio::error::invalid_argument);
        }
      });
}

void HttpConnection::OnRead(ErrorCode error, std::size_t bytes) {
  reading_ = false;
  if (state_ == State::kClosed) {
    return;
  }
  buffer_.commit(bytes);
  if (state_ == State::kIdle) {
    // No response is expected: the peer closed the connection or sent unrequested bytes.
    CloseSocket();
    return;
  }
  const bool at_end = error == asio::error::eof;
  if (error && !at_end) {
    Fail(ExchangeStatus::kBroken, error);
    return;
  }
  Parse(at_end);
}

void HttpConnection::Parse(bool at_end) {
  while (!response_complete_ && buffer_.size() > 0) {
    response_begun_ = true;
    ErrorCode error;
    const std::size_t consumed = parser_->put(buffer_.data(), error);
    buffer_.consume(consumed);
    if (error && error != http::error::need_more) {
      Fail(ExchangeStatus::kBroken, error);
      return;
    }
    if (parser_->is_done()) {
      OnResponse();
      if (state_ == State::kClosed) {
        return;
      }
    } else if (error == http::error::need_more || consumed == 0) {
      break;
    }
  }
  if (!response_complete_ && buffer_.size() > kMaxUnparsedBytes) {
    Fail(ExchangeStatus::kBroken, http::error::buffer_overflow);
    return;
  }
  if (response_complete_) {
    if (at_end) {
      keep_alive_ = false;
    }
    FinishExchange();
    return;
  }
  if (at_end) {
    ErrorCode error;
    if (parser_->is_header_done()) {
      parser_->put_eof(error);
    } else {
      error = asio::error::eof;
    }
    if (error || !parser_->is_done()) {
      Fail(ExchangeStatus::kBroken, error ? error : ErrorCode(asio::error::eof));
      return;
    }
    OnResponse();
    if (response_complete_) {
      keep_alive_ = false;
      FinishExchange();
    } else if (state_ != State::kClosed) {
      Fail(ExchangeStatus::kBroken, asio::error::eof);
    }
    return;
  }
  Read();
}

void HttpConnection::OnResponse() {
  auto message = parser_->release();
  const bool interim = message.result_int() < 200;
  const auto peer_idle_timeout = ParseKeepAliveTimeout(message["Keep-Alive"]);
  const bool keep_alive = message.keep_alive();
  HttpResponse response = ToHttpResponse(std::move(message));
  if (interim || !matches_(response.headers)) {
    const bool too_many = interim ? ++interim_responses_ > kMaxInterimResponses
                                  : ++skipped_responses_ > kMaxSkippedResponses;
    if (too_many) {
      Fail(ExchangeStatus::kBroken, http::error::bad_value);
      return;
    }
    BeginResponse();
    return;
  }
  keep_alive_ = keep_alive;
  const Duration idle =
      peer_idle_timeout ? *peer_idle_timeout - kIdleMargin : options_.idle_timeout;
  usable_until_ = MonotonicNow() + idle;
  response_ = std::move(response);
  response_complete_ = true;
}

void HttpConnection::FinishExchange() {
  if (state_ != State::kBusy || !response_complete_) {
    return;
  }
  timer_.cancel();
  ExchangeResult result;
  result.status = ExchangeStatus::kResponded;
  result.response = std::move(response_);
  result.response_begun = true;
  idle_since_ = MonotonicNow();
  // If the response came before the request was sent completely, the rest of the request would have
  // to follow before another one, so the connection is not used again.
  if (keep_alive_ && buffer_.size() == 0 && !writing_) {
    state_ = State::kIdle;
    Read();
  } else {
    CloseSocket();
  }
  std::exchange(callback_, nullptr)(std::move(result));
}

void HttpConnection::Fail(ExchangeStatus status, ErrorCode error) {
  if (state_ == State::kClosed) {
    return;
  }
  CloseSocket();
  if (!callback_) {
    return;
  }
  ExchangeResult result;
  result.status = status;
  result.response_begun = response_begun_;
  result.error = error;
  std::exchange(callback_, nullptr)(std::move(result));
}

void HttpConnection::StartTimer(Duration timeout, ExchangeStatus status) {
  timer_.expires_after(timeout);
  timer_.async_wait([self = shared_from_this(), status](ErrorCode error) {
    // A timer that expired just before it was restarted still reports success.
    if (!error && self->timer_.expiry() <= std::chrono::steady_clock::now()) {
      self->Fail(status, asio::error::timed_out);
    }
  });
}

void HttpConnection::Close() {
  callback_ = nullptr;
  CloseSocket();
}

void HttpConnection::CloseSocket() {
  state_ = State::kClosed;
  timer_.cancel();
  ErrorCode ignored;
  socket_.close(ignored);
}

bool HttpConnection::IsReusable(TimePoint now) const {
  return state_ == State::kNew || (state_ == State::kIdle && now < usable_until_);
}

}  // namespace limpet::edge
