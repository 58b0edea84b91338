#ifndef LIMPET_TESTS_EDGE_RAW_CLIENT_H_
#define LIMPET_TESTS_EDGE_RAW_CLIENT_H_

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <string>
#include <string_view>
#include <utility>

namespace limpet {

/// Blocking TCP client that sends the given bytes unchanged. Reads time out after five seconds.
class RawClient {
 public:
  explicit RawClient(int port) : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const timeval timeout{5, 0};
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<uint16_t>(port));
    connected_ = ::connect(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
  }
  ~RawClient() { Close(); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  bool connected() const { return connected_; }
  void Send(std::string_view bytes) { ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL); }
  void Close() {
    if (fd_ >= 0) {
      ::close(fd_);
      fd_ = -1;
    }
  }
  /// Returns one response with a Content-Length, headers and body; what was received so far if the
  /// connection is closed or the read times out.
  std::string ReadResponse() {
    while (true) {
      const std::size_t end = read_ahead_.find("\r\n\r\n");
      const std::size_t size = end == std::string::npos ? 0 : end + 4 + BodyLength(read_ahead_);
      if (size > 0 && read_ahead_.size() >= size) {
        std::string response = read_ahead_.substr(0, size);
        read_ahead_.erase(0, size);
        return response;
      }
      if (!ReadSome(read_ahead_)) {
        return std::exchange(read_ahead_, {});
      }
    }
  }
  /// Returns everything until the peer closes the connection or a read times out.
  std::string ReadAll() {
    std::string text = std::exchange(read_ahead_, {});
    while (ReadSome(text)) {
    }
    return text;
  }

 private:
  static std::size_t BodyLength(const std::string& text) {
    const std::size_t field = text.find("Content-Length: ");
    return field == std::string::npos ? 0 : std::stoul(text.substr(field + 16));
  }
  bool ReadSome(std::string& text) {
    char buffer[4096];
    const ssize_t count = ::recv(fd_, buffer, sizeof buffer, 0);
    if (count <= 0) {
      return false;
    }
    text.append(buffer, static_cast<std::size_t>(count));
    return true;
  }

  int fd_;
  bool connected_ = false;
  /// Received bytes after the last returned response.
  std::string read_ahead_;
};

}  // namespace limpet

#endif  // LIMPET_TESTS_EDGE_RAW_CLIENT_H_
