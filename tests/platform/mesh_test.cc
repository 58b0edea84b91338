#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <thread>

#include "announcement_codec.h"
#include "edge/loop_thread.h"
#include "edge/raw_client.h"
#include "limpet/edge/edge_node.h"
#include "net/loopback.h"
#include "platform/fake_store.h"
#include "store_coordination.h"

namespace limpet::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string ConfigText(int version, const std::string& prefix) {
  const std::string number = std::to_string(version);
  return R"({"version":"r)" + number +
         R"(","resources":[{"resource_type":"routes","metadata":{"name":"r1"},"specification":)" +
         R"({"host":"desk.example","path_prefix":")" + prefix +
         R"(","kind":"idempotent","timeout_ms":1000,"target_latency_ms":500,"priority":1,)" +
         R"("service":"desk","attempts":2}},{"resource_type":"services","metadata":)" +
         R"({"name":"desk"},"specification":{"health_check_path":"/health",)" +
         R"("max_connections":130}},{"resource_type":"services","metadata":{"name":"store"},)" +
         R"("specification":{"health_check_path":"/health","max_connections":130}}]})";
}

/// A node and its local target.
class TestNode {
 public:
  TestNode(edge::LoopThread& loop,
           PeerAddress store,
           const std::string& name,
           const std::string& service,
           double link_mbps = 1000,
           double grace_period_ms = 6000,
           bool strict_revocation = false)
      : instance("i-" + name), target_loop_(loop), name_(name), service_(service) {
    settings_.name = name;
    settings_.link_mbps = link_mbps;
    settings_.data_centre = "a";
    settings_.service = service;
    settings_.outbound = {"127.0.0.1", FreePort()};
    settings_.readiness = {"127.0.0.1", FreePort()};
    settings_.announcements = {"127.0.0.1", FreePort()};
    settings_.target = {"127.0.0.1", FreePort()};
    settings_.store = store;
    settings_.link_port = FreePort();
    settings_.metrics_port = FreePort();
    settings_.grace_period_ms = grace_period_ms;
    settings_.strict_revocation = strict_revocation;
    target_ = std::make_unique<edge::TestServer>(
        loop, settings_.target,
        [this](const edge::HttpSessionPtr& session) { OnTargetRequest(session); });
    StartNode();
  }
  ~TestNode() { process_->Stop(); }
  TestNode(const TestNode&) = delete;
  TestNode& operator=(const TestNode&) = delete;

  std::string Announce(const std::string& state, int sequence) {
    healthy = state == "ready";
    return SendHeartbeat(state, sequence);
  }
  /// Sends a heartbeat that does not show the present state of the target.
  std::string SendHeartbeat(const std::string& state, int sequence) {
    const std::string body = R"({"service":")" + service_ + R"(","address":"127.0.0.1:)" +
                             std::to_string(settings_.target.port) + R"(","zone":"a","version":")" +
                             software + R"(","slots":2,"state":")" + state +
                             R"(","cold_remaining_ms":0,"born":)" + std::to_string(start_time_ms) +
                             R"(,"sequence":)" + std::to_string(sequence) + "}";
    return Send(settings_.announcements.port, "PUT /instances/" + instance, body);
  }
  /// The target announces that it leaves, and goes on serving.
  std::string Leave() {
    healthy = false;
    return Send(settings_.announcements.port, "DELETE /instances/" + instance, "");
  }
  /// Replaces the node by a new process of it, which knows nothing of the earlier one.
  void RestartNode() {
    process_->Stop();
    node_.reset();
    coordination_.reset();
    StartNode();
  }
  /// Blocks the node for this time, as if its process were paused.
  void PauseNode(Duration duration) {
    process_->Run([duration] { std::this_thread::sleep_for(duration); });
  }
  std::string Call(const std::string& path) {
    return Send(settings_.outbound.port, "GET " + path, "");
  }
  /// `headers` are complete lines.
  std::string CallWith(const std::string& path, const std::string& headers) {
    return Send(settings_.outbound.port, "GET " + path, "", headers);
  }
  /// Sends both requests at once and returns both responses.
  std::pair<std::string, std::string> CallTwice(const std::string& first_headers,
                                                const std::string& second_headers) {
    RawClient client(settings_.outbound.port);
    client.Send(MakeRequest("GET /lots/1", "", first_headers) +
                MakeRequest("GET /lots/1", "", second_headers));
    std::string first = client.ReadResponse();
    return {std::move(first), client.ReadResponse()};
  }
  std::string Upload(const std::string& path, const std::string& body) {
    return Send(settings_.outbound.port, "POST " + path, body);
  }
  /// Repeats the call every 50 ms until the response has this status; false after 100 calls.
  bool CallUntil(const std::string& path, const std::string& status) {
    for (int i = 0; i < 100; ++i) {
      if (Call(path).starts_with("HTTP/1.1 " + status)) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(50));
    }
    return false;
  }
  bool IsReady() {
    return Send(settings_.readiness.port, "GET /readiness", "").starts_with("HTTP/1.1 200");
  }
  std::string Metrics() { return Send(settings_.metrics_port, "GET /metrics", ""); }
  void Stop(std::atomic<bool>& stopped) {
    process_->Run([this, &stopped] { node_->Stop([&stopped] { stopped = true; }); });
  }
  /// Sends a request without waiting for its response.
  std::unique_ptr<RawClient> StartCall(const std::string& path) {
    auto client = std::make_unique<RawClient>(settings_.outbound.port);
    client->Send(MakeRequest("GET " + path, "", ""));
    return client;
  }

  /// Name and start time of the target; written only while no request is pending.
  std::string instance;
  int64_t start_time_ms = 1;
  /// Version of the target's software.
  std::string software = "v1";
  std::atomic<int> executions{0};
  std::atomic<bool> responds_500{false};
  /// Whether the health endpoint responds with 200.
  std::atomic<bool> healthy{false};
  std::atomic<bool> unresponsive{false};
  /// Time that the target works on a request.
  std::atomic<milliseconds> response_delay{milliseconds(0)};
  /// Number of further responses without a signature, which are not valid.
  std::atomic<int> invalid_responses{0};
  /// Body of the request that the target received last.
  std::string seen_body;
  /// Deadline of the requests to this node.
  int deadline_ms = 900;
  std::string seen_caller;
  std::string seen_instance;
  HttpHeaders seen_headers;

 private:
  std::string MakeRequest(const std::string& line,
                          const std::string& body,
                          const std::string& headers) const {
    return line + " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: 77\r\nX-Deadline-Ms: " +
           std::to_string(deadline_ms) + "\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  std::string Send(int port,
                   const std::string& line,
                   const std::string& body,
                   const std::string& headers = "") const {
    RawClient client(port);
    client.Send(MakeRequest(line, body, headers));
    return client.ReadResponse();
  }
  void OnTargetRequest(const edge::HttpSessionPtr& session) {
    const HttpRequest& request = session->request();
    if (request.path == "/health") {
      HttpResponse response = TextResponse(healthy ? 200 : 503, "");
      response.headers.push_back(MakeHeader("X-Instance-Id", instance));
      session->Respond(std::move(response));
      return;
    }
    ++executions;
    seen_body = request.body;
    seen_headers = request.headers;
    seen_caller = std::string(request.Header("X-Caller-Service"));
    seen_instance = std::string(request.Header("X-Expected-Instance"));
    if (unresponsive) {
      unanswered_.push_back(session);
      return;
    }
    HttpResponse response = TextResponse(responds_500 ? 500 : 200, "from " + name_);
    response.headers.push_back(MakeHeader("X-Request-Id", request.Header("X-Request-Id")));
    if (invalid_responses == 0) {
      response.headers.push_back(MakeHeader("X-Server-Signature", "signed"));
    } else {
      --invalid_responses;
    }
    if (response_delay.load() == milliseconds(0)) {
      session->Respond(std::move(response));
      return;
    }
    const auto timer =
        std::make_shared<edge::Timer>(target_loop_.executor(), response_delay.load());
    timer->async_wait([timer, session, response](edge::ErrorCode) { session->Respond(response); });
  }

  void StartNode() {
    process_ = std::make_unique<edge::LoopThread>();
    process_->Run([this] {
      coordination_ =
          std::make_unique<StoreCoordination>(process_->executor(), settings_.store, Random(1));
      coordination_->set_strict_revocation(settings_.strict_revocation);
      node_ = std::make_unique<edge::EdgeNode>(process_->executor(), settings_,
                                               PlatformHeaderNames(), codec_, *coordination_);
      node_->Start();
    });
  }

  edge::LoopThread& target_loop_;
  std::string name_;
  std::string service_;
  NodeSettings settings_;
  PlatformAnnouncementCodec codec_;
  std::unique_ptr<edge::TestServer> target_;
  std::vector<edge::HttpSessionPtr> unanswered_;
  /// The event loop of the node; that of the target goes on when the node is replaced.
  std::unique_ptr<edge::LoopThread> process_;
  std::unique_ptr<StoreCoordination> coordination_;
  std::unique_ptr<edge::EdgeNode> node_;
};

struct Fixture {
  // Stops the loop before the nodes are destroyed, so that no handler runs during destruction.
  struct Stopper {
    edge::LoopThread& loop;
    ~Stopper() { loop.Stop(); }
  };
  edge::LoopThread loop;
  FakeStore store{loop};
  TestNode desk{loop, store.address(), "desk-node", "desk"};
  TestNode desk2{loop, store.address(), "desk2-node", "desk"};
  TestNode caller{loop, store.address(), "caller-node", "store"};
  Stopper stopper{loop};

  void StartMesh() {
    store.Put("keyed.op", "config", ConfigText(1, "/lots/"));
    CHECK(desk.Announce("ready", 1).starts_with("HTTP/1.1 200"));
    REQUIRE(caller.CallUntil("/lots/1", "200"));
  }
  /// Announces the second target and calls until it gets a request.
  void AddSecondTarget() {
    CHECK(desk2.Announce("ready", 1).starts_with("HTTP/1.1 200"));
    for (int i = 0; i < 100 && desk2.executions == 0; ++i) {
      CHECK(caller.Call("/lots/1").starts_with("HTTP/1.1 200"));
      std::this_thread::sleep_for(milliseconds(10));
    }
    REQUIRE(desk2.executions > 0);
  }
};

TEST_CASE_FIXTURE(Fixture, "a request runs at the target of another node") {
  StartMesh();
  CHECK(caller.Call("/lots/1").find("from desk-node") != std::string::npos);
  CHECK(desk.seen_caller == "store");
  CHECK(desk.seen_instance == "i-desk-node");
  CHECK(caller.IsReady());
  const std::string metrics = caller.Metrics();
  CHECK(metrics.find("outbound_requests") != std::string::npos);
  CHECK(metrics.find("outbound_call_seconds_bucket{le=\"+Inf\"}") != std::string::npos);
}

std::string MakeBody(std::size_t bytes) {
  std::string body;
  for (std::size_t i = 0; body.size() < bytes; ++i) {
    body += std::to_string(i) + ",";
  }
  return body;
}

TEST_CASE_FIXTURE(Fixture, "a large request body reaches the target of another node unchanged") {
  StartMesh();
  const std::string body = MakeBody(300'000);
  CHECK(caller.Upload("/lots/1", body).starts_with("HTTP/1.1 200"));
  CHECK(desk.seen_body == body);
}

// Large request bodies beside small urgent requests on a narrow link.
TEST_CASE(
    "large request bodies arrive at the rate of the receiving link, small requests do not wait") {
  Fixture mesh;
  TestNode narrow(mesh.loop, mesh.store.address(), "narrow-node", "desk", 8);
  Fixture::Stopper stopper{mesh.loop};
  mesh.store.Put("keyed.op", "config", ConfigText(1, "/lots/"));
  CHECK(narrow.Announce("ready", 1).starts_with("HTTP/1.1 200"));
  REQUIRE(mesh.caller.CallUntil("/lots/1", "200"));
  const std::string body = MakeBody(300'000);
  std::atomic<bool> uploaded{false};
  const auto start = std::chrono::steady_clock::now();
  std::thread upload([&] {
    CHECK(mesh.caller.Upload("/lots/1", body).starts_with("HTTP/1.1 200"));
    uploaded = true;
  });
  std::this_thread::sleep_for(milliseconds(50));
  CHECK(mesh.caller.Call("/lots/1").starts_with("HTTP/1.1 200"));
  CHECK_FALSE(uploaded);
  upload.join();
  // 300 kB at 8 Mbit/s take 0.3 s.
  CHECK(std::chrono::steady_clock::now() - start > milliseconds(250));
  CHECK(narrow.seen_body == body);
}

TEST_CASE_FIXTURE(Fixture, "before the first configuration a node refuses and is not ready") {
  CHECK(caller.Call("/lots/1").starts_with("HTTP/1.1 503"));
  CHECK_FALSE(caller.IsReady());
  StartMesh();
  CHECK(caller.Call("/nowhere/").starts_with("HTTP/1.1 404"));
}

TEST_CASE_FIXTURE(Fixture, "a configuration change is applied by every node") {
  StartMesh();
  store.Put("keyed.op", "config", ConfigText(3, "/slots/"));
  for (TestNode* node : {&desk, &desk2, &caller}) {
    CHECK(node->CallUntil("/slots/1", "200"));
    CHECK(node->Call("/lots/1").starts_with("HTTP/1.1 404"));
  }
  store.Put("keyed.op", "config", ConfigText(2, "/lots/"));
  store.Put("keyed.op", "config", "cut sho");
  std::this_thread::sleep_for(milliseconds(300));
  CHECK(caller.Call("/slots/1").starts_with("HTTP/1.1 200"));
}

/// Bounds of the small deployments: a node counts as connected this long after a disturbance, and a
/// change is in force on connected nodes this long after the store acknowledged it.
constexpr auto kContactWindow = seconds(3);
constexpr auto kApplyTime = seconds(2);

// Guards against readers that wait for a response which was lost in a short outage of the store,
// while later changes reach no node.
TEST_CASE_FIXTURE(Fixture,
                  "a change is in force in time after an outage that lost the responses of reads") {
  StartMesh();
  std::this_thread::sleep_for(milliseconds(1500));
  store.SetSilent(true);
  store.Put("keyed.op", "config", ConfigText(2, "/lots/"));
  std::this_thread::sleep_for(milliseconds(1500));
  store.SetSilent(false);
  const auto end = std::chrono::steady_clock::now();
  std::this_thread::sleep_until(end + (kContactWindow - kApplyTime));
  store.Put("keyed.op", "config", ConfigText(3, "/slots/"));
  std::this_thread::sleep_until(end + kContactWindow);
  for (TestNode* node : {&desk, &desk2, &caller}) {
    CHECK(node->Call("/slots/1").starts_with("HTTP/1.1 200"));
    CHECK(node->Call("/lots/1").starts_with("HTTP/1.1 404"));
  }
}

// Guards against readers that wait on connections to the store that have gone silent without a
// reset, while new connections work.
TEST_CASE_FIXTURE(Fixture,
                  "a change is in force in time after all connections to the store went silent") {
  StartMesh();
  std::this_thread::sleep_for(milliseconds(1500));
  store.SilenceConnections();
  const auto silenced = std::chrono::steady_clock::now();
  store.Put("keyed.op", "config", ConfigText(3, "/slots/"));
  std::this_thread::sleep_until(silenced + kContactWindow);
  for (TestNode* node : {&desk, &desk2, &caller}) {
    CHECK(node->Call("/slots/1").starts_with("HTTP/1.1 200"));
  }
}

// Guards against a write of the operator that the store executes late, after a newer one: the newer
// configuration was skipped if both were read together.
TEST_CASE_FIXTURE(Fixture,
                  "a late record of an older version does not hide a newer configuration") {
  StartMesh();
  std::this_thread::sleep_for(milliseconds(1500));
  // Readers pause after this change and read the next two together.
  store.Put("keyed.op", "config", ConfigText(2, "/lots/"));
  std::this_thread::sleep_for(milliseconds(100));
  store.Put("keyed.op", "config", ConfigText(5, "/slots/"));
  store.Put("keyed.op", "config", ConfigText(4, "/lots/"));
  std::this_thread::sleep_for(kApplyTime);
  for (TestNode* node : {&desk, &desk2, &caller}) {
    CHECK(node->Call("/slots/1").starts_with("HTTP/1.1 200"));
  }
}

TEST_CASE_FIXTURE(Fixture, "a draining target gets no new requests") {
  StartMesh();
  AddSecondTarget();
  store.SetDown(true);
  CHECK(desk.Announce("draining", 2).starts_with("HTTP/1.1 200"));
  const int before = desk.executions;
  for (int i = 0; i < 20; ++i) {
    CHECK(caller.Call("/lots/1").starts_with("HTTP/1.1 200"));
  }
  CHECK(desk.executions == before);
}

// Guards against waiting for the next heartbeat after each restart of a node.
TEST_CASE_FIXTURE(Fixture,
                  "a node that has just started discovers its target through the health endpoint") {
  desk.healthy = true;
  store.Put("keyed.op", "config", ConfigText(1, "/lots/"));
  CHECK(caller.CallUntil("/lots/1", "200"));
  CHECK(desk.seen_instance == "i-desk-node");
}

// Guards against requests to a target that has left: its node acknowledged the leave and was
// restarted, and a heartbeat from before the leave arrives after that.
TEST_CASE_FIXTURE(Fixture, "a leave binds through restarts, a new start is used at once") {
  StartMesh();
  for (const char* next_instance : {"i-desk-node", "i-next"}) {
    SUBCASE("leave") {
      CHECK(desk.Leave().starts_with("HTTP/1.1 200"));
    }
    SUBCASE("draining") {
      CHECK(desk.Announce("draining", 9).starts_with("HTTP/1.1 200"));
    }
    SUBCASE("leave while the store is down") {
      store.SetDown(true);
      CHECK(desk.Leave().starts_with("HTTP/1.1 200"));
    }
    SUBCASE("leave, and all nodes restart") {
      CHECK(desk.Leave().starts_with("HTTP/1.1 200"));
      desk2.RestartNode();
      caller.RestartNode();
    }
    desk.RestartNode();
    std::this_thread::sleep_for(milliseconds(500));
    const int before = desk.executions;
    for (int sequence = 2; sequence < 8; ++sequence) {
      CHECK(desk.SendHeartbeat("ready", sequence).starts_with("HTTP/1.1 200"));
      CHECK(caller.Call("/lots/1").starts_with("HTTP/1.1 503"));
      std::this_thread::sleep_for(milliseconds(100));
    }
    CHECK(desk.executions == before);
    ++desk.start_time_ms;
    desk.instance = next_instance;
    const auto start = std::chrono::steady_clock::now();
    CHECK(desk.Announce("ready", 1).starts_with("HTTP/1.1 200"));
    CHECK(caller.CallUntil("/lots/1", "200"));
    CHECK(std::chrono::steady_clock::now() - start < seconds(1));
  }
}

// Guards against a paused process that sends on a request whose caller has given up meanwhile.
TEST_CASE_FIXTURE(Fixture, "a request that expired while the node was paused is refused") {
  StartMesh();
  const int before = desk.executions;
  std::thread desk_pause([this] { desk.PauseNode(milliseconds(1500)); });
  std::thread caller_pause([this] { caller.PauseNode(milliseconds(1500)); });
  std::this_thread::sleep_for(milliseconds(200));
  // The deadline of the request is 900 ms.
  CHECK(caller.Call("/lots/1").starts_with("HTTP/1.1 503"));
  desk_pause.join();
  caller_pause.join();
  CHECK(desk.executions == before);
  std::this_thread::sleep_for(milliseconds(300));
  CHECK(caller.Call("/lots/1").starts_with("HTTP/1.1 200"));
}

// Reads of the store are charged, and each node would make one for each change.
TEST_CASE_FIXTURE(Fixture, "changes in quick succession are read together") {
  StartMesh();
  std::this_thread::sleep_for(milliseconds(1500));
  const int before = store.calls("/log-read");
  for (int version = 2; version <= 21; ++version) {
    store.Put("keyed.op", "config", ConfigText(version, "/lots/"));
    std::this_thread::sleep_for(milliseconds(30));
  }
  CHECK(caller.CallUntil("/lots/1", "200"));
  store.Put("keyed.op", "config", ConfigText(30, "/slots/"));
  CHECK(caller.CallUntil("/slots/1", "200"));
  // Two of the three nodes read the store; 20 changes in 0.6 s take each of them four reads.
  CHECK(store.calls("/log-read") - before <= 20);
}

// Guards against losing the capacity of a target while its stopping node still serves its own
// callers.
TEST_CASE_FIXTURE(Fixture, "a stopping node accepts calls from other nodes for a limited time") {
  StartMesh();
  std::atomic<bool> stopped{false};
  desk.Stop(stopped);
  CHECK(caller.Call("/lots/1").starts_with("HTTP/1.1 200"));
  std::this_thread::sleep_for(milliseconds(2000));
  CHECK(caller.Call("/lots/1").starts_with("HTTP/1.1 503"));
  CHECK_FALSE(stopped);
}

TEST_CASE_FIXTURE(Fixture, "requests that a target fails are retried at another target") {
  StartMesh();
  AddSecondTarget();
  desk.responds_500 = true;
  for (int i = 0; i < 10; ++i) {
    CHECK(caller.Call("/lots/1").starts_with("HTTP/1.1 200"));
  }
}

// Guards against a target that no node uses again after three invalid responses in a row: the state
// "down" keeps away the requests that would end it.
TEST_CASE_FIXTURE(Fixture, "three invalid responses are followed by service within 2 s") {
  StartMesh();
  desk.invalid_responses = 3;
  for (int i = 0; i < 3; ++i) {
    CHECK(caller.Call("/lots/1").starts_with("HTTP/1.1 502"));
  }
  const auto start = std::chrono::steady_clock::now();
  CHECK(caller.Call("/lots/1").starts_with("HTTP/1.1 503"));
  CHECK(caller.CallUntil("/lots/1", "200"));
  CHECK(std::chrono::steady_clock::now() - start < seconds(2));
}

TEST_CASE_FIXTURE(Fixture,
                  "a request to a target that does not respond times out at the route's limit") {
  StartMesh();
  desk.unresponsive = true;
  const auto start = std::chrono::steady_clock::now();
  CHECK(caller.Call("/lots/1").starts_with("HTTP/1.1 504"));
  const auto elapsed = std::chrono::steady_clock::now() - start;
  CHECK(elapsed >= milliseconds(800));
  CHECK(elapsed < seconds(3));
}

// Guards against requests that come late in a short grace period, are passed on and then cut off by
// the end of the process.
TEST_CASE_FIXTURE(Fixture, "a node with a short grace period refuses what it could not finish") {
  StartMesh();
  TestNode brief(loop, store.address(), "brief-node", "store", 1000, 2000);
  Stopper brief_stopper{loop};
  REQUIRE(brief.CallUntil("/lots/1", "200"));
  desk.unresponsive = true;
  std::atomic<bool> stopped{false};
  brief.Stop(stopped);
  std::this_thread::sleep_for(milliseconds(1200));
  const int before = desk.executions;
  CHECK(brief.Call("/lots/1").starts_with("HTTP/1.1 503"));
  CHECK(desk.executions == before);
}

/// The configuration of `ConfigText` with a route whose requests may take this long.
std::string SlowConfigText(int timeout_ms) {
  std::string text = ConfigText(1, "/lots/");
  for (const char* field : {R"("timeout_ms":1000)", R"("target_latency_ms":500)"}) {
    const std::size_t start = text.find(field);
    const std::size_t number = text.find(':', start) + 1;
    text.replace(number, text.find(',', start) - number, std::to_string(timeout_ms));
  }
  return text;
}

// Guards against connections that end without an answer at a planned stop: requests that were read
// still wait in the queue of another node when the process ends. Each is answered, and none that
// was answered "not run" runs later.
TEST_CASE("a stopping node answers the requests that wait for a target of another node") {
  Fixture mesh;
  constexpr auto kGracePeriod = milliseconds(3000);
  TestNode brief(mesh.loop, mesh.store.address(), "brief-node", "store", 1000,
                 kGracePeriod.count());
  Fixture::Stopper stopper{mesh.loop};
  brief.deadline_ms = 5000;
  mesh.store.Put("keyed.op", "config", SlowConfigText(5000));
  CHECK(mesh.desk.Announce("ready", 1).starts_with("HTTP/1.1 200"));
  REQUIRE(brief.CallUntil("/lots/1", "200"));
  mesh.desk.unresponsive = true;
  const int before = mesh.desk.executions;
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int i = 0; i < 6; ++i) {
    clients.push_back(brief.StartCall("/lots/1"));
  }
  while (mesh.desk.executions < before + 2) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  std::atomic<bool> stopped{false};
  const auto start = std::chrono::steady_clock::now();
  brief.Stop(stopped);
  int not_run = 0;
  int unknown = 0;
  for (const auto& client : clients) {
    const std::string response = client->ReadResponse();
    not_run += response.starts_with("HTTP/1.1 503") ? 1 : 0;
    unknown += response.starts_with("HTTP/1.1 502") ? 1 : 0;
  }
  CHECK(not_run == 4);
  CHECK(unknown == 2);
  CHECK(std::chrono::steady_clock::now() - start < kGracePeriod);
  for (int i = 0; i < 40 && !stopped; ++i) {
    std::this_thread::sleep_for(milliseconds(50));
  }
  CHECK(stopped);
  CHECK(mesh.desk.executions == before + 2);
}

// Guards against requests that are accepted after the stop signal although less time is left than
// they need.
TEST_CASE("a stopping node refuses at once what needs more time than is left") {
  Fixture mesh;
  TestNode brief(mesh.loop, mesh.store.address(), "brief-node", "store", 1000, 3000);
  Fixture::Stopper stopper{mesh.loop};
  brief.deadline_ms = 20'000;
  mesh.store.Put("keyed.op", "config", SlowConfigText(20'000));
  CHECK(mesh.desk.Announce("ready", 1).starts_with("HTTP/1.1 200"));
  mesh.desk.response_delay = milliseconds(2000);
  REQUIRE(brief.CallUntil("/lots/1", "200"));
  std::atomic<bool> stopped{false};
  brief.Stop(stopped);
  const int before = mesh.desk.executions;
  const auto start = std::chrono::steady_clock::now();
  CHECK(brief.Call("/lots/1").starts_with("HTTP/1.1 503"));
  CHECK(std::chrono::steady_clock::now() - start < milliseconds(500));
  CHECK(mesh.desk.executions == before);
}

TEST_CASE_FIXTURE(Fixture,
                  "a stopping node is not ready, still serves its callers and then stops") {
  StartMesh();
  std::atomic<bool> stopped{false};
  caller.Stop(stopped);
  CHECK_FALSE(caller.IsReady());
  CHECK(caller.Call("/lots/1").starts_with("HTTP/1.1 200"));
  for (int i = 0; i < 100 && !stopped; ++i) {
    std::this_thread::sleep_for(milliseconds(50));
  }
  CHECK(stopped);
}

/// The configuration of `ConfigText` with an account.
std::string AccountConfigText(int requests_per_s) {
  std::string text = ConfigText(2, "/lots/");
  text.resize(text.size() - 2);
  return text +
         R"(,{"resource_type":"tenants","metadata":{"name":"shop"},"specification":{"api_keys":)" +
         R"(["k1"],"requests_per_s":)" + std::to_string(requests_per_s) + R"(,"burst":0}}]})";
}

constexpr const char* kLimitedKey = "Api-Key: k1\r\n";

// Guards against limits that each node applies on its own, and against requests that are refused
// although the account is far below its limit.
TEST_CASE_FIXTURE(Fixture, "the limit of an account holds over all nodes together") {
  StartMesh();
  store.Put("keyed.op", "config", AccountConfigText(5));
  // Requests pass once a holder of the account's lease is known.
  const auto call_until = [](TestNode& node, const std::string& status) {
    for (int i = 0; i < 400; ++i) {
      const std::string response = node.CallWith("/lots/1", kLimitedKey);
      if (response.starts_with("HTTP/1.1 " + status)) {
        return response;
      }
      std::this_thread::sleep_for(milliseconds(25));
    }
    return std::string();
  };
  REQUIRE(call_until(caller, "429").find("Retry-After: ") != std::string::npos);
  REQUIRE(call_until(desk2, "429").find("Retry-After: ") != std::string::npos);
  const int before = desk.executions;
  const auto end = std::chrono::steady_clock::now() + seconds(5);
  while (std::chrono::steady_clock::now() < end) {
    caller.CallWith("/lots/1", kLimitedKey);
    desk2.CallWith("/lots/1", kLimitedKey);
  }
  // 5 per second in 5 s, exceeded by 0.1 and 20; two nodes on their own would pass 50.
  CHECK(desk.executions - before <= 47);
  CHECK(call_until(caller, "200").starts_with("HTTP/1.1 200"));
  // Without a store there is no holder, and the fallback allowance is used up soon.
  store.SetDown(true);
  const std::string refusal = call_until(caller, "503");
  CHECK(refusal.find("no token for the account") != std::string::npos);
  CHECK(refusal.find("Retry-After: ") != std::string::npos);
}

/// A configuration with the public route /open/ and with accounts that have these keys.
std::string AccountsText(int version, const std::string& first_keys) {
  std::string text = ConfigText(version, "/lots/");
  text.resize(text.size() - 2);
  return text +
         R"(,{"resource_type":"routes","metadata":{"name":"r2"},"specification":)"
         R"({"host":"desk.example","path_prefix":"/open/","kind":"idempotent","timeout_ms":1000,)"
         R"("priority":1,"service":"desk","attempts":2,"public":true}},)"
         R"({"resource_type":"tenants","metadata":{"name":"first"},"specification":)"
         R"({"api_keys":[)" +
         first_keys +
         R"(],"priority":0}},{"resource_type":"tenants","metadata":{"name":"second"},)"
         R"("specification":{"api_keys":["key-2"]}}]})";
}

constexpr const char* kFirstKey = "Api-Key: key-1\r\n";

// Guards against a key that reaches a target, and against a caller that chooses its account.
TEST_CASE_FIXTURE(Fixture, "a target gets the account of the key and never the key") {
  store.Put("keyed.op", "config", AccountsText(1, R"("key-1","key-1b")"));
  CHECK(desk.Announce("ready", 1).starts_with("HTTP/1.1 200"));
  REQUIRE(caller.CallUntil("/open/1", "200"));
  CHECK(FindHeader(desk.seen_headers, "X-Tenant").empty());
  for (const char* path : {"/lots/1", "/open/1"}) {
    const bool is_public = path == std::string("/open/1");
    CAPTURE(path);
    CHECK(caller
              .CallWith(path,
                        "api-key: key-1b\r\nx-tenant: second\r\nX-Tenant: third\r\n"
                        "Connection: X-Tenant, Api-Key\r\n")
              .starts_with("HTTP/1.1 200"));
    CHECK(std::ranges::count_if(desk.seen_headers, [](const wire::Header& header) {
            return header.value.find("key-1") != std::string::npos || header.value == "third" ||
                   header.value == "second";
          }) == 0);
    CHECK(FindHeader(desk.seen_headers, "X-Tenant") == (is_public ? "" : "first"));
    CHECK(FindHeader(desk.seen_headers, "Api-Key").empty());
  }
  CHECK(caller.Metrics().find("key-1") == std::string::npos);
}

TEST_CASE_FIXTURE(Fixture, "without accounts a caller's own account name is removed") {
  StartMesh();
  CHECK(caller.CallWith("/lots/1", "X-Tenant: first\r\nApi-Key: key-1\r\n")
            .starts_with("HTTP/1.1 200"));
  CHECK(FindHeader(desk.seen_headers, "X-Tenant").empty());
  CHECK(FindHeader(desk.seen_headers, "Api-Key").empty());
}

TEST_CASE_FIXTURE(Fixture, "each request of a connection needs its own key") {
  store.Put("keyed.op", "config", AccountsText(1, R"("key-1")"));
  CHECK(desk.Announce("ready", 1).starts_with("HTTP/1.1 200"));
  REQUIRE(caller.CallUntil("/open/1", "200"));
  const int before = desk.executions;
  const auto [first, second] = caller.CallTwice(kFirstKey, "");
  CHECK(first.starts_with("HTTP/1.1 200"));
  // A node whose proof is older than 2 s at this moment answers 503.
  CHECK((second.starts_with("HTTP/1.1 401") || second.starts_with("HTTP/1.1 503")));
  CHECK(desk.executions == before + 1);
  CHECK(caller.CallUntil("/lots/1", "401"));
  CHECK(caller.CallWith("/lots/1", std::string(kFirstKey) + kFirstKey).substr(9, 3) != "200");
  CHECK(desk.executions == before + 1);
}

// Guards against serving a removed key at a node that is cut off from the store.
TEST_CASE_FIXTURE(Fixture, "with strict revocation keys are refused while the store is silent") {
  TestNode strict(loop, store.address(), "strict-node", "store", 1000, 6000, true);
  Stopper strict_stopper{loop};
  store.Put("keyed.op", "config", AccountsText(1, R"("key-1")"));
  CHECK(desk.Announce("ready", 1).starts_with("HTTP/1.1 200"));
  REQUIRE(strict.CallUntil("/open/1", "200"));
  CHECK(strict.CallWith("/lots/1", kFirstKey).starts_with("HTTP/1.1 200"));
  store.SetSilent(true);
  const auto silent_since = std::chrono::steady_clock::now();
  store.Put("keyed.op", "config", AccountsText(2, ""));
  // The key is refused 5 s after its removal, and public routes are served.
  std::this_thread::sleep_until(silent_since + milliseconds(5000));
  const int before = desk.executions;
  for (int i = 0; i < 5; ++i) {
    const std::string response = strict.CallWith("/lots/1", kFirstKey);
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(response.find("Retry-After: 0.") != std::string::npos);
  }
  CHECK(desk.executions == before);
  CHECK(strict.Call("/open/1").starts_with("HTTP/1.1 200"));
  store.SetSilent(false);
  CHECK(strict.CallUntil("/lots/1", "401"));
  CHECK(strict.CallWith("/lots/1", "Api-Key: key-2\r\n").starts_with("HTTP/1.1 200"));
}

// Guards against serving a key whose removal was lost when the store was restored, also at a node
// that starts only then.
TEST_CASE("a restored store gives no proof until a configuration is written again") {
  edge::LoopThread loop;
  FakeStore store(loop);
  store.SetEpoch(1);
  store.Put("keyed.op", "config", AccountsText(1, R"("key-1")"));
  TestNode desk(loop, store.address(), "desk-node", "desk", 1000, 6000, true);
  Fixture::Stopper stopper{loop};
  CHECK(desk.Announce("ready", 1).starts_with("HTTP/1.1 200"));
  REQUIRE(desk.CallUntil("/open/1", "200"));
  CHECK(desk.CallWith("/lots/1", kFirstKey).starts_with("HTTP/1.1 200"));
  store.Put("keyed.op", "config", AccountsText(2, ""));
  store.Restore("keyed.op", 1);
  desk.RestartNode();
  CHECK(desk.Announce("ready", 2).starts_with("HTTP/1.1 200"));
  REQUIRE(desk.CallUntil("/open/1", "200"));
  const int before = desk.executions;
  for (int i = 0; i < 10; ++i) {
    CHECK(desk.CallWith("/lots/1", kFirstKey).starts_with("HTTP/1.1 503"));
    std::this_thread::sleep_for(milliseconds(200));
  }
  CHECK(desk.executions == before);
  store.Put("keyed.op", "config", AccountsText(3, ""));
  CHECK(desk.CallUntil("/lots/1", "401"));
  CHECK(desk.CallWith("/lots/1", "Api-Key: key-2\r\n").starts_with("HTTP/1.1 200"));
}

std::string OrderText(const std::string& version, double duration_s) {
  return R"({"service":"desk","target_version":")" + version + R"(","duration_s":)" +
         std::to_string(duration_s) + "}";
}

/// Two targets of the service, of which the second one runs the new version.
struct RolloutFixture : Fixture {
  /// Calls until the operator sees this state; false after `timeout`.
  bool CallUntilState(const std::string& state, Duration timeout) {
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < end) {
      caller.Call("/lots/1");
      const std::string status = store.Newest("keyed.status", "rollout/desk");
      if (status.find("\"" + state + "\"") != std::string::npos) {
        return true;
      }
    }
    return false;
  }
  void Order(double duration_s) {
    desk2.software = "v2";
    store.Put("keyed.op", "rollout/desk", OrderText("v2", duration_s));
    CHECK(CallUntilState("running", seconds(20)));
    CHECK(desk2.Announce("ready", 1).starts_with("HTTP/1.1 200"));
  }
};

// Guards against a bad version that goes on getting requests, from the order in the store to the
// nodes.
TEST_CASE_FIXTURE(RolloutFixture, "a version that responds with errors is rolled back") {
  StartMesh();
  desk2.responds_500 = true;
  Order(120);
  REQUIRE(CallUntilState("rolled_back", seconds(60)));
  CHECK(desk2.executions < 60);
  std::this_thread::sleep_for(milliseconds(500));
  const int before = desk2.executions;
  for (int i = 0; i < 50; ++i) {
    CHECK(caller.Call("/lots/1").starts_with("HTTP/1.1 200"));
  }
  CHECK(desk2.executions == before);
}

// Guards against a roll-out that stops half-way, and old targets that get requests when the
// operator may have stopped them.
TEST_CASE_FIXTURE(RolloutFixture,
                  "a good version gets all requests and the roll-out is completed") {
  StartMesh();
  Order(12);
  REQUIRE(CallUntilState("completed", seconds(30)));
  const int before = desk.executions;
  for (int i = 0; i < 50; ++i) {
    CHECK(caller.Call("/lots/1").find("from desk2-node") != std::string::npos);
  }
  CHECK(desk.executions == before);
}

TEST_CASE_FIXTURE(RolloutFixture, "a malformed roll-out order is ignored") {
  StartMesh();
  store.Put("keyed.op", "rollout/desk", R"({"service":"desk","target_version":7})");
  store.Put("keyed.op", "rollout/other", OrderText("v2", 10));
  // Once this is in effect, the records before it were read too.
  store.Put("keyed.op", "config", ConfigText(2, "/slots/"));
  REQUIRE(caller.CallUntil("/slots/1", "200"));
  CHECK(caller.Metrics().find("rollout_orders") == std::string::npos);
  CHECK(store.Newest("keyed.status", "rollout/desk").empty());
}

}  // namespace
}  // namespace limpet::platform
