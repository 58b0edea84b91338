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

int Milliseconds(Duration duration) {
  // At least 1, because Thrift takes 0 for no limit.
  return static_cast<int>(std::max<int64_t>(1, (duration.count() + 999) / 1000));
}

/// Longest connect; within a data centre a connection takes about 1 ms.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);

}  // namespace

PeerError::PeerError(PeerFailure failure, const std::string& detail)
    : Error(std::string(NameOf(kPeerFailureNames, failure)) + ": " + detail), failure_(failure) {}

class PeerClient::Connection {
 public:
  Connection(const PeerAddress& to, Duration timeout)
      : socket_(std::make_shared<TSocket>(to.host, to.port)),
        client_(std::make_shared<TCompactProtocol>(std::make_shared<TFramedTransport>(socket_))) {
    try {
      socket_->setConnTimeout(Milliseconds(std::min(timeout, kConnectTimeout)));
      socket_->open();
    } catch (const std::exception& error) {
      throw PeerError(PeerFailure::kNotConnected, error.what());
    }
  }

  TimePoint last_used() const { return last_used_; }
  void set_last_used(TimePoint now) { last_used_ = now; }

  /// A peer that stops closes its connections; anything readable before a request is the end.
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
      WaitReadable(end, caller);
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
    socket_->setSendTimeout(Milliseconds(timeout));
    socket_->setRecvTimeout(Milliseconds(timeout));
  }

  void WaitReadable(TimePoint end, const ConnectionWatch& caller) {
    // poll() ignores a negative descriptor, so a call without a caller's connection needs no case.
    std::array<pollfd, 2> entries = {
        {{socket_->getSocketFD(), POLLIN, 0}, {caller.fd(), POLLRDHUP, 0}}};
    for (;;) {
      const Duration left = end - MonotonicNow();
      if (left <= Duration(0)) {
        throw PeerError(PeerFailure::kTimeout, "no reply within the attempt's time");
      }
      const int ready = ::poll(entries.data(), entries.size(), Milliseconds(left));
      if (ready < 0 && errno != EINTR) {
        throw PeerError(PeerFailure::kConnectionLost, "poll failed");
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

PeerClient::PeerClient(size_t max_kept_for_peer) : max_kept_for_peer_(max_kept_for_peer) {}

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

void PeerClient::KeepOnly(std::vector<PeerAddress> peers) {
  std::sort(peers.begin(), peers.end());
  const std::lock_guard lock(mutex_);
  std::erase_if(kept_, [&](const auto& entry) {
    return !std::binary_search(peers.begin(), peers.end(), entry.first);
  });
}

void PeerClient::CloseIdle(TimePoint now) {
  const std::lock_guard lock(mutex_);
  for (auto& [peer, connections] : kept_) {
    std::erase_if(connections, [now](const std::unique_ptr<Connection>& connection) {
      return now - connection->last_used() >= kMaxIdle;
    });
  }
}

std::unique_ptr<PeerClient::Connection> PeerClient::AcquireConnection(const PeerAddress& to,
                                                                      Duration timeout) {
  {
    const std::lock_guard lock(mutex_);
    auto& connections = kept_[to];
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
  auto& connections = kept_[to];
  if (connections.size() < max_kept_for_peer_) {
    connections.push_back(std::move(connection));
  }
}

}  // namespace limpet
