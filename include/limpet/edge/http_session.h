#ifndef LIMPET_EDGE_HTTP_SESSION_H_
#define LIMPET_EDGE_HTTP_SESSION_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "limpet/edge/asio.h"
#include "limpet/edge/caller_memory.h"
#include "limpet/edge/http_convert.h"
#include "limpet/net/http_message.h"
#include "limpet/routing/mesh_config.h"

namespace limpet::edge {

class CallerConnection;
class HttpSession;
using HttpSessionPtr = std::shared_ptr<HttpSession>;

/// Handlers and limits that a server passes to its sessions.
struct HttpSessionOptions {
  /// Called for each complete request. The handler calls `Respond` immediately or later.
  std::function<void(const HttpSessionPtr&)> on_request;
  std::function<CallerLimits()> limits;
  /// Returns true while the node is stopping: the response to the last request that was passed on
  /// then closes the connection.
  std::function<bool()> is_closing;
  /// Makes the response to a request that is malformed, exceeds a limit or arrives too slowly.
  std::function<HttpResponse(int status, const std::string& reason)> make_refusal = TextResponse;
  /// Number of requests that were passed on and whose responses are not yet written.
  std::shared_ptr<int> pending_requests = std::make_shared<int>(0);
  /// Shared by all servers of a process.
  std::shared_ptr<CallerMemory> memory = std::make_shared<CallerMemory>(CallerMemoryLimits{});
  /// Requests of one connection that are pending at the same time. Further ones wait.
  std::size_t max_pipelined = 1;
};

/// One request on the connection of a caller. The connection writes the responses in the order of
/// the requests, whatever the order in which they become ready.
class HttpSession {
 public:
  HttpSession(std::shared_ptr<CallerConnection> connection, HttpRequest request, bool keep_alive);

  /// Serves a new connection, or closes it if the limits of `options.memory` are reached. `options`
  /// must outlive the connection.
  static void Accept(TcpSocket socket, const HttpSessionOptions& options);

  /// Valid until `Respond`.
  const HttpRequest& request() const { return request_; }
  /// File descriptor of the socket, for code that waits on a duplicate of it.
  int descriptor() const;
  /// Moves the body out of the request.
  std::string TakeBody() { return std::move(request_.body); }
  /// `on_disconnect` is called if the connection is closed before `Respond`.
  void SetDisconnectHandler(std::function<void()> on_disconnect) {
    on_disconnect_ = std::move(on_disconnect);
  }
  /// Sends the response to the request. Has no effect if the caller has disconnected or the request
  /// has a response already.
  void Respond(HttpResponse response);

 private:
  friend class CallerConnection;

  std::shared_ptr<CallerConnection> connection_;
  HttpRequest request_;
  bool keep_alive_;
  bool is_head_;
  /// The method has no effect at the target, so the order in which several such requests are
  /// executed does not matter.
  bool is_safe_;
  std::function<void()> on_disconnect_;
  /// Set when the request has been answered.
  std::shared_ptr<BeastResponse> response_;
  /// Memory that the request or the response takes.
  std::size_t head_bytes_ = 0;
  std::size_t body_bytes_ = 0;
  std::size_t response_bytes_ = 0;
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_HTTP_SESSION_H_
