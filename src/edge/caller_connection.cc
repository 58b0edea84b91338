#include "limpet/edge/caller_connection.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>
#include <iterator>
#include <utility>

#include "limpet/edge/guard.h"
#include "limpet/net/clock.h"

namespace limpet::edge {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

/// Bytes of later requests that are buffered while one is pending. Reading continues only to detect
/// a closed connection.
constexpr std::size_t kMaxReadAhead = std::size_t{8} << 10;
/// No further request is passed on while responses of this size wait for earlier ones or for the
/// caller to read.
constexpr std::size_t kMaxHeldResponseBytes = std::size_t{128} << 10;
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

CallerConnection::CallerConnection(TcpSocket socket, const HttpSessionOptions& options)
    : socket_(std::move(socket)),
      options_(options),
      timer_(socket_.get_executor()),
      memory_account_(options.memory, [this] { Close(); }) {
  SetConnectionOptions(socket_, kCallerTimeout);
  UpdateMemory();
}

void CallerConnection::Start() {
  SetTimeout(options_.limits().idle_timeout);
  Read();
}

void CallerConnection::Read() {
  if (reading_ || phase_ == Phase::kClosed) {
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

void CallerConnection::ContinueReading() {
  if (pending_.empty()) {
    Read();
    return;
  }
  // A caller that does not read its only response gets no further request buffered.
  const bool only_writes = writing_ && pending_.size() == 1;
  if (!only_writes && buffer_.size() < kMaxReadAhead && !options_.memory->IsShort()) {
    Read();
  }
}

void CallerConnection::OnRead(ErrorCode error, std::size_t bytes) {
  reading_ = false;
  if (phase_ == Phase::kClosed) {
    return;
  }
  if (error) {
    Close();
    return;
  }
  if (phase_ == Phase::kClosing) {
    Read();
    return;
  }
  buffer_.commit(asio::buffer_copy(buffer_.prepare(bytes), asio::buffer(read_buffer_, bytes)));
  UpdateMemory();
  Parse();
}

bool CallerConnection::MayParse() const {
  if (phase_ != Phase::kOpen || last_request_read_ || waiting_) {
    return false;
  }
  if (pending_.empty() || input_ != Input::kNone) {
    return true;
  }
  std::size_t held = 0;
  for (const HttpSessionPtr& session : pending_) {
    held += session->response_bytes_;
  }
  return pending_.size() < options_.max_pipelined && pending_.back()->is_safe_ &&
         held < kMaxHeldResponseBytes && !options_.is_closing() && !options_.memory->IsShort();
}

void CallerConnection::BeginRequest() {
  const CallerLimits limits = options_.limits();
  parser_.emplace();
  parser_->header_limit(static_cast<uint32_t>(limits.max_header_bytes));
  parser_->body_limit(limits.max_body_bytes);
  parser_->eager(true);
  head_length_ = 0;
  input_ = Input::kHeaders;
  UpdateActivity();
  SetTimeout(limits.header_timeout);
}

void CallerConnection::Parse() {
  while (buffer_.size() > 0 && MayParse()) {
    if (input_ == Input::kNone) {
      BeginRequest();
    }
    ErrorCode error;
    const std::size_t consumed = parser_->put(buffer_.data(), error);
    buffer_.consume(consumed);
    if (error && error != http::error::need_more) {
      RefuseMalformed(error);
      break;
    }
    if (!ReserveRequest(consumed)) {
      options_.memory->CountRefusedRequest();
      RespondAndClose(503, "too many requests in memory");
      break;
    }
    if (input_ == Input::kHeaders && parser_->is_header_done()) {
      input_ = Input::kBody;
      UpdateActivity();
      SetTimeout(options_.limits().idle_timeout);
    }
    if (parser_->is_done()) {
      Dispatch();
      continue;
    }
    if (error == http::error::need_more || consumed == 0) {
      break;
    }
  }
  if (MayParse() && input_ != Input::kNone && buffer_.size() > kMaxUnparsedBytes) {
    RefuseMalformed(http::error::buffer_overflow);
  }
  if (phase_ == Phase::kOpen) {
    ContinueReading();
  }
}

void CallerConnection::RefuseMalformed(const ErrorCode& error) {
  RespondAndClose(StatusForError(error), error.message());
}

bool CallerConnection::ReserveRequest(std::size_t consumed) {
  body_bytes_ = parser_->get().body().size();
  if (input_ == Input::kHeaders) {
    const auto& fields = parser_->get();
    const auto field_count = static_cast<std::size_t>(std::distance(fields.begin(), fields.end()));
    head_length_ += consumed - std::min(consumed, body_bytes_);
    head_bytes_ = kHeadCopies * (head_length_ + field_count * kFieldBytes);
  }
  UpdateMemory();
  return (body_bytes_ == 0 || options_.memory->HasRoomForBodies()) &&
         options_.memory->MakeRoom(&memory_account_);
}

void CallerConnection::Dispatch() {
  auto message = parser_->release();
  parser_.reset();
  const bool keep_alive = message.keep_alive();
  auto session = std::make_shared<HttpSession>(shared_from_this(),
                                               ToHttpRequest(std::move(message)), keep_alive);
  session->head_bytes_ = std::exchange(head_bytes_, 0);
  session->body_bytes_ = std::exchange(body_bytes_, 0);
  input_ = Input::kNone;
  last_request_read_ = !keep_alive;
  if (!pending_.empty() && !session->is_safe_) {
    waiting_ = std::move(session);
    UpdateActivity();
    return;
  }
  PassOn(session);
}

void CallerConnection::PassOn(const HttpSessionPtr& session) {
  pending_.push_back(session);
  ++*options_.pending_requests;
  UpdateActivity();
  options_.on_request(session);
}

void CallerConnection::OnResponse(HttpSession& session, HttpResponse response) {
  if (phase_ != Phase::kOpen || session.response_) {
    return;
  }
  session.on_disconnect_ = nullptr;
  session.response_bytes_ = CountBytes(response);
  session.response_ =
      std::make_shared<BeastResponse>(ToBeastResponse(std::move(response), session.is_head_));
  session.request_ = HttpRequest();
  session.head_bytes_ = 0;
  session.body_bytes_ = 0;
  UpdateMemory();
  WriteNext();
  // A response that is ready is sent even if no room can be made.
  options_.memory->MakeRoom(&memory_account_);
}

void CallerConnection::RespondAndClose(int status, const std::string& text) {
  parser_.reset();
  input_ = Input::kNone;
  buffer_.clear();
  head_bytes_ = 0;
  body_bytes_ = 0;
  last_request_read_ = true;
  HttpResponse response = options_.make_refusal(status, text);
  if (status == 503) {
    response.headers.push_back(MakeHeader("Retry-After", kRetryAfterShort));
  }
  const auto session = std::make_shared<HttpSession>(shared_from_this(), HttpRequest(), false);
  pending_.push_back(session);
  ++*options_.pending_requests;
  OnResponse(*session, std::move(response));
}

void CallerConnection::WriteNext() {
  if (writing_ || pending_.empty() || !pending_.front()->response_) {
    return;
  }
  writing_ = true;
  UpdateActivity();
  const HttpSessionPtr& session = pending_.front();
  // Requests that were passed on get their responses; only the last of them closes the connection.
  const bool ends = pending_.size() == 1 && options_.is_closing();
  const bool keep_alive = session->keep_alive_ && !ends;
  session->response_->keep_alive(keep_alive);
  http::async_write(socket_, *session->response_,
                    [self = shared_from_this(), message = session->response_, keep_alive](
                        ErrorCode error, std::size_t) {
                      const bool handled = !error && RunGuarded("caller_connection", [&] {
                        self->OnWritten(keep_alive);
                      });
                      if (!handled) {
                        self->Close();
                      }
                    });
}

void CallerConnection::OnWritten(bool keep_alive) {
  if (phase_ == Phase::kClosed) {
    return;
  }
  writing_ = false;
  pending_.pop_front();
  --*options_.pending_requests;
  UpdateMemory();
  if (!keep_alive) {
    BeginClose();
    return;
  }
  if (pending_.empty() && waiting_) {
    PassOn(std::exchange(waiting_, nullptr));
  }
  if (pending_.empty() && input_ == Input::kNone) {
    SetTimeout(options_.limits().idle_timeout);
    if (buffer_.size() == 0) {
      buffer_.shrink_to_fit();
      UpdateMemory();
    }
  }
  UpdateActivity();
  WriteNext();
  Parse();
}

void CallerConnection::BeginClose() {
  phase_ = Phase::kClosing;
  waiting_.reset();
  UpdateActivity();
  ErrorCode ignored;
  socket_.shutdown(TcpSocket::shutdown_send, ignored);
  buffer_.clear();
  SetTimeout(kLingerTimeout);
  Read();
}

void CallerConnection::Close() {
  if (phase_ == Phase::kClosed) {
    return;
  }
  phase_ = Phase::kClosed;
  const auto self = shared_from_this();
  memory_account_.Disconnect();
  ErrorCode ignored;
  socket_.close(ignored);
  timer_.cancel();
  *options_.pending_requests -= static_cast<int>(pending_.size());
  waiting_.reset();
  buffer_.clear();
  buffer_.shrink_to_fit();
  // The handlers of requests without a response still hold them; responses are released.
  for (const HttpSessionPtr& session : pending_) {
    session->response_bytes_ = 0;
  }
  UpdateMemory();
  for (const HttpSessionPtr& session : std::exchange(pending_, {})) {
    if (session->on_disconnect_) {
      std::exchange(session->on_disconnect_, nullptr)();
    }
  }
}

void CallerConnection::UpdateActivity() {
  if (writing_ || phase_ != Phase::kOpen) {
    memory_account_.SetActivity(CallerActivity::kWriting);
  } else if (!pending_.empty() || input_ == Input::kBody) {
    memory_account_.SetActivity(CallerActivity::kBusy);
  } else {
    memory_account_.SetActivity(CallerActivity::kIdle);
  }
}

void CallerConnection::UpdateMemory() {
  std::size_t bytes = kConnectionBytes + buffer_.capacity() + head_bytes_ + body_bytes_;
  std::size_t body_bytes = body_bytes_;
  const auto add = [&](const HttpSession& session) {
    bytes += session.head_bytes_ + session.body_bytes_ + session.response_bytes_;
    body_bytes += session.body_bytes_;
  };
  for (const HttpSessionPtr& session : pending_) {
    add(*session);
  }
  if (waiting_) {
    add(*waiting_);
  }
  memory_account_.SetUse(bytes, body_bytes);
}

void CallerConnection::SetTimeout(Duration timeout) {
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

void CallerConnection::WaitForTimeout() {
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

void CallerConnection::OnTimeout() {
  if (phase_ == Phase::kOpen && input_ != Input::kNone) {
    RespondAndClose(408, "the request did not arrive in time");
  } else if (phase_ == Phase::kClosing || pending_.empty()) {
    Close();
  }
  // The deadlines of pending requests end them; the end of the last one sets a new timeout.
}

}  // namespace limpet::edge
