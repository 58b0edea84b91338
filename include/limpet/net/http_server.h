#ifndef LIMPET_NET_HTTP_SERVER_H_
#define LIMPET_NET_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "limpet/core/error.h"
#include "limpet/net/http_message.h"

namespace limpet {

/// An address that cannot be listened on, e.g. a port in use.
class ListenError : public Error {
 public:
  using Error::Error;
};

/// The connection that a request came on.
class ConnectionWatch {
 public:
  /// `fd` is -1 when there is no connection to watch.
  explicit ConnectionWatch(int fd) : fd_(fd) {}

  /// True once the peer has closed the connection or its sending half.
  bool IsClosed() const;
  int fd() const { return fd_; }

 private:
  int fd_;
};

struct HttpServerOptions {
  std::string host = "127.0.0.1";
  int port = 0;
  /// Handlers that run at once; a thread is taken for the whole time of a handler.
  int max_threads = 200;
  /// Larger request bodies are answered with 413 and the connection is closed.
  size_t max_body_bytes = size_t{4} * 1024 * 1024;
  /// Larger headers are answered with 431 and the connection is closed.
  size_t max_header_bytes = 4096;
};

/// HTTP server with one handler for all paths; the handler is called on several threads at once and
/// may block. Connections are served by one loop (`edge::HttpSession`). A request that is malformed
/// or over a limit gets a typed answer without reaching the handler; see `MakeNotAcceptedResponse`.
class HttpServer {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest&, const ConnectionWatch&)>;

  /// Throws `ListenError`.
  HttpServer(const HttpServerOptions& options, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Stops accepting and ends the threads; requests in progress end first.
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

/// Refusal of a request that the server could not take in: outcome `not_run`.
HttpResponse MakeNotAcceptedResponse(int status, const std::string& reason);

}  // namespace limpet

#endif  // LIMPET_NET_HTTP_SERVER_H_
