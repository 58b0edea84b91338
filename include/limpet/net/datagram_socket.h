#ifndef LIMPET_NET_DATAGRAM_SOCKET_H_
#define LIMPET_NET_DATAGRAM_SOCKET_H_

#include <optional>
#include <string>
#include <string_view>

#include "limpet/control/control_output.h"

namespace limpet {

/// Largest envelope that is sent as a datagram, in bytes; stays under the usual MTU.
inline constexpr size_t kMaxDatagramBytes = 1200;

/// Non-blocking UDP socket for envelopes. Used by one thread.
class DatagramSocket {
 public:
  /// Throws `ListenError`, e.g. when the port is in use.
  DatagramSocket(const std::string& host, int port);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;

  /// False if the datagram was not handed to the network; datagrams may be lost anyway. The address
  /// has to be numeric.
  bool Send(const PeerAddress& to, std::string_view bytes);

  /// Nothing if no datagram is waiting.
  std::optional<std::string> Receive();

  int fd() const { return fd_; }

 private:
  int fd_ = -1;
};

}  // namespace limpet

#endif  // LIMPET_NET_DATAGRAM_SOCKET_H_
