#ifndef LIMPET_EDGE_LISTENER_H_
#define LIMPET_EDGE_LISTENER_H_

#include <functional>

#include "limpet/control/control_output.h"
#include "limpet/edge/asio.h"

namespace limpet::edge {

/// Accepts TCP connections at one address until it is destroyed.
class Listener {
 public:
  using Handler = std::function<void(TcpSocket)>;

  /// Throws `ListenError` if the address is not valid or in use.
  Listener(const Executor& executor, const PeerAddress& address, Handler on_connection);

 private:
  void Accept();
  void LogFailure(const ErrorCode& error);

  Executor executor_;
  TcpAcceptor acceptor_;
  Timer retry_timer_;
  Handler on_connection_;
  TimePoint last_failure_log_{};
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_LISTENER_H_
