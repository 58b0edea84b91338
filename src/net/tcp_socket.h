#ifndef LIMPET_SRC_NET_TCP_SOCKET_H_
#define LIMPET_SRC_NET_TCP_SOCKET_H_

// This header is also compiled as C++17, see CMakeLists.txt.

#include <string>

namespace cxxtools::net {
class TcpSocket;
}

namespace limpet {

/// Returns true if a TCP connection can be established within `timeout_ms`. Never throws.
bool CanConnect(const std::string& host, int port, int timeout_ms);

/// Shuts down both directions of the connection, so that the peer receives no further byte.
void ShutDownSocket(const cxxtools::net::TcpSocket& socket);

}  // namespace limpet

#endif  // LIMPET_SRC_NET_TCP_SOCKET_H_
