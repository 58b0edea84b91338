#ifndef LIMPET_TESTS_NET_SCRIPTED_HTTP_SERVER_H_
#define LIMPET_TESTS_NET_SCRIPTED_HTTP_SERVER_H_

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace limpet {

/// Scripted HTTP server on a raw socket. It calls the script with the number of the request on its
/// connection, from 0, and sends the bytes that the script returns, which may be none. It then
/// closes the connection if `Response::close` is set.
class ScriptedHttpServer {
 public:
  struct Response {
    std::string bytes;
    bool close = true;
    /// Ends the connection with a reset.
    bool reset = false;
  };
  using Script = std::function<Response(int)>;

  explicit ScriptedHttpServer(Script script) : script_(std::move(script)) {
    listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ::bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address);
    ::listen(listener_, 16);
    socklen_t size = sizeof address;
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this] { Accept(); });
  }

  ~ScriptedHttpServer() {
    ::shutdown(listener_, SHUT_RDWR);
    thread_.join();
    {
      const std::lock_guard lock(mutex_);
      for (const int fd : connections_) {
        ::shutdown(fd, SHUT_RDWR);
      }
    }
    for (auto& thread : threads_) {
      thread.join();
    }
    for (const int fd : connections_) {
      ::close(fd);
    }
    ::close(listener_);
  }

  int port() const { return port_; }
  /// Number of requests received on all connections.
  int requests_received() const { return requests_received_; }
  /// Number of connections that the client has closed.
  int closed_by_client() const { return closed_by_client_; }

 private:
  void Accept() {
    for (int fd = ::accept(listener_, nullptr, nullptr); fd >= 0;
         fd = ::accept(listener_, nullptr, nullptr)) {
      const std::lock_guard lock(mutex_);
      connections_.push_back(fd);
      threads_.emplace_back([this, fd] { Serve(fd); });
    }
  }

  void Serve(int fd) {
    for (int number = 0; ReadRequest(fd); ++number) {
      ++requests_received_;
      const Response response = script_(number);
      ::send(fd, response.bytes.data(), response.bytes.size(), MSG_NOSIGNAL);
      if (response.reset) {
        // The client reads the bytes before the reset discards them.
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
        const linger at_once{1, 0};
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        // Disconnecting resets the connection and leaves the descriptor to the destructor.
        sockaddr none{};
        none.sa_family = AF_UNSPEC;
        ::connect(fd, &none, sizeof none);
        return;
      }
      if (response.close) {
        ::shutdown(fd, SHUT_RDWR);
        return;
      }
    }
    ++closed_by_client_;
  }

  /// Reads one request: a POST with a body of 4 bytes, or another method without a body. Returns
  /// false if the connection is closed before that.
  bool ReadRequest(int fd) {
    std::string text;
    char buffer[4096];
    for (;;) {
      const ssize_t count = ::recv(fd, buffer, sizeof buffer, 0);
      if (count <= 0) {
        return false;
      }
      text.append(buffer, static_cast<size_t>(count));
      const size_t end = text.find("\r\n\r\n");
      const size_t body = text.starts_with("POST") ? 4 : 0;
      if (end != std::string::npos && text.size() >= end + 4 + body) {
        return true;
      }
    }
  }

  Script script_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<int> requests_received_{0};
  std::atomic<int> closed_by_client_{0};
  std::mutex mutex_;
  std::vector<int> connections_;
  std::vector<std::thread> threads_;
  std::thread thread_;
};

}  // namespace limpet

#endif  // LIMPET_TESTS_NET_SCRIPTED_HTTP_SERVER_H_
