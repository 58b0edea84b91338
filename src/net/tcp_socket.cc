#include "net/tcp_socket.h"

#include <cxxtools/net/addrinfo.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/timespan.h>
#include <sys/socket.h>

#include <exception>

namespace limpet {

bool CanConnect(const std::string& host, int port, int timeout_ms) {
  try {
    cxxtools::net::TcpSocket socket;
    socket.setTimeout(cxxtools::Milliseconds(timeout_ms));
    socket.connect(host, static_cast<unsigned short>(port));
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

void ShutDownSocket(const cxxtools::net::TcpSocket& socket) {
  ::shutdown(socket.getFd(), SHUT_RDWR);
}

}  // namespace limpet
