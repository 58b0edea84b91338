#include "limpet/edge/http_session.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

#include "limpet/edge/guard.h"
#include "limpet/edge/http_convert.h"
#include "limpet/net/clock.h"

namespace limpet::edge {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

/// Bytes of later requests that are buffered while one is pending. Reading continues only to detect
/// a closed connection.
constexpr std::size_t kMaxReadAhead = std::size_t{64} << 10;
/// Received bytes that the parser has not consumed. The limit on headers does not bound the length
/// of a line between chunks.
constexpr std::size_t kMaxUnparsedBytes = std::size_t{128} << 10;
/// After a response that ends the connection, incoming data is read and discarded for this long.
/// Closing a socket with unread data resets the connection, and the caller could lose the response.
constexpr Duration kLingerTimeout = std::chrono::seconds(1);
/// The kernel closes the connection of a caller that does not respond for about this long.
constexpr Duration kCallerTimeout = std::chrono::seconds(20);

int StatusForError(const ErrorCode& error) {
  if (error == http::error::header_limit || error == http::error::buffer_overflow) {
    return 431;
  }
  return error == http::error::body_limit ? 413 : 400;
}

}  // namespace

HttpSession::HttpSession(TcpSocket socket, const HttpSessionOptions& options)
    : socket_(std::move(socket)), options_(options), timer_(socket_.get_executor()) {
  SetConnectionOptions(socket_, kCallerTimeout);
}

void HttpSession::Start() {
  SetTimeout(options_.limits().idle_timeout);
  Read();
}

void HttpSession::Read() {
  if (reading_ || state_ == State::kClosed) {
    return;
  }
  reading_ = true;
  socket_.async_read_some(
      asio::buffer(read_buffer_), [self = shared_from_this()](ErrorCode error, std::size_t bytes) {
        if (!RunGuarded("caller_connection", [&] { self->OnRead(error, bytes); })) {
          self->Close();
        }
      });
}

void HttpSession::OnRead(ErrorCode error, std::size_t bytes) {
  reading_ = false;
  if (state_ == State::kClosed) {
    return;
  }
  if (error) {
    Close();
    return;
  }
  buffer_.commit(asio::buffer_copy(buffer_.prepare(bytes), asio::buffer(read_buffer_, bytes)));
  switch (state_) {
    case State::kClosing:
      buffer_.consume(buffer_.size());
      Read();
      return;
    case State::kPending:
    case State::kWriting:
      if (buffer_.size() < kMaxReadAhead) {
        Read();
      }
      return;
    default:
      Parse();
  }
}

void HttpSession::BeginRequest() {
  const CallerLimits limits = options_.limits();
  parser_.emplace();
  parser_->header_limit(static_cast<uint32_t>(limits.max_header_bytes));
  parser_->body_limit(limits.max_body_bytes);
  parser_->eager(true);
  state_ = State::kHeaders;
  SetTimeout(limits.header_timeout);
}

void HttpSession::Parse() {
  while (buffer_.size() > 0) {
    if (state_ == State::kIdle) {
      BeginRequest();
    }
    ErrorCode error;
    const std::size_t consumed = parser_->put(buffer_.data(), error);
    buffer_.consume(consumed);
    if (error && error != http::error::need_more) {
      RefuseMalformed(error);
      return;
    }
    if (!ReserveBody(parser_->get().body().size())) {
      RespondAndClose(503, "too many request bodies");
      return;
    }
    if (state_ == State::kHeaders && parser_->is_header_done()) {
      state_ = State::kBody;
      SetTimeout(options_.limits().idle_timeout);
    }
    if (parser_->is_done()) {
      Dispatch();
      return;
    }
    if (error == http::error::need_more || consumed == 0) {
      break;
    }
  }
  if (buffer_.size() > kMaxUnparsedBytes) {
    RefuseMalformed(http::error::buffer_overflow);
    return;
  }
  Read();
}

void HttpSession::RefuseMalformed(const ErrorCode& error) {
  RespondAndClose(StatusForError(error), error.message());
}

bool HttpSession::ReserveBody(std::size_t bytes) {
  BodyBudget& budget = *options_.body_budget;
  budget.used_bytes += bytes - reserved_bytes_;
  reserved_bytes_ = bytes;
  return bytes == 0 || budget.used_bytes <= budget.limit_bytes;
}

void HttpSession::Dispatch() {
  auto message = parser_->release();
  parser_.reset();
  keep_alive_ = message.keep_alive();
  request_ = ToHttpRequest(std::move(message));
  state_ = State::kPending;
  ++*options_.pending_requests;
  // Keeps reading to detect that the caller disconnects.
  Read();
  options_.on_request(shared_from_this());
}

void HttpSession::Respond(HttpResponse response) {
  if (state_ != State::kPending) {
    return;
  }
  state_ = State::kWriting;
  on_disconnect_ = nullptr;
  const bool keep_alive = keep_alive_ && !options_.is_closing();
  auto message = std::make_shared<http::response<http::string_body>>(
      ToBeastResponse(std::move(response), request_.method == "HEAD"));
  message->keep_alive(keep_alive);
  http::async_write(socket_, *message,
                    [self = shared_from_this(), message, keep_alive](ErrorCode error, std::size_t) {
                      if (error) {
                        self->Close();
                      } else {
                        self->OnWritten(keep_alive);
                      }
                    });
}

void HttpSession::RespondAndClose(int status, const std::string& text) {
  request_ = HttpRequest();
  keep_alive_ = false;
  state_ = State::kPending;
  ++*options_.pending_requests;
  Respond(options_.make_refusal(status, text));
}

void HttpSession::OnWritten(bool keep_alive) {
  if (state_ == State::kClosed) {
    return;
  }
  EndRequest();
  if (!keep_alive) {
    BeginClose();
    return;
  }
  state_ = State::kIdle;
  SetTimeout(options_.limits().idle_timeout);
  if (buffer_.size() > 0) {
    Parse();
  } else {
    Read();
  }
}

void HttpSession::BeginClose() {
  state_ = State::kClosing;
  ErrorCode ignored;
  socket_.shutdown(TcpSocket::shutdown_send, ignored);
  buffer_.consume(buffer_.size());
  SetTimeout(kLingerTimeout);
  Read();
}

void HttpSession::EndRequest() {
  ReserveBody(0);
  if (state_ == State::kPending || state_ == State::kWriting) {
    --*options_.pending_requests;
  }
}

void HttpSession::Close() {
  if (state_ == State::kClosed) {
    return;
  }
  EndRequest();
  state_ = State::kClosed;
  ErrorCode ignored;
  socket_.close(ignored);
  timer_.cancel();
  if (on_disconnect_) {
    std::exchange(on_disconnect_, nullptr)();
  }
}

void HttpSession::SetTimeout(Duration timeout) {
  const TimePoint expiry = MonotonicNow() + timeout;
  const bool earlier = expiry < expiry_;
  expiry_ = expiry;
  if (timer_pending_ && earlier) {
    timer_.cancel();
  }
  if (!timer_pending_ || earlier) {
    WaitForTimeout();
  }
}

void HttpSession::WaitForTimeout() {
  timer_pending_ = true;
  timer_.expires_after(expiry_ - MonotonicNow());
  timer_.async_wait([self = shared_from_this()](ErrorCode error) {
    if (error) {
      return;
    }
    self->timer_pending_ = false;
    if (MonotonicNow() >= self->expiry_) {
      self->OnTimeout();
    } else {
      self->WaitForTimeout();
    }
  });
}

void HttpSession::OnTimeout() {
  switch (state_) {
    case State::kHeaders:
    case State::kBody:
      RespondAndClose(408, "the request did not arrive in time");
      return;
    case State::kIdle:
    case State::kClosing:
      Close();
      return;
    default:
      // The deadline of the pending request ends it; the next state sets a new timeout.
      return;
  }
}

}  // namespace limpet::edge
