#include "limpet/edge/asio.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace limpet::edge {

namespace {

/// Number of TCP keep-alive probes, one per second, without an acknowledgement after which the
/// kernel closes the connection.
constexpr int kKeepAliveProbes = 2;

void SetOption(TcpSocket& socket, int level, int name, int value) {
  // The result is ignored: without the option, a lost peer is only detected later.
  ::setsockopt(socket.native_handle(), level, name, &value, sizeof value);
}

}  // namespace

void SetConnectionOptions(TcpSocket& socket, Duration peer_timeout) {
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(peer_timeout).count();
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(peer_timeout).count();
  SetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE,
            std::max(1, static_cast<int>(seconds) - kKeepAliveProbes));
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(millis));
}

}  // namespace limpet::edge
