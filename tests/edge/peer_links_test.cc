#include "limpet/edge/peer_links.h"

#include <doctest/doctest.h>

#include <chrono>

#include "edge/loop_thread.h"
#include "limpet/edge/link_server.h"
#include "limpet/net/clock.h"
#include "net/loopback.h"

namespace limpet::edge {
namespace {

using std::chrono::milliseconds;

class RecordingObserver final : public PeerLinksObserver {
 public:
  void OnPeerStatus(const wire::NodeAddress&, const wire::TargetStatus&) override {}
  void OnPeerReachable(const std::string&, bool reachable) override { this->reachable = reachable; }
  void OnPeerUnresponsive(const std::string&) override { ++unresponsive_reports; }
  void OnPeerVersion(const wire::NodeAddress&, int64_t, bool) override {}
  void OnPeerConfig(const std::string&, const wire::LinkConfig&) override {}
  void OnPeerAddresses(const std::vector<wire::NodeAddress>&) override {}

  bool reachable = false;
  int unresponsive_reports = 0;
};

/// A client node that opens a link to a server; no calls are sent.
struct Fixture {
  LoopThread loop;
  Counters counters;
  wire::NodeAddress server_address;
  RecordingObserver observer;
  std::unique_ptr<PeerLinks> links;

  Fixture() {
    server_address.name = "server";
    server_address.host = "127.0.0.1";
    server_address.port = FreePort();
  }
  ~Fixture() {
    loop.Stop();
    links.reset();
  }
  wire::LinkHello MakeHello() const {
    wire::LinkHello hello;
    hello.node = server_address;
    hello.incarnation = 1;
    return hello;
  }
  std::unique_ptr<Listener> Listen(std::function<void(TcpSocket)> accept) {
    return loop.Run([&] {
      return std::make_unique<Listener>(
          loop.executor(), PeerAddress{"127.0.0.1", server_address.port}, std::move(accept));
    });
  }
  void ConnectLinks() {
    loop.Run([this] {
      wire::NodeAddress self;
      self.name = "client";
      self.host = "127.0.0.1";
      self.port = FreePort();
      links = std::make_unique<PeerLinks>(loop.executor(), PeerLinksOptions{self, 2}, observer,
                                          counters, Random(1));
      links->Add(server_address);
    });
    while (!loop.Run([this] { return observer.reachable; })) {
      std::this_thread::sleep_for(milliseconds(5));
    }
  }
  void TickFor(Duration time, LinkServer* server) {
    const TimePoint end = MonotonicNow() + time;
    while (MonotonicNow() < end) {
      loop.Run([&] {
        if (server != nullptr) {
          server->Tick(MonotonicNow());
        }
        links->Tick();
      });
      std::this_thread::sleep_for(milliseconds(20));
    }
  }
};

TEST_CASE_FIXTURE(Fixture,
                  "a peer without calls that sends keepalives is not reported as unresponsive") {
  HttpHeaderNames header_names;
  TargetGate gate{TargetGateOptions{}};
  InboundProxy inbound(loop.executor(), header_names, gate, counters, {}, [] {});
  LinkServerHooks hooks;
  hooks.make_hello = [this] { return MakeHello(); };
  hooks.on_node = [](const wire::NodeAddress&) {};
  hooks.on_peer_version = [](const std::string&, int64_t) {};
  hooks.config_version = [] { return int64_t{0}; };
  hooks.store_unreachable = [] { return false; };
  LinkServer server(inbound, std::move(hooks), {});
  const auto listener = Listen([&](TcpSocket socket) { server.Accept(std::move(socket)); });
  ConnectLinks();
  TickFor(milliseconds(1800), &server);
  CHECK(observer.unresponsive_reports == 0);
  CHECK(observer.reachable);
  loop.Stop();
}

// Guards against a failure after a power loss of a VM: each caller lost one call to the VM before
// it stopped using it.
TEST_CASE_FIXTURE(
    Fixture,
    "a peer that sends nothing is reported as unresponsive without any pending call") {
  LinkPtr peer_link;
  const auto listener = Listen([&](TcpSocket socket) {
    peer_link = std::make_shared<Link>(std::move(socket));
    peer_link->Start({[](wire::LinkMessage, std::string) {}, [](ErrorCode) {}, nullptr});
    wire::LinkMessage message;
    message.__isset.hello = true;
    message.hello = MakeHello();
    peer_link->Send(message);
  });
  ConnectLinks();
  TickFor(milliseconds(1400), nullptr);
  CHECK(observer.unresponsive_reports > 0);
  loop.Stop();
}

}  // namespace
}  // namespace limpet::edge
