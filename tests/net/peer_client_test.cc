#include <doctest/doctest.h>

#include <chrono>
#include <thread>

#include "limpet/net/clock.h"
#include "limpet/net/peer_client.h"
#include "limpet/net/peer_server.h"
#include "net/loopback.h"

namespace limpet {
namespace {

class EchoHandler : public PeerHandler {
 public:
  wire::CallReply OnCall(const wire::CallRequest& request,
                         const ConnectionWatch& /*watch*/) override {
    wire::CallReply reply;
    reply.attempt_id = request.attempt_id;
    return reply;
  }
  void OnDeliver(const wire::Envelope& /*envelope*/) override {}
};

/// A client with one idle connection to a server.
struct IdleConnection {
  IdleConnection()
      : address{"127.0.0.1", FreePort()}, server({"127.0.0.1", address.port}, handler) {
    wire::CallRequest request;
    request.attempt_id = "a";
    REQUIRE(
        client.Call(address, request, std::chrono::seconds(5), ConnectionWatch(-1)).attempt_id ==
        "a");
  }

  /// Waits for at most 5 s. Returns true if the server has no open connection.
  bool WaitUntilClosed() const {
    for (int i = 0; i < 500 && server.connections() > 0; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return server.connections() == 0;
  }

  EchoHandler handler;
  PeerAddress address;
  PeerServer server;
  PeerClient client{4};
};

TEST_CASE("idle connections to a node that is no longer listed are closed") {
  IdleConnection idle;
  idle.client.CloseAllExcept({idle.address});
  CHECK(idle.server.connections() == 1);
  idle.client.CloseAllExcept({});
  CHECK(idle.WaitUntilClosed());
}

TEST_CASE(
    "connections opened during a burst are closed when idle, as the other node limits "
    "connections") {
  IdleConnection idle;
  idle.client.CloseIdle(MonotonicNow());
  CHECK(idle.server.connections() == 1);
  idle.client.CloseIdle(MonotonicNow() + PeerClient::kMaxIdle);
  CHECK(idle.WaitUntilClosed());
}

}  // namespace
}  // namespace limpet
