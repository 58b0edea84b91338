#include "net/socket_fd.h"

#include <cxxtools/net/tcpsocket.h>

namespace limpet {

int SocketFd(const cxxtools::net::TcpSocket& socket) {
  return socket.getFd();
}

}  // namespace limpet
