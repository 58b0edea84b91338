#include "limpet/net/peer_client.h"

#include <poll.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "Peer.h"
#include "limpet/net/clock.h"

namespace limpet {

namespace {

using apache::thrift::protocol::TCompactProtocol;
using apache::thrift::transport::TFramedTransport;
using apache::thrift::transport::TSocket;

int ToMilliseconds(Duration duration) {
  // At least 1, because Thrift treats 0 as no timeout.
  return static_cast<int>(std::max<int64_t>(1, (duration.count() + 999) / 1000));
}

/// Within a data centre, establishing a connection takes about 1 ms.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);

}  // namespace

PeerError::PeerError(PeerFailure failure, const std::string& detail)
    : Error(std::string(EnumName(kPeerFailureNames, failure)) + ": " + detail), failure_(failure) {}

class PeerClient::Connection {
 public:
  Connection(const PeerAddress& to, Duration timeout)
      : socket_(std::make_shared<TSocket>(to.host, to.port)),
        client_(std::make_shared<TCompactProtocol>(std::make_shared<TFramedTransport>(socket_))) {
    try {
      socket_->setConnTimeout(ToMilliseconds(std::min(timeout, kConnectTimeout)));
      socket_->open();
    } catch (const std::exception& error) {
      throw PeerError(PeerFailure::kNotConnected, error.what());
    }
  }

  TimePoint last_used() const { return last_used_; }
  void set_last_used(TimePoint now) { last_used_ = now; }

  /// Returns true if the peer has closed the connection, as it does when it stops. Between requests
  /// a peer sends nothing, so a readable connection has been closed.
  bool IsStale() const {
    pollfd entry{socket_->getSocketFD(), POLLIN | POLLRDHUP, 0};
    return ::poll(&entry, 1, 0) != 0;
  }

  wire::CallReply Call(const wire::CallRequest& request,
                       Duration timeout,
                       const ConnectionWatch& caller) {
    const TimePoint end = MonotonicNow() + timeout;
    try {
      SetTimeout(timeout);
      client_.send_call(request);
      WaitForReply(end, caller);
      SetTimeout(end - MonotonicNow());
      wire::CallReply reply;
      client_.recv_call(reply);
      return reply;
    } catch (const PeerError&) {
      throw;
    } catch (const std::exception& error) {
      throw PeerError(MonotonicNow() >= end ? PeerFailure::kTimeout : PeerFailure::kConnectionLost,
                      error.what());
    }
  }

  void Deliver(const wire::Envelope& envelope, Duration timeout) {
    try {
      SetTimeout(timeout);
      client_.send_deliver(envelope);
    } catch (const std::exception& error) {
      throw PeerError(PeerFailure::kConnectionLost, error.what());
    }
  }

 private:
  void SetTimeout(Duration timeout) {
    socket_->setSendTimeout(ToMilliseconds(timeout));
    socket_->setRecvTimeout(ToMilliseconds(timeout));
  }

  void WaitForReply(TimePoint end, const ConnectionWatch& caller) {
    // poll() ignores a negative descriptor, so a call without a caller's connection needs no
    // special case.
    std::array<pollfd, 2> entries = {
        {{socket_->getSocketFD(), POLLIN, 0}, {caller.fd(), POLLRDHUP, 0}}};
    for (;;) {
      const Duration remaining = end - MonotonicNow();
      if (remaining <= Duration(0)) {
        throw PeerError(PeerFailure::kTimeout, "no reply within the timeout of the attempt");
      }
      const int ready = ::poll(entries.data(), entries.size(), ToMilliseconds(remaining));
      if (ready < 0 && errno != EINTR) {
        throw PeerError(PeerFailure::kConnectionLost, "poll() on the connection failed");
      }
      if (ready > 0 && entries[0].revents != 0) {
        return;
      }
      if (ready > 0 && entries[1].revents != 0) {
        throw PeerError(PeerFailure::kCallerClosed, "the caller closed its connection");
      }
    }
  }

  std::shared_ptr<TSocket> socket_;
  wire::PeerClient client_;
  TimePoint last_used_{};
};

PeerClient::PeerClient(size_t max_idle_per_peer) : max_idle_per_peer_(max_idle_per_peer) {}

PeerClient::~PeerClient() = default;

wire::CallReply PeerClient::Call(const PeerAddress& to,
                                 const wire::CallRequest& request,
                                 Duration timeout,
                                 const ConnectionWatch& caller) {
  auto connection = AcquireConnection(to, timeout);
  wire::CallReply reply = connection->Call(request, timeout, caller);
  ReleaseConnection(to, std::move(connection));
  return reply;
}

void PeerClient::Deliver(const PeerAddress& to, const wire::Envelope& envelope, Duration timeout) {
  auto connection = AcquireConnection(to, timeout);
  connection->Deliver(envelope, timeout);
  ReleaseConnection(to, std::move(connection));
}

void PeerClient::CloseAllExcept(std::vector<PeerAddress> peers) {
  std::sort(peers.begin(), peers.end());
  const std::lock_guard lock(mutex_);
  std::erase_if(idle_connections_, [&](const auto& entry) {
    return !std::binary_search(peers.begin(), peers.end(), entry.first);
  });
}

void PeerClient::CloseIdle(TimePoint now) {
  const std::lock_guard lock(mutex_);
  for (auto& [peer, connections] : idle_connections_) {
    std::erase_if(connections, [now](const std::unique_ptr<Connection>& connection) {
      return now - connection->last_used() >= kMaxIdle;
    });
  }
}

std::unique_ptr<PeerClient::Connection> PeerClient::AcquireConnection(const PeerAddress& to,
                                                                      Duration timeout) {
  {
    const std::lock_guard lock(mutex_);
    auto& connections = idle_connections_[to];
    while (!connections.empty()) {
      auto connection = std::move(connections.back());
      connections.pop_back();
      if (!connection->IsStale()) {
        return connection;
      }
    }
  }
  return std::make_unique<Connection>(to, timeout);
}

void PeerClient::ReleaseConnection(const PeerAddress& to, std::unique_ptr<Connection> connection) {
  connection->set_last_used(MonotonicNow());
  const std::lock_guard lock(mutex_);
  auto& connections = idle_connections_[to];
  if (connections.size() < max_idle_per_peer_) {
    connections.push_back(std::move(connection));
  }
}

}  // namespace limpet
