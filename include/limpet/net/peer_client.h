#ifndef LIMPET_NET_PEER_CLIENT_H_
#define LIMPET_NET_PEER_CLIENT_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "limpet/control/control_output.h"
#include "limpet/core/enum_names.h"
#include "limpet/core/error.h"
#include "limpet/core/time.h"
#include "limpet/net/http_server.h"
#include "limpet_types.h"

namespace limpet {

enum class PeerFailure {
  kNotConnected,    // no byte of the request was sent
  kConnectionLost,  // the peer may have received the request
  kTimeout,
  kCallerClosed,  // the caller disconnected; the connection was closed to cancel the call
};

inline constexpr EnumNames<PeerFailure, 4> kPeerFailureNames = {{
    {PeerFailure::kNotConnected, "not_connected"},
    {PeerFailure::kConnectionLost, "connection_lost"},
    {PeerFailure::kTimeout, "timeout"},
    {PeerFailure::kCallerClosed, "caller_closed"},
}};

class PeerError : public Error {
 public:
  PeerError(PeerFailure failure, const std::string& detail);

  PeerFailure failure() const { return failure_; }

 private:
  PeerFailure failure_;
};

/// Calls the Thrift service `Peer` of other nodes and reuses connections. Safe for concurrent use.
class PeerClient {
 public:
  /// `max_idle_per_peer` is the largest number of idle connections to one peer that are kept open.
  /// A call that finds no idle connection opens a new one.
  explicit PeerClient(size_t max_idle_per_peer = 64);
  ~PeerClient();

  /// Blocks until the reply is received, `timeout` has passed or `caller` disconnects. The
  /// connection is reused only after a complete reply. Throws `PeerError`.
  wire::CallReply Call(const PeerAddress& to,
                       const wire::CallRequest& request,
                       Duration timeout,
                       const ConnectionWatch& caller);

  /// Sends a message that is too large for a datagram. Does not wait for a reply. Throws
  /// `PeerError`.
  void Deliver(const PeerAddress& to, const wire::Envelope& envelope, Duration timeout);

  /// Closes the idle connections to all peers that are not in `peers`.
  void CloseAllExcept(std::vector<PeerAddress> peers);

  /// Closes connections that have been idle for `kMaxIdle` or longer. A node accepts 130
  /// connections from all its callers together; connections that stay open after a burst would use
  /// up this limit.
  void CloseIdle(TimePoint now);

  static constexpr Duration kMaxIdle = std::chrono::seconds(10);

 private:
  class Connection;

  std::unique_ptr<Connection> AcquireConnection(const PeerAddress& to, Duration timeout);
  void ReleaseConnection(const PeerAddress& to, std::unique_ptr<Connection> connection);

  const size_t max_idle_per_peer_;
  std::mutex mutex_;
  std::map<PeerAddress, std::vector<std::unique_ptr<Connection>>> idle_connections_;
};

}  // namespace limpet

#endif  // LIMPET_NET_PEER_CLIENT_H_
