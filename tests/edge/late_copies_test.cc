#include <doctest/doctest.h>

#include <array>
#include <boost/asio/ip/address.hpp>
#include <chrono>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "edge/holding_relay.h"
#include "limpet/edge/http_session.h"
#include "limpet/edge/link_server.h"
#include "limpet/edge/peer_links.h"
#include "limpet/net/clock.h"
#include "net/loopback.h"
#include "support/property.h"

namespace limpet::edge {
namespace {

using std::chrono::milliseconds;
using test::DrawInRange;

constexpr char kServer[] = "server";

/// Runs the event loop until nothing more happens.
void Settle(asio::io_context& context) {
  // Loopback delivers within microseconds; a few empty polls in a row show that all is done.
  for (int idle = 0; idle < 4;) {
    idle = context.poll() > 0 ? 0 : idle + 1;
    if (idle > 0) {
      std::this_thread::sleep_for(std::chrono::microseconds(100));
    }
  }
}

/// A target that keeps its requests until the test ends them, and counts how often each one ran.
class Target {
 public:
  /// `options` must outlive the connections of the event loop.
  Target(const Executor& executor, HttpSessionOptions& options)
      : options_(options),
        port_(FreePort()),
        listener_(executor, {"127.0.0.1", port_}, [this](TcpSocket socket) {
          HttpSession::Accept(std::move(socket), options_);
        }) {
    options_.on_request = [this](const HttpSessionPtr& session) {
      ++executions_[std::string(session->request().Header("X-Request-Id"))];
      bodies_.push_back(session->request().body);
      running_.push_back(session);
    };
    options_.limits = [] { return CallerLimits{}; };
    options_.is_closing = [] { return false; };
  }

  void FinishOldest() {
    if (running_.empty()) {
      return;
    }
    const HttpSessionPtr session = running_.front();
    running_.erase(running_.begin());
    HttpResponse response = TextResponse(200, "");
    response.headers.push_back(
        MakeHeader("X-Request-Id", session->request().Header("X-Request-Id")));
    session->Respond(std::move(response));
  }
  int port() const { return port_; }
  bool idle() const { return running_.empty(); }
  int executions(const std::string& request) const {
    const auto found = executions_.find(request);
    return found == executions_.end() ? 0 : found->second;
  }
  const std::vector<std::string>& bodies() const { return bodies_; }

 private:
  HttpSessionOptions& options_;
  int port_;
  Listener listener_;
  std::vector<HttpSessionPtr> running_;
  std::map<std::string, int> executions_;
  std::vector<std::string> bodies_;
};

struct ServerOptions {
  int slots = 1;
  /// False for a node of an earlier build, as far as its handshake tells.
  bool drops_earlier_links = true;
  TargetGateOptions gate;
};

/// The node beside the target.
class ServerNode {
 public:
  ServerNode(const Executor& executor,
             const ServerOptions& options,
             int port,
             int64_t incarnation,
             const Target& target)
      : gate_(options.gate),
        inbound_(executor, header_names_, gate_, counters_, {}, [] {}),
        links_(inbound_, MakeHooks(options, incarnation), "a", {}, Random(1)),
        listener_(executor, {"127.0.0.1", port}, [this](TcpSocket socket) {
          links_.Accept(std::move(socket));
        }) {
    TargetAnnouncement announcement;
    announcement.instance = "i-1";
    announcement.service = "desk";
    announcement.address = "127.0.0.1:" + std::to_string(target.port());
    announcement.slots = options.slots;
    inbound_.SetTarget(&announcement);
  }

  void Tick(TimePoint now) {
    inbound_.Tick();
    links_.Tick(now);
  }
  int CountLinks() const { return links_.CountLocalLinks(); }
  const std::vector<std::string>& reports() const { return reports_; }

 private:
  LinkServerHooks MakeHooks(const ServerOptions& options, int64_t incarnation) {
    LinkServerHooks hooks;
    hooks.make_hello = [incarnation, drops_earlier_links = options.drops_earlier_links](bool) {
      wire::LinkHello hello;
      hello.node.name = kServer;
      hello.incarnation = incarnation;
      hello.requests_body_parts = true;
      hello.withdraws_calls = true;
      hello.drops_earlier_links = drops_earlier_links;
      return hello;
    };
    hooks.on_node = [](const wire::NodeAddress&, int64_t) {};
    hooks.on_silence = [](const std::string&) {};
    hooks.on_peer_version = [](const std::string&, const std::string&, int64_t) {};
    hooks.config_version = [] { return int64_t{0}; };
    hooks.max_input_age = [] { return Duration(0); };
    hooks.store_unreachable = [] { return false; };
    hooks.on_message = [this](const std::string&, const wire::LinkMessage& message) {
      reports_.push_back(message.rollout_report.instance);
    };
    return hooks;
  }

  HttpHeaderNames header_names_;
  Counters counters_;
  TargetGate gate_;
  InboundProxy inbound_;
  std::vector<std::string> reports_;
  LinkServer links_;
  Listener listener_;
};

/// The node of the caller. Keeps what it was told of its calls.
class ClientNode final : public PeerLinksObserver {
 public:
  /// `ports` are two ports at which the server can be reached.
  ClientNode(const Executor& executor, const std::array<int, 2>& ports, int64_t incarnation)
      : ports_(ports), links_(executor, MakeOptions(incarnation), *this, counters_, Random(1)) {
    server_.name = kServer;
    server_.host = "127.0.0.1";
    Reopen();
  }

  void OnPeerStatus(const wire::NodeAddress&, const wire::TargetStatus&) override {}
  void OnPeerReachable(const std::string&, bool reachable) override { reachable_ = reachable; }
  void OnPeerUnresponsive(const std::string&) override {}
  void OnPeerVersion(const wire::NodeAddress&, int64_t, bool) override {}
  void OnPeerConfig(const std::string&, const wire::LinkConfig&) override {}
  void OnPeerAddresses(const std::vector<wire::NodeAddress>&) override {}

  void Call(const std::string& request, bool free_slot_only, std::string body = {}) {
    wire::LinkCall call;
    call.request_id = request;
    call.service_name = "desk";
    call.instance = "i-1";
    call.method = "POST";
    call.path = "/";
    call.headers.push_back(MakeHeader("X-Request-Id", request));
    call.deadline_ms = deadline_ms;
    call.latency_target_ms = deadline_ms;
    call.usual_run_us = 1000;
    call.free_slot_only = free_slot_only;
    PeerLinks::CallHandlers handlers;
    handlers.on_reply = [this, request](const wire::LinkReply& reply, const std::string&) {
      pending_.erase(request);
      (reply.outcome == wire::Outcome::kNotRun ? refused_ : ended_).insert(request);
    };
    handlers.on_failure = [this, request](LinkFailure failure) {
      pending_.erase(request);
      (failure == LinkFailure::kNotSent ? refused_ : ended_).insert(request);
    };
    handlers.on_transfer = [] {};
    pending_[request] =
        links_.Call(kServer, std::move(call), std::make_shared<const std::string>(std::move(body)),
                    std::move(handlers));
  }
  void Withdraw(const std::string& request) { links_.Withdraw(kServer, pending_.at(request)); }
  void Cancel(const std::string& request) {
    links_.Cancel(kServer, pending_.at(request));
    pending_.erase(request);
  }
  void Report(const std::string& instance) {
    wire::LinkMessage message;
    message.__isset.rollout_report = true;
    message.rollout_report.instance = instance;
    links_.Send(kServer, message);
  }
  /// Closes the link in an orderly way, whether its handshake has ended or not, and opens another.
  void Reopen() {
    // A node with a new address gets a new link at once.
    server_.port = server_.port == ports_[0] ? ports_[1] : ports_[0];
    links_.Add(server_);
  }
  void Tick() { links_.Tick(); }

  /// Deadline of the calls that are sent from now on.
  int deadline_ms = 60'000;

  bool reachable() const { return reachable_; }
  const std::map<std::string, int64_t>& pending() const { return pending_; }
  /// Requests of which the server has promised that they do not run.
  const std::set<std::string>& refused() const { return refused_; }
  /// Requests with another end.
  const std::set<std::string>& ended() const { return ended_; }

 private:
  static PeerLinksOptions MakeOptions(int64_t incarnation) {
    PeerLinksOptions options;
    options.self.name = "client";
    options.self.data_centre = "a";
    options.incarnation = incarnation;
    return options;
  }

  std::array<int, 2> ports_;
  Counters counters_;
  wire::NodeAddress server_;
  bool reachable_ = false;
  std::map<std::string, int64_t> pending_;
  std::set<std::string> refused_;
  std::set<std::string> ended_;
  PeerLinks links_;
};

/// One client node, one server node with its target, and a relay between them that can hold what
/// was sent on a link and deliver it later, the close of the link included.
struct Mesh {
  HttpSessionOptions target_options;
  asio::io_context context;
  Target target{context.get_executor(), target_options};
  int server_port = FreePort();
  ServerOptions server_options;
  int64_t last_incarnation = 0;
  std::unique_ptr<ServerNode> server;
  HoldingRelay relay{context.get_executor(), server_port};
  std::unique_ptr<ClientNode> client;

  Mesh() {
    RestartServer();
    RestartClient();
  }
  void RestartServer() {
    server.reset();
    Settle(context);
    server = std::make_unique<ServerNode>(context.get_executor(), server_options, server_port,
                                          ++last_incarnation, target);
    Settle(context);
  }
  void RestartClient() {
    client.reset();
    client =
        std::make_unique<ClientNode>(context.get_executor(), relay.ports(), ++last_incarnation);
    WaitForLink();
  }
  /// Runs the event loop until the condition holds, at most for 5 s. Returns whether it holds.
  bool Eventually(const std::function<bool()>& condition) {
    const TimePoint end = MonotonicNow() + std::chrono::seconds(5);
    do {
      Settle(context);
    } while (!condition() && MonotonicNow() < end);
    return condition();
  }
  void WaitForLink() {
    Eventually([this] { return client->reachable(); });
  }
  void Call(const std::string& request, bool free_slot_only) {
    client->Call(request, free_slot_only);
    Settle(context);
  }
  bool CallRuns(const std::string& request) {
    client->Call(request, false);
    return Eventually([&] { return target.executions(request) == 1; });
  }
  bool IsRefused(const std::string& request) {
    return Eventually([&] { return client->refused().contains(request); });
  }
  /// Ends the requests of the target until this one has ended.
  bool Ends(const std::string& request) {
    return Eventually([&] {
      target.FinishOldest();
      return client->ended().contains(request);
    });
  }
  /// Holds what the client sends on its link from now on.
  void HoldLink() { relay.newest().hold_to_server = true; }
  void Reopen() {
    client->Reopen();
    WaitForLink();
    Settle(context);
  }
  void Release(std::size_t link) {
    relay.Release(link);
    Settle(context);
  }
  /// Ends all requests of the target, also those that start meanwhile.
  void FinishAll() {
    Settle(context);
    while (!target.idle()) {
      target.FinishOldest();
      Settle(context);
    }
  }
};

// Guards against a request that runs twice, or after its caller got 503: the second copy of the
// call was refused, and the first one, held up on a link that its sender had closed, was admitted.
TEST_CASE_FIXTURE(Mesh, "a refused call does not run when its first copy arrives late") {
  REQUIRE(CallRuns("running"));
  HoldLink();
  Call("late", true);
  Reopen();
  CHECK(IsRefused("late"));
  CHECK(Ends("running"));
  Release(0);
  FinishAll();
  CHECK(target.executions("late") == 0);
  CHECK(target.executions("running") == 1);
}

// Guards against the same after a withdrawal, which a stopping node takes as a promise.
TEST_CASE_FIXTURE(Mesh, "a withdrawn call does not run when its first copy arrives late") {
  REQUIRE(CallRuns("running"));
  HoldLink();
  Call("late", false);
  Reopen();
  client->Withdraw("late");
  CHECK(IsRefused("late"));
  CHECK(Ends("running"));
  Release(0);
  FinishAll();
  CHECK(target.executions("late") == 0);
}

// Guards against a promise that a node of an earlier build does not keep: it runs the first copy of
// a call although it has refused the second one.
TEST_CASE_FIXTURE(Mesh, "a refusal by an earlier build counts only for a call that was sent once") {
  server_options.drops_earlier_links = false;
  RestartServer();
  WaitForLink();
  REQUIRE(CallRuns("running"));
  Call("once", true);
  CHECK(IsRefused("once"));
  HoldLink();
  Call("twice", true);
  Reopen();
  CHECK(Eventually([this] { return client->ended().contains("twice"); }));
  CHECK_FALSE(client->refused().contains("twice"));
}

// Guards against lost service: the call whose first copy is held up is served by the second one.
TEST_CASE_FIXTURE(Mesh, "a call whose first copy is held up runs once and is answered") {
  HoldLink();
  Call("late", false);
  Reopen();
  CHECK(Eventually([this] { return target.executions("late") == 1; }));
  Release(0);
  CHECK(Ends("late"));
  FinishAll();
  CHECK(target.executions("late") == 1);
}

// Guards against a request that runs twice: the id of the first copy is forgotten when the second
// one, which was held up on its link, arrives.
TEST_CASE_FIXTURE(Mesh, "a copy that comes after the id of its call was forgotten does not run") {
  server_options.gate.deduplication_margin = milliseconds(60);
  RestartServer();
  WaitForLink();
  client->deadline_ms = 40;
  relay.newest().hold_to_client = true;
  REQUIRE(CallRuns("late"));
  FinishAll();
  relay.hold_after_handshake = true;
  Reopen();
  std::this_thread::sleep_for(milliseconds(200));
  relay.newest().Release();
  CHECK(Ends("late"));
  CHECK(target.executions("late") == 1);
}

// Guards against work for nobody: the caller of the held call has left.
TEST_CASE_FIXTURE(Mesh, "a cancelled call does not run when its only copy arrives late") {
  HoldLink();
  Call("late", false);
  client->Cancel("late");
  Reopen();
  Release(0);
  CHECK(target.executions("late") == 0);
}

// Guards against a link that is closed for one that its process gave up earlier, because the
// handshake of the latter comes late.
TEST_CASE_FIXTURE(Mesh, "the late handshake of an earlier link does not close the newest link") {
  relay.hold_new_links = true;
  client->Reopen();
  Settle(context);
  CHECK_FALSE(client->reachable());
  relay.hold_new_links = false;
  Reopen();
  CHECK(client->reachable());
  REQUIRE(CallRuns("first"));
  Release(1);
  CHECK(Ends("first"));
  CHECK(CallRuns("second"));
  CHECK(Ends("second"));
  CHECK(client->reachable());
}

// Guards against a roll-out, quota or claim that is decided by what a node has replaced since.
TEST_CASE_FIXTURE(Mesh, "a report on an earlier link is dropped") {
  HoldLink();
  client->Report("earlier");
  Reopen();
  client->Report("newer");
  CHECK(Eventually([this] { return !server->reports().empty(); }));
  Release(0);
  CHECK(server->reports() == std::vector<std::string>{"newer"});
}

// Guards against a body with parts of two copies of its call.
TEST_CASE_FIXTURE(Mesh, "parts of a body on an earlier link are dropped") {
  const std::string body(100'000, 'x');
  relay.newest().hold_to_client = true;
  client->Call("upload", false, body);
  Settle(context);
  Reopen();
  Release(0);
  CHECK(Ends("upload"));
  CHECK(target.bodies() == std::vector<std::string>{body});
}

// Guards against a node that keeps the links of a peer which it has reached at an address of
// another node: the peer closes such a link after the handshake.
TEST_CASE_FIXTURE(Mesh, "a link without a message after its handshake does not replace another") {
  REQUIRE(CallRuns("first"));
  TcpSocket socket(context.get_executor());
  socket.connect({asio::ip::make_address("127.0.0.1"), static_cast<uint16_t>(server_port)});
  const auto link = std::make_shared<Link>(std::move(socket));
  link->Start({[](const wire::LinkMessage&, const std::string&) {}, [](ErrorCode) {}, nullptr});
  wire::LinkMessage message;
  message.__isset.hello = true;
  message.hello.node.name = "client";
  message.hello.incarnation = last_incarnation;
  link->Send(message);
  Settle(context);
  CHECK(client->reachable());
  CHECK(Ends("first"));
}

/// Random steps on a mesh. Links are held, closed, opened and released in any order.
class RandomRun {
 public:
  void Step() {
    using StepFunction = void (RandomRun::*)();
    static constexpr StepFunction kSteps[] = {
        &RandomRun::Call,          &RandomRun::Call,          &RandomRun::Call,
        &RandomRun::Call,          &RandomRun::Hold,          &RandomRun::Hold,
        &RandomRun::HoldReplies,   &RandomRun::Reopen,        &RandomRun::Reopen,
        &RandomRun::HoldNewLink,   &RandomRun::Release,       &RandomRun::Release,
        &RandomRun::FinishOldest,  &RandomRun::FinishOldest,  &RandomRun::Withdraw,
        &RandomRun::Withdraw,      &RandomRun::Cancel,        &RandomRun::Tick,
        &RandomRun::RestartClient, &RandomRun::RestartServer,
    };
    (this->*kSteps[DrawInRange(0, static_cast<int>(std::size(kSteps)))])();
    Settle(mesh_.context);
  }
  /// Delivers all that is held and ends all requests.
  void End() {
    for (std::size_t link = 0; link < mesh_.relay.size(); ++link) {
      mesh_.Release(link);
      mesh_.FinishAll();
    }
  }
  void Check() const {
    for (int i = 0; i < requests_; ++i) {
      const std::string request = std::to_string(i);
      const int executions = mesh_.target.executions(request);
      RC_ASSERT(executions <= 1);
      RC_ASSERT(executions == 0 || !refused_.contains(request));
      RC_ASSERT(executions == 0 || !mesh_.client->refused().contains(request));
    }
  }

 private:
  void Call() { mesh_.client->Call(std::to_string(requests_++), DrawInRange(0, 2) == 0); }
  void Hold() { mesh_.HoldLink(); }
  void HoldReplies() { mesh_.relay.newest().hold_to_client = true; }
  void HoldNewLink() {
    mesh_.relay.hold_new_links = true;
    mesh_.client->Reopen();
    Settle(mesh_.context);
    mesh_.relay.hold_new_links = false;
  }
  void Reopen() { mesh_.Reopen(); }
  void Release() {
    mesh_.relay.Release(
        static_cast<std::size_t>(DrawInRange(0, static_cast<int>(mesh_.relay.size()))));
  }
  void FinishOldest() { mesh_.target.FinishOldest(); }
  void Withdraw() {
    if (const auto request = DrawPending()) {
      mesh_.client->Withdraw(*request);
    }
  }
  void Cancel() {
    if (const auto request = DrawPending()) {
      mesh_.client->Cancel(*request);
    }
  }
  void Tick() {
    mesh_.server->Tick(MonotonicNow());
    mesh_.client->Tick();
  }
  void RestartServer() {
    mesh_.RestartServer();
    mesh_.WaitForLink();
  }
  void RestartClient() {
    const auto& refused = mesh_.client->refused();
    refused_.insert(refused.begin(), refused.end());
    mesh_.RestartClient();
  }
  std::optional<std::string> DrawPending() const {
    const auto& pending = mesh_.client->pending();
    if (pending.empty()) {
      return std::nullopt;
    }
    return std::next(pending.begin(), DrawInRange(0, static_cast<int>(pending.size())))->first;
  }

  Mesh mesh_;
  int requests_ = 0;
  /// Requests that were refused to earlier processes of the client.
  std::set<std::string> refused_;
};

// Guards against all orders of copies, refusals and links under which a call that was refused runs,
// or a call runs twice: bytes on a link that its sender has closed may arrive after its successor.
TEST_CASE("no refused call runs and none runs twice, whatever links deliver late") {
  CHECK(test::CheckProperty("late copies", 1, 60, 100, [] {
    RandomRun run;
    const int steps = DrawInRange(5, 40);
    for (int i = 0; i < steps; ++i) {
      run.Step();
    }
    run.End();
    run.Check();
  }));
}

}  // namespace
}  // namespace limpet::edge
