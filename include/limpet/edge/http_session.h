#ifndef LIMPET_EDGE_HTTP_SESSION_H_
#define LIMPET_EDGE_HTTP_SESSION_H_

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "limpet/edge/asio.h"
#include "limpet/edge/caller_memory.h"
#include "limpet/net/http_message.h"
#include "limpet/routing/mesh_config.h"

namespace limpet::edge {

class HttpSession;
using HttpSessionPtr = std::shared_ptr<HttpSession>;

/// Handlers and limits that a server passes to its sessions.
struct HttpSessionOptions {
  /// Called for each complete request. The handler calls `Respond` immediately or later.
  std::function<void(const HttpSessionPtr&)> on_request;
  std::function<CallerLimits()> limits;
  /// Returns true while the node is stopping: each response then closes the connection.
  std::function<bool()> is_closing;
  /// Makes the response to a request that is malformed, exceeds a limit or arrives too slowly.
  std::function<HttpResponse(int status, const std::string& reason)> make_refusal = TextResponse;
  /// Number of requests that were read completely and whose responses are not yet written.
  std::shared_ptr<int> pending_requests = std::make_shared<int>(0);
  /// Shared by all servers of a process.
  std::shared_ptr<CallerMemory> memory = std::make_shared<CallerMemory>(CallerMemoryLimits{});
};

/// One connection of a caller. Serves one request at a time and detects immediately when the caller
/// disconnects while its request is pending. Malformed requests get 400, oversized headers 431,
/// oversized bodies 413, requests that arrive too slowly 408, and requests for which the
/// `CallerMemory` has no room 503; the connection is then closed. It is also closed without a
/// response if the memory is short while it is idle or its caller does not read.
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  /// `options` must outlive the session.
  HttpSession(TcpSocket socket, const HttpSessionOptions& options);

  /// Serves a new connection, or closes it if the limits of `options.memory` are reached.
  static void Accept(TcpSocket socket, const HttpSessionOptions& options);

  void Start();

  /// The pending request; valid until `Respond`.
  const HttpRequest& request() const { return request_; }
  /// File descriptor of the socket, for code that waits on a duplicate of it.
  int descriptor() { return socket_.native_handle(); }
  /// Moves the body out of the pending request.
  std::string TakeBody() { return std::move(request_.body); }
  /// `on_disconnect` is called if the connection is closed before `Respond`.
  void SetDisconnectHandler(std::function<void()> on_disconnect) {
    on_disconnect_ = std::move(on_disconnect);
  }
  /// Sends the response to the pending request. Has no effect if the caller has disconnected.
  void Respond(HttpResponse response);

 private:
  enum class State { kIdle, kHeaders, kBody, kPending, kWriting, kClosing, kClosed };
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  void Read();
  /// Reads while a request is pending, to detect that the caller disconnects. Stops when enough
  /// bytes of later requests are buffered or the memory is short.
  void ReadAhead();
  void OnRead(ErrorCode error, std::size_t bytes);
  void Parse();
  void BeginRequest();
  void Dispatch();
  void RefuseMalformed(const ErrorCode& error);
  void SetState(State state);
  /// Counts the bytes that this connection holds now.
  void UpdateMemory();
  /// Counts the part of the request that the parser holds. Returns false if there is no room.
  bool ReserveRequest(std::size_t consumed);
  void RespondAndClose(int status, const std::string& text);
  void OnWritten(bool keep_alive);
  void BeginClose();
  void Close();
  void EndRequest();
  void SetTimeout(Duration timeout);
  void WaitForTimeout();
  void OnTimeout();

  TcpSocket socket_;
  const HttpSessionOptions& options_;
  Timer timer_;
  TimePoint expiry_{};
  bool timer_pending_ = false;
  State state_ = State::kIdle;
  bool reading_ = false;
  bool keep_alive_ = true;
  CallerMemory::Account memory_account_;
  /// Bytes of the head of the current request, and an estimate of the memory that the head takes.
  std::size_t head_length_ = 0;
  std::size_t head_bytes_ = 0;
  std::size_t body_bytes_ = 0;
  std::size_t response_bytes_ = 0;
  /// Destination of a pending read. Separate from `buffer_`, which is parsed while a read is
  /// pending.
  std::array<char, 4096> read_buffer_;
  /// Received bytes that are not parsed yet.
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  HttpRequest request_;
  std::function<void()> on_disconnect_;
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_HTTP_SESSION_H_
