#include "net/tcp_socket.h"

#include <cxxtools/net/tcpsocket.h>
#include <sys/socket.h>

namespace limpet {

void ShutDownSocket(const cxxtools::net::TcpSocket& socket) {
  ::shutdown(socket.getFd(), SHUT_RDWR);
}

}  // namespace limpet
