#ifndef LIMPET_NET_HTTP_SERVER_H_
#define LIMPET_NET_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "limpet/core/error.h"
#include "limpet/edge/caller_memory.h"
#include "limpet/net/http_message.h"

namespace limpet {

/// Thrown if a server cannot listen on an address, e.g. because the port is in use.
class ListenError : public Error {
 public:
  using Error::Error;
};

/// Shows whether the connection on which a request arrived is still open.
class ConnectionWatch {
 public:
  /// `fd` is -1 if there is no connection to watch.
  explicit ConnectionWatch(int fd) : fd_(fd) {}

  /// Returns true once the other side has closed the connection or its sending direction.
  bool IsClosed() const;
  int fd() const { return fd_; }

 private:
  int fd_;
};

struct HttpServerOptions {
  std::string host = "127.0.0.1";
  int port = 0;
  /// Maximum number of handlers that run concurrently; each occupies a thread until it returns.
  int max_threads = 200;
  /// Larger request bodies get a response with status 413, and the connection is closed.
  size_t max_body_bytes = size_t{4} * 1024 * 1024;
  /// Larger headers get a response with status 431, and the connection is closed.
  size_t max_header_bytes = 4096;
  /// Limits on the memory and the connections of all callers together.
  edge::CallerMemoryLimits memory;
};

/// HTTP server with one handler for all paths. The handler is called concurrently on several
/// threads and may block. One event loop serves all connections (`edge::HttpSession`). A request
/// that is malformed or exceeds a limit is refused by `MakeNotAcceptedResponse` without calling the
/// handler.
class HttpServer {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest&, const ConnectionWatch&)>;

  /// Throws `ListenError`.
  HttpServer(const HttpServerOptions& options, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Stops accepting connections, waits for requests in progress and joins the threads.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Makes the refusal, with outcome `not_run`, of a request that the server does not accept. The
/// body is `reason`.
HttpResponse MakeNotAcceptedResponse(int status, const std::string& reason);

}  // namespace limpet

#endif  // LIMPET_NET_HTTP_SERVER_H_
