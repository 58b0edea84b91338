#ifndef LIMPET_SRC_NET_TCP_SOCKET_H_
#define LIMPET_SRC_NET_TCP_SOCKET_H_

// This header is also compiled as C++17, see CMakeLists.txt.

namespace cxxtools::net {
class TcpSocket;
}

namespace limpet {

/// Shuts down both directions of the connection, so that the peer receives no further byte.
void ShutDownSocket(const cxxtools::net::TcpSocket& socket);

}  // namespace limpet

#endif  // LIMPET_SRC_NET_TCP_SOCKET_H_
