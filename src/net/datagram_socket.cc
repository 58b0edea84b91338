#include "limpet/net/datagram_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

#include "limpet/net/http_server.h"

namespace limpet {

namespace {

/// Returns false if `host` is not a numeric IPv4 address.
bool FillAddress(const std::string& host, int port, sockaddr_in& address) {
  address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  return inet_pton(AF_INET, host.c_str(), &address.sin_addr) == 1;
}

}  // namespace

DatagramSocket::DatagramSocket(const std::string& host, int port) {
  sockaddr_in address;
  const std::string address_text = host + ":" + std::to_string(port) + "/udp";
  if (!FillAddress(host, port, address)) {
    throw ListenError("cannot listen on " + address_text + ": not a numeric IPv4 address");
  }
  fd_ = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ < 0 || ::bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    const std::string reason = std::strerror(errno);
    if (fd_ >= 0) {
      ::close(fd_);
    }
    throw ListenError("cannot listen on " + address_text + ": " + reason);
  }
}

DatagramSocket::~DatagramSocket() {
  ::close(fd_);
}

bool DatagramSocket::Send(const PeerAddress& to, std::string_view bytes) {
  sockaddr_in address;
  if (!FillAddress(to.host, to.port, address)) {
    return false;
  }
  return ::sendto(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL,
                  reinterpret_cast<sockaddr*>(&address),
                  sizeof address) == static_cast<ssize_t>(bytes.size());
}

std::optional<std::string> DatagramSocket::Receive() {
  std::array<char, 2048> buffer;
  const ssize_t count = ::recv(fd_, buffer.data(), buffer.size(), 0);
  if (count < 0) {
    return std::nullopt;
  }
  return std::string(buffer.data(), static_cast<size_t>(count));
}

}  // namespace limpet
