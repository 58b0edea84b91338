#ifndef LIMPET_NET_DATAGRAM_SOCKET_H_
#define LIMPET_NET_DATAGRAM_SOCKET_H_

#include <optional>
#include <string>
#include <string_view>

#include "limpet/control/control_output.h"

namespace limpet {

/// Largest envelope that is sent as a datagram, in bytes; below the usual MTU.
inline constexpr size_t kMaxDatagramBytes = 1200;

/// Non-blocking UDP socket for envelopes. Not safe for concurrent use.
class DatagramSocket {
 public:
  /// Throws `ListenError`, e.g. if the port is in use or `host` is not a numeric IPv4 address.
  DatagramSocket(const std::string& host, int port);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  /// Returns false if the system did not accept the datagram or if `to.host` is not a numeric IPv4
  /// address. An accepted datagram can still be lost in the network.
  bool Send(const PeerAddress& to, std::string_view bytes);

  /// Returns no value if no datagram is waiting.
  std::optional<std::string> Receive();

  int fd() const { return fd_; }

 private:
  int fd_ = -1;
};

}  // namespace limpet

#endif  // LIMPET_NET_DATAGRAM_SOCKET_H_
