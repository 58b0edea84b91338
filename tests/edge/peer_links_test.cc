#include "limpet/edge/peer_links.h"

#include <doctest/doctest.h>

#include <atomic>
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

/// The server's side of links, without a target.
struct Server {
  HttpHeaderNames header_names;
  Counters counters;
  TargetGate gate{TargetGateOptions{}};
  InboundProxy inbound;
  std::vector<std::string> silence_reports;
  LinkServer links;

  explicit Server(Fixture& fixture)
      : inbound(fixture.loop.executor(), header_names, gate, counters, {}, [] {}),
        links(inbound, MakeHooks(fixture), "a", {}, Random(1)) {}

  LinkServerHooks MakeHooks(Fixture& fixture) {
    LinkServerHooks hooks;
    hooks.make_hello = [&fixture](bool) { return fixture.MakeHello(); };
    hooks.on_node = [](const wire::NodeAddress&, int64_t) {};
    hooks.on_silence = [this](const std::string& node) { silence_reports.push_back(node); };
    hooks.on_peer_version = [](const std::string&, const std::string&, int64_t) {};
    hooks.config_version = [] { return int64_t{0}; };
    hooks.max_input_age = [] { return Duration(0); };
    hooks.store_unreachable = [] { return false; };
    return hooks;
  }
};

TEST_CASE_FIXTURE(Fixture,
                  "a peer without calls that sends keepalives is not reported as unresponsive") {
  Server server(*this);
  const auto listener = Listen([&](TcpSocket socket) { server.links.Accept(std::move(socket)); });
  ConnectLinks();
  TickFor(milliseconds(1800), &server.links);
  CHECK(observer.unresponsive_reports == 0);
  CHECK(observer.reachable);
  loop.Stop();
}

/// Accepts links and never sends anything but the handshake and, if wanted, a promise of
/// keepalives.
struct SilentPeer {
  std::vector<LinkPtr> links;
  std::unique_ptr<Listener> listener;
  std::atomic<int> probes{0};

  SilentPeer(Fixture& fixture, bool promises_keepalives) {
    listener = fixture.Listen([this, &fixture, promises_keepalives](TcpSocket socket) {
      const auto link = std::make_shared<Link>(std::move(socket));
      links.push_back(link);
      link->Start({[this](const wire::LinkMessage& message, const std::string&) {
                     probes += message.__isset.probe ? 1 : 0;
                   },
                   [](ErrorCode) {}, nullptr});
      wire::LinkMessage message;
      message.__isset.hello = true;
      message.hello = fixture.MakeHello();
      link->Send(message);
      if (promises_keepalives) {
        wire::LinkMessage promise;
        promise.__isset.keepalive = true;
        promise.keepalive.interval_ms = 400;
        link->Send(promise);
      }
    });
  }
};

// Guards against a failure after a power loss of a VM: each caller lost one call to the VM before
// it stopped using it.
TEST_CASE_FIXTURE(
    Fixture,
    "a peer that promised keepalives and sends nothing is reported without any pending call") {
  SilentPeer peer(*this, true);
  ConnectLinks();
  TickFor(milliseconds(1500), nullptr);
  CHECK(observer.unresponsive_reports > 0);
  loop.Stop();
}

// Keepalives go to a few nodes only; the others learn of a silence from these.
TEST_CASE_FIXTURE(Fixture, "a silence that another node reports is checked with a probe") {
  SilentPeer peer(*this, false);
  ConnectLinks();
  TickFor(milliseconds(1500), nullptr);
  CHECK(observer.unresponsive_reports == 0);
  CHECK(peer.probes == 0);
  loop.Run([this] { links->OnSilenceReport("server"); });
  TickFor(milliseconds(250), nullptr);
  CHECK(peer.probes == 1);
  CHECK(observer.unresponsive_reports > 0);
  loop.Stop();
}

TEST_CASE_FIXTURE(Fixture, "a false report of silence has no effect") {
  Server server(*this);
  const auto listener = Listen([&](TcpSocket socket) { server.links.Accept(std::move(socket)); });
  ConnectLinks();
  loop.Run([this] { links->OnSilenceReport("server"); });
  TickFor(milliseconds(600), &server.links);
  CHECK(observer.unresponsive_reports == 0);
  CHECK(observer.reachable);
  loop.Stop();
}

// Guards against a link that stays unusable for good because the reply to its handshake was lost on
// a connection that looks alive.
TEST_CASE_FIXTURE(Fixture, "a link without a reply to its handshake is opened again") {
  Server server(*this);
  std::vector<TcpSocket> silent;
  const auto listener = Listen([&](TcpSocket socket) {
    if (silent.empty()) {
      silent.push_back(std::move(socket));
    } else {
      server.links.Accept(std::move(socket));
    }
  });
  loop.Run([this] {
    links = std::make_unique<PeerLinks>(loop.executor(), PeerLinksOptions{{}, 2}, observer,
                                        counters, Random(1));
    links->Add(server_address);
  });
  TickFor(milliseconds(1000), &server.links);
  CHECK_FALSE(observer.reachable);
  TickFor(milliseconds(600), &server.links);
  CHECK(observer.reachable);
  loop.Stop();
}

// Many nodes: keepalives to all of them would grow with the square of their number.
TEST_CASE_FIXTURE(Fixture, "a node sends keepalives to a limited number of linked nodes") {
  Server server(*this);
  const auto listener = Listen([&](TcpSocket socket) { server.links.Accept(std::move(socket)); });
  constexpr int kNodes = 30;
  int promises = 0;
  std::vector<LinkPtr> clients;
  loop.Run([&] {
    for (int i = 0; i < kNodes; ++i) {
      TcpSocket socket(loop.executor());
      socket.connect(
          {asio::ip::make_address("127.0.0.1"), static_cast<uint16_t>(server_address.port)});
      const auto link = std::make_shared<Link>(std::move(socket));
      link->Start({[&promises](const wire::LinkMessage& message, const std::string&) {
                     promises += message.__isset.keepalive ? 1 : 0;
                   },
                   [](ErrorCode) {}, nullptr});
      wire::LinkMessage message;
      message.__isset.hello = true;
      message.hello.node.name = "node-" + std::to_string(i);
      message.hello.node.data_centre = i % 2 == 0 ? "a" : "b";
      message.hello.incarnation = i;
      link->Send(message);
      clients.push_back(link);
    }
  });
  for (int i = 0; i < 20; ++i) {
    loop.Run([&] { server.links.Tick(MonotonicNow()); });
    std::this_thread::sleep_for(milliseconds(20));
  }
  loop.Run([&] { CHECK(promises == 12); });
  loop.Stop();
}

// Guards against calls that are lost on a link to a process that no longer runs.
// Guards against two links to one node: the timer of a reconnect still runs when the node becomes
// known under another address, and the link that it opens replaces the first without closing it.
TEST_CASE_FIXTURE(Fixture, "a node with a new address gets one link") {
  Server server(*this);
  const auto earlier = Listen([&](TcpSocket socket) { server.links.Accept(std::move(socket)); });
  ConnectLinks();
  server_address.port = FreePort();
  std::atomic<int> accepted{0};
  const auto later = Listen([&](TcpSocket socket) {
    ++accepted;
    server.links.Accept(std::move(socket));
  });
  loop.Run([this] { links->Add(server_address); });
  TickFor(milliseconds(500), &server.links);
  CHECK(accepted == 1);
  loop.Stop();
}

TEST_CASE_FIXTURE(Fixture, "the link to an earlier process of a node is replaced") {
  SilentPeer peer(*this, false);
  ConnectLinks();
  loop.Run([this] {
    links->OnIncarnation("server", MakeHello().incarnation);
    CHECK(links->CountReachable() == 1);
    links->OnIncarnation("server", MakeHello().incarnation + 1);
    CHECK(links->CountReachable() == 0);
  });
  TickFor(milliseconds(400), nullptr);
  CHECK(loop.Run([this] { return links->CountReachable(); }) == 1);
  CHECK(peer.links.size() == 2);
  loop.Stop();
}

}  // namespace
}  // namespace limpet::edge
