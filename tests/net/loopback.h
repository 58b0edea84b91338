#ifndef LIMPET_TESTS_NET_LOOPBACK_H_
#define LIMPET_TESTS_NET_LOOPBACK_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>

namespace limpet {

/// Listening TCP socket on a free loopback port.
class LoopbackListener {
 public:
  explicit LoopbackListener(int backlog = 8)
      : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    ::bind(fd_, reinterpret_cast<sockaddr*>(&address), size);
    ::listen(fd_, backlog);
    ::getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
  }
  ~LoopbackListener() { ::close(fd_); }
  LoopbackListener(const LoopbackListener&) = delete;
  LoopbackListener& operator=(const LoopbackListener&) = delete;

  int port() const { return port_; }
  int fd() const { return fd_; }

 private:
  int fd_;
  int port_ = 0;
};

/// Starts to connect to a loopback port without waiting until the connection is established.
class LoopbackConnection {
 public:
  explicit LoopbackConnection(int port)
      : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(port));
    ::connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  }
  ~LoopbackConnection() { ::close(fd_); }
  LoopbackConnection(const LoopbackConnection&) = delete;
  LoopbackConnection& operator=(const LoopbackConnection&) = delete;

 private:
  int fd_;
};

/// Returns a loopback port that is free at the time of the call, each time another one. The port is
/// below the range from which the kernel takes the local ports of connections: another test process
/// could otherwise get it before the caller listens on it.
inline int FreePort() {
  constexpr int kFirst = 12000;
  constexpr int kCount = 20000;
  static std::mutex mutex;
  static std::set<int> returned;
  static std::random_device device;
  const std::lock_guard lock(mutex);
  for (;;) {
    const int port = kFirst + static_cast<int>(device() % kCount);
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(port));
    const bool is_free = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    ::close(fd);
    if (is_free && returned.insert(port).second) {
      return port;
    }
  }
}

/// Server that sends fixed bytes, which need not be valid HTTP. Accepts one connection at a time,
/// reads up to the end of the request's headers, sends the bytes and closes the connection.
class RawServer {
 public:
  explicit RawServer(std::string response)
      : response_(std::move(response)), thread_([this] { Serve(); }) {}
  ~RawServer() {
    ::shutdown(listener_.fd(), SHUT_RDWR);
    thread_.join();
  }

  int port() const { return listener_.port(); }

 private:
  void Serve() {
    for (;;) {
      const int fd = ::accept(listener_.fd(), nullptr, nullptr);
      if (fd < 0) {
        return;
      }
      std::string request;
      char buffer[4096];
      ssize_t size = 0;
      while (request.find("\r\n\r\n") == std::string::npos &&
             (size = ::read(fd, buffer, sizeof(buffer))) > 0) {
        request.append(buffer, static_cast<std::size_t>(size));
      }
      ::send(fd, response_.data(), response_.size(), MSG_NOSIGNAL);
      ::shutdown(fd, SHUT_WR);
      // Closing a socket with unread bytes resets the connection, so everything is read first.
      while (::read(fd, buffer, sizeof(buffer)) > 0) {
      }
      ::close(fd);
    }
  }

  LoopbackListener listener_;
  std::string response_;
  std::thread thread_;
};

}  // namespace limpet

#endif  // LIMPET_TESTS_NET_LOOPBACK_H_
