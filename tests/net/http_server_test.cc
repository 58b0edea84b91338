#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>

#include "limpet/net/http_server.h"
#include "net/loopback.h"

namespace limpet {
namespace {

constexpr std::size_t kMaxBodyBytes = 1000;

/// Sends bytes on a raw socket and returns everything received until the server closes the
/// connection.
std::string SendRaw(int port, const std::string& bytes) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  REQUIRE(::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
  ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  std::string response;
  std::array<char, 4096> buffer{};
  for (ssize_t count = 1; count > 0;) {
    count = ::recv(fd, buffer.data(), buffer.size(), 0);
    response.append(buffer.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
  }
  ::close(fd);
  return response;
}

/// A server that records whether a request reached its handler.
struct ServerFixture {
  ServerFixture()
      : port(FreePort()),
        server(MakeOptions(port), [this](const HttpRequest&, const ConnectionWatch&) {
          handler_called = true;
          return TextResponse(200, "handled");
        }) {}

  static HttpServerOptions MakeOptions(int port) {
    HttpServerOptions options;
    options.host = "127.0.0.1";
    options.port = port;
    options.max_body_bytes = kMaxBodyBytes;
    return options;
  }

  int port;
  bool handler_called = false;
  HttpServer server;
};

TEST_CASE("a body over the limit is refused with 413 and does not reach the handler") {
  ServerFixture server;
  const std::string response =
      SendRaw(server.port, "POST / HTTP/1.1\r\nConnection: close\r\nContent-Length: 5000\r\n\r\n" +
                               std::string(5000, 'x'));
  CHECK(response.starts_with("HTTP/1.1 413"));
  CHECK(response.find("X-Limpet-Outcome: not_run") != std::string::npos);
  CHECK_FALSE(server.handler_called);
}

TEST_CASE("headers over the limit are refused and do not reach the handler") {
  ServerFixture server;
  const std::string response = SendRaw(
      server.port,
      "GET / HTTP/1.1\r\nConnection: close\r\nX-Long: " + std::string(5000, 'x') + "\r\n\r\n");
  CHECK(response.starts_with("HTTP/1.1 4"));
  CHECK_FALSE(server.handler_called);
}

}  // namespace
}  // namespace limpet
