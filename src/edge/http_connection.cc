#include "limpet/edge/http_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>
#include <cerrno>
#include <utility>

#include "limpet/core/fault.h"
#include "limpet/edge/guard.h"
#include "limpet/net/clock.h"

namespace limpet::edge {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t kReadBytes = std::size_t{16} << 10;
/// Number of interim responses (1xx) before the exchange fails.
constexpr int kMaxInterimResponses = 16;
/// Number of responses to other requests that are dropped before the exchange fails.
constexpr int kMaxSkippedResponses = 3;
/// Subtracted from the peer's Keep-Alive timeout, because the peer started counting earlier.
constexpr Duration kIdleMargin = std::chrono::seconds(1);

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
  request_sent_ = false;
  http::async_write(socket_, request_,
                    [self = shared_from_this()](ErrorCode error, std::size_t /*bytes*/) {
                      self->OnWritten(error);
                    });
  Read();
}

void HttpConnection::OnWritten(ErrorCode error) {
  writing_ = false;
  if (state_ == State::kClosed) {
    return;
  }
  // After an error a response may still have arrived before the peer closed the connection, so the
  // read operation goes on. It may see only an end of file, because a reset is reported once.
  write_error_ = error;
  request_sent_ = !error;
  if (at_end_) {
    OnEnd();
  } else if (!error) {
    FinishExchange();
  }
}

void HttpConnection::BeginResponse() {
  reader_.emplace(options_.max_response_bytes, request_.method() != http::verb::head);
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
  at_end_ = error == asio::error::eof;
  if (error && !at_end_) {
    Fail(ExchangeStatus::kBroken, error);
    return;
  }
  Parse();
}

void HttpConnection::Parse() {
  while (!response_complete_ && buffer_.size() > 0) {
    response_begun_ = true;
    const asio::const_buffer data = buffer_.data();
    ErrorCode error;
    const std::size_t consumed =
        reader_->Put({static_cast<const char*>(data.data()), data.size()}, error);
    buffer_.consume(consumed);
    if (error) {
      Fail(ExchangeStatus::kBroken, error);
      return;
    }
    if (!reader_->is_complete()) {
      break;
    }
    OnResponse();
    if (state_ == State::kClosed) {
      return;
    }
  }
  if (at_end_) {
    OnEnd();
  } else if (response_complete_) {
    FinishExchange();
  } else {
    Read();
  }
}

void HttpConnection::OnEnd() {
  if (response_complete_) {
    keep_alive_ = false;
    FinishExchange();
    return;
  }
  if (reader_->framing() == ResponseFraming::kUntilClose) {
    if (writing_) {
      // The write operation shows whether the connection ended with an error.
      return;
    }
    if (HasConnectionError() && !IsFaultActive(Fault::kAcceptResponseAfterError)) {
      Fail(ExchangeStatus::kBroken, asio::error::connection_reset);
      return;
    }
  }
  ErrorCode error;
  reader_->PutEnd(error);
  if (!error) {
    OnResponse();
  }
  if (response_complete_) {
    keep_alive_ = false;
    FinishExchange();
  } else {
    Fail(ExchangeStatus::kBroken, error ? error : ErrorCode(asio::error::eof));
  }
}

bool HttpConnection::HasConnectionError() {
  int socket_error = 0;
  socklen_t size = sizeof socket_error;
  const int result =
      ::getsockopt(socket_.native_handle(), SOL_SOCKET, SO_ERROR, &socket_error, &size);
  return write_error_ || result != 0 || socket_error != 0;
}

void HttpConnection::OnResponse() {
  HttpResponse response = reader_->Release();
  const bool interim = response.status < 200;
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
  keep_alive_ = reader_->keep_alive();
  const auto peer_idle_timeout = reader_->keep_alive_timeout();
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
  result.framing = reader_->framing();
  idle_since_ = MonotonicNow();
  // If the response came before the request was sent completely, the rest of the request would have
  // to follow before another one, so the connection is not used again.
  if (keep_alive_ && buffer_.size() == 0 && request_sent_) {
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
  result.framing = reader_ ? reader_->framing() : ResponseFraming::kUnknown;
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

bool HttpConnection::HasPeerEnded() {
  if (state_ != State::kIdle) {
    return false;
  }
  char byte = 0;
  const ssize_t received =
      ::recv(socket_.native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
  return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool HttpConnection::IsReusable(TimePoint now) const {
  return state_ == State::kNew || (state_ == State::kIdle && now < usable_until_);
}

}  // namespace limpet::edge
