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

/// A client with one kept connection to a server.
struct KeptConnection {
  KeptConnection()
      : address{"127.0.0.1", FreePort()}, server({"127.0.0.1", address.port}, handler) {
    wire::CallRequest request;
    request.attempt_id = "a";
    REQUIRE(
        client.Call(address, request, std::chrono::seconds(5), ConnectionWatch(-1)).attempt_id ==
        "a");
  }

  bool IsClosedSoon() const {
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

TEST_CASE("connections to a node that has gone are closed") {
  KeptConnection kept;
  kept.client.CloseAllExcept({kept.address});
  CHECK(kept.server.connections() == 1);
  kept.client.CloseAllExcept({});
  CHECK(kept.IsClosedSoon());
}

TEST_CASE("connections left over from a burst do not use up the other node's connections") {
  KeptConnection kept;
  kept.client.CloseIdle(MonotonicNow());
  CHECK(kept.server.connections() == 1);
  kept.client.CloseIdle(MonotonicNow() + PeerClient::kMaxIdle);
  CHECK(kept.IsClosedSoon());
}

}  // namespace
}  // namespace limpet
