#include "limpet/edge/http_session.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>
#include <iterator>
#include <utility>

#include "limpet/edge/guard.h"
#include "limpet/edge/http_convert.h"
#include "limpet/net/clock.h"

namespace limpet::edge {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

/// Bytes of later requests that are buffered while one is pending. Reading continues only to detect
/// a closed connection. While a response is being written nothing is read.
constexpr std::size_t kMaxReadAhead = std::size_t{8} << 10;
/// Memory of a connection without any request, including its buffers and the allocator's overhead.
constexpr std::size_t kConnectionBytes = std::size_t{8} << 10;
/// Memory of one header field besides its text. A head of short fields takes many times its length.
constexpr std::size_t kFieldBytes = 160;
/// The head of a request is held twice: by the session and by the call that passes it on.
constexpr std::size_t kHeadCopies = 2;
/// Retry-After value of a request that is refused because memory is short.
constexpr const char* kRetryAfterShort = "0.200";
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

std::size_t CountBytes(const HttpResponse& response) {
  std::size_t bytes = response.body.size();
  for (const wire::Header& header : response.headers) {
    bytes += header.name.size() + header.value.size() + kFieldBytes;
  }
  return bytes;
}

}  // namespace

HttpSession::HttpSession(TcpSocket socket, const HttpSessionOptions& options)
    : socket_(std::move(socket)),
      options_(options),
      timer_(socket_.get_executor()),
      memory_account_(options.memory, [this] { Close(); }) {
  SetConnectionOptions(socket_, kCallerTimeout);
  UpdateMemory();
}

void HttpSession::Accept(TcpSocket socket, const HttpSessionOptions& options) {
  if (options.memory->MakeRoomForConnection()) {
    std::make_shared<HttpSession>(std::move(socket), options)->Start();
  }
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

void HttpSession::ReadAhead() {
  if (buffer_.size() < kMaxReadAhead && !options_.memory->IsShort()) {
    Read();
  }
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
      UpdateMemory();
      ReadAhead();
      return;
    case State::kWriting:
      UpdateMemory();
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
  head_length_ = 0;
  SetState(State::kHeaders);
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
    if (!ReserveRequest(consumed)) {
      options_.memory->CountRefusedRequest();
      RespondAndClose(503, "too many requests in memory");
      return;
    }
    if (state_ == State::kHeaders && parser_->is_header_done()) {
      SetState(State::kBody);
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

void HttpSession::SetState(State state) {
  state_ = state;
  switch (state) {
    case State::kIdle:
    case State::kHeaders:
      memory_account_.SetActivity(CallerActivity::kIdle);
      return;
    case State::kBody:
    case State::kPending:
      memory_account_.SetActivity(CallerActivity::kBusy);
      return;
    default:
      memory_account_.SetActivity(CallerActivity::kWriting);
  }
}

void HttpSession::UpdateMemory() {
  memory_account_.SetUse(
      kConnectionBytes + buffer_.capacity() + head_bytes_ + body_bytes_ + response_bytes_,
      body_bytes_);
}

bool HttpSession::ReserveRequest(std::size_t consumed) {
  body_bytes_ = parser_->get().body().size();
  if (state_ == State::kHeaders) {
    const auto& fields = parser_->get();
    const auto field_count = static_cast<std::size_t>(std::distance(fields.begin(), fields.end()));
    head_length_ += consumed - std::min(consumed, body_bytes_);
    head_bytes_ = kHeadCopies * (head_length_ + field_count * kFieldBytes);
  }
  UpdateMemory();
  return (body_bytes_ == 0 || options_.memory->HasRoomForBodies()) &&
         options_.memory->MakeRoom(&memory_account_);
}

void HttpSession::Dispatch() {
  auto message = parser_->release();
  parser_.reset();
  keep_alive_ = message.keep_alive();
  request_ = ToHttpRequest(std::move(message));
  SetState(State::kPending);
  ++*options_.pending_requests;
  options_.on_request(shared_from_this());
  if (state_ == State::kPending) {
    ReadAhead();
  }
}

void HttpSession::Respond(HttpResponse response) {
  if (state_ != State::kPending) {
    return;
  }
  SetState(State::kWriting);
  on_disconnect_ = nullptr;
  const bool keep_alive = keep_alive_ && !options_.is_closing();
  response_bytes_ = CountBytes(response);
  auto message = std::make_shared<http::response<http::string_body>>(
      ToBeastResponse(std::move(response), request_.method == "HEAD"));
  request_ = HttpRequest();
  head_bytes_ = 0;
  body_bytes_ = 0;
  UpdateMemory();
  // A response that is ready is sent even if no room can be made.
  options_.memory->MakeRoom(&memory_account_);
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
  parser_.reset();
  buffer_.clear();
  keep_alive_ = false;
  SetState(State::kPending);
  ++*options_.pending_requests;
  HttpResponse response = options_.make_refusal(status, text);
  if (status == 503) {
    response.headers.push_back(MakeHeader("Retry-After", kRetryAfterShort));
  }
  Respond(std::move(response));
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
  SetState(State::kIdle);
  SetTimeout(options_.limits().idle_timeout);
  if (buffer_.size() > 0) {
    Parse();
  } else {
    buffer_.shrink_to_fit();
    UpdateMemory();
    Read();
  }
}

void HttpSession::BeginClose() {
  SetState(State::kClosing);
  ErrorCode ignored;
  socket_.shutdown(TcpSocket::shutdown_send, ignored);
  buffer_.consume(buffer_.size());
  SetTimeout(kLingerTimeout);
  Read();
}

void HttpSession::EndRequest() {
  response_bytes_ = 0;
  UpdateMemory();
  if (state_ == State::kPending || state_ == State::kWriting) {
    --*options_.pending_requests;
  }
}

void HttpSession::Close() {
  if (state_ == State::kClosed) {
    return;
  }
  const bool is_pending = state_ == State::kPending;
  EndRequest();
  state_ = State::kClosed;
  memory_account_.Disconnect();
  if (!is_pending) {
    // The handler of a pending request still holds it.
    memory_account_.SetUse(0, 0);
  }
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
