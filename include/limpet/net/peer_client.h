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
  kConnectionLost,  // the request may have arrived
  kTimeout,
  kCallerClosed,  // the caller gave up; the connection was closed to cancel the call
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

/// Calls the Thrift service `Peer` of other nodes over kept connections; safe for concurrent use.
class PeerClient {
 public:
  /// A call beyond the kept connections opens one of its own and closes it afterwards.
  explicit PeerClient(size_t max_kept_for_peer = 64);
  ~PeerClient();

  /// Blocks until the reply, `timeout`, or `caller` has closed its connection. A connection is kept
  /// only after a whole reply. Throws `PeerError`.
  wire::CallReply Call(const PeerAddress& to,
                       const wire::CallRequest& request,
                       Duration timeout,
                       const ConnectionWatch& caller);

  /// Sends a message that is too large for a datagram. Throws `PeerError`.
  void Deliver(const PeerAddress& to, const wire::Envelope& envelope, Duration timeout);

  /// Closes kept connections to peers that are not in `peers`.
  void KeepOnly(std::vector<PeerAddress> peers);

  /// Closes connections that have not been used for `kMaxIdle`. A node accepts 130 connections from
  /// all its callers together, so those left over from a burst must not stay.
  void CloseIdle(TimePoint now);

  static constexpr Duration kMaxIdle = std::chrono::seconds(10);

 private:
  class Connection;

  std::unique_ptr<Connection> AcquireConnection(const PeerAddress& to, Duration timeout);
  void ReleaseConnection(const PeerAddress& to, std::unique_ptr<Connection> connection);

  const size_t max_kept_for_peer_;
  std::mutex mutex_;
  std::map<PeerAddress, std::vector<std::unique_ptr<Connection>>> kept_;
};

}  // namespace limpet

#endif  // LIMPET_NET_PEER_CLIENT_H_
