#ifndef LIMPET_NET_SOCKET_FD_H_
#define LIMPET_NET_SOCKET_FD_H_

namespace cxxtools::net {
class TcpSocket;
}

namespace limpet {

/// Descriptor of a connected socket. In a source of its own, built as C++17, because the header of
/// `TcpSocket` in cxxtools 3.0.0 does not compile as C++20.
int SocketFd(const cxxtools::net::TcpSocket& socket);

}  // namespace limpet

#endif  // LIMPET_NET_SOCKET_FD_H_
