#include "limpet/edge/http_session.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

#include "limpet/edge/http_convert.h"
#include "limpet/net/clock.h"

namespace limpet::edge {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

constexpr std::size_t kReadBytes = 4096;
/// Bytes of later requests that are taken in while one is open; reading goes on only to notice a
/// closed connection.
constexpr std::size_t kMaxBufferedAhead = std::size_t{64} << 10;
/// After an answer that ends the connection the rest of the request is read and dropped for this
/// long, because closing with unread bytes would reset the connection under the answer.
constexpr Duration kLingerTimeout = std::chrono::seconds(1);
/// A caller that vanished without closing is noticed by the kernel after this long.
constexpr Duration kCallerSilence = std::chrono::seconds(20);

int StatusOf(const ErrorCode& error) {
  if (error == http::error::header_limit || error == http::error::buffer_overflow) {
    return 431;
  }
  return error == http::error::body_limit ? 413 : 400;
}

}  // namespace

HttpSession::HttpSession(TcpSocket socket, const HttpSessionOptions& options)
    : socket_(std::move(socket)), options_(options), timer_(socket_.get_executor()) {
  SetConnectionOptions(socket_, kCallerSilence);
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
  socket_.async_read_some(buffer_.prepare(kReadBytes),
                          [self = shared_from_this()](ErrorCode error, std::size_t bytes) {
                            self->OnRead(error, bytes);
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
  buffer_.commit(bytes);
  switch (state_) {
    case State::kClosing:
      buffer_.consume(buffer_.size());
      Read();
      return;
    case State::kOpen:
    case State::kWriting:
      if (buffer_.size() < kMaxBufferedAhead) {
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
    const std::size_t used = parser_->put(buffer_.data(), error);
    buffer_.consume(used);
    if (error && error != http::error::need_more) {
      Reject(error);
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
    if (error == http::error::need_more || used == 0) {
      break;
    }
  }
  Read();
}

void HttpSession::Reject(const ErrorCode& error) {
  RespondAndClose(StatusOf(error), error.message());
}

void HttpSession::Dispatch() {
  auto message = parser_->release();
  parser_.reset();
  keep_alive_ = message.keep_alive();
  request_ = ToHttpRequest(std::move(message));
  state_ = State::kOpen;
  ++*options_.open_requests;
  // Reading on notices when the caller leaves.
  Read();
  options_.on_request(shared_from_this());
}

void HttpSession::Respond(HttpResponse response) {
  if (state_ != State::kOpen) {
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
  state_ = State::kOpen;
  ++*options_.open_requests;
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
  if (state_ == State::kOpen || state_ == State::kWriting) {
    --*options_.open_requests;
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
      // The deadline of the open request ends it; the next state sets a new timeout.
      return;
  }
}

}  // namespace limpet::edge
