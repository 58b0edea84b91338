#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>

#include "crowd/crowd.h"
#include "crowd/node_process.h"
#include "edge/loop_thread.h"
#include "edge/raw_client.h"
#include "net/loopback.h"
#include "platform/fake_store.h"

namespace limpet {
namespace {

using std::chrono::milliseconds;

/// Memory limit in the settings of the nodes under test.
constexpr int kMemoryMb = 32;
/// Bound on the resident set.
constexpr int64_t kMaxMemoryKb = kMemoryMb * 1000;
/// Clients that send requests ahead, and how many each sends. The programs without a bound took
/// 30 MB with half as many clients.
constexpr int kClients = 200;
constexpr int kRequestsPerClient = 4000;
constexpr int kMaxDescriptors = 1024;
/// Length of the responses to slow readers.
constexpr std::size_t kLongResponseBytes = 500'000;
constexpr int kLongResponsesPerClient = 12;
constexpr int kSlowReaders = 100;

// The memory of a program with sanitizers shows nothing about the product.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool kChecksMemory = false;
#else
constexpr bool kChecksMemory = true;
#endif

std::string Repeat(const std::string& text, int count) {
  std::string result;
  for (int i = 0; i < count; ++i) {
    result += text;
  }
  return result;
}

std::string MakeGet(const std::string& path) {
  return "GET " + path + " HTTP/1.1\r\nHost: desk.example\r\n\r\n";
}

/// Sends one request on a new connection.
std::string Send(int port, const std::string& request) {
  RawClient client(port);
  client.Send(request);
  return client.ReadResponse();
}

/// Repeats a request every 50 ms until the response has this status; false after 200 requests.
bool SendUntil(int port, const std::string& request, const std::string& status) {
  for (int i = 0; i < 200; ++i) {
    if (Send(port, request).starts_with("HTTP/1.1 " + status)) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
  return false;
}

/// Waits until the peak of the memory has not risen for a second, at most for 30 s.
void WaitForSteadyMemory(const NodeProcess& node) {
  int64_t peak = node.PeakMemoryKb();
  int steady_rounds = 0;
  for (int i = 0; i < 300 && steady_rounds < 10; ++i) {
    std::this_thread::sleep_for(milliseconds(100));
    const int64_t now = node.PeakMemoryKb();
    steady_rounds = now == peak ? steady_rounds + 1 : 0;
    peak = now;
  }
}

void CheckWithinLimits(const NodeProcess& node, int64_t max_memory_kb, int max_descriptors) {
  REQUIRE(node.IsRunning());
  MESSAGE("peak memory " << node.PeakMemoryKb() << " kB, descriptors " << node.CountDescriptors());
  if (kChecksMemory) {
    CHECK(node.PeakMemoryKb() <= max_memory_kb);
  }
  CHECK(node.CountDescriptors() <= max_descriptors);
}

/// A `limpetd-platform` process with stand-ins for its store and its target.
class PlatformNode {
 public:
  explicit PlatformNode(int max_descriptors = kMaxDescriptors)
      : target_(loop_,
                {"127.0.0.1", FreePort()},
                [](const edge::HttpSessionPtr& session) { Serve(session); }),
        process("limpetd-platform", MakeSettings(), max_descriptors) {}
  ~PlatformNode() { loop_.Stop(); }
  PlatformNode(const PlatformNode&) = delete;
  PlatformNode& operator=(const PlatformNode&) = delete;

  /// Publishes a configuration with one route and announces the target.
  void StartService() {
    store_.Put(
        "keyed.op", "config",
        R"({"version":"r1","resources":[{"resource_type":"routes","metadata":{"name":"r1"},)"
        R"("specification":{"host":"desk.example","path_prefix":"/lots/","kind":"idempotent",)"
        R"("timeout_ms":20000,"target_latency_ms":10000,"priority":1,"service":"desk",)"
        R"("attempts":2}},{"resource_type":"services","metadata":{"name":"desk"},)"
        R"("specification":{"health_check_path":"/health","max_connections":130}}]})");
    REQUIRE(SendUntil(outbound_port, MakeGet("/none"), "404"));
    const std::string body = R"({"service":"desk","address":"127.0.0.1:)" +
                             std::to_string(target_.port()) +
                             R"(","zone":"a","version":"v1","slots":8,"state":"ready",)"
                             R"("cold_remaining_ms":0,"born":1,"sequence":1})";
    CHECK(Send(announcement_port_,
               "PUT /instances/i-desk HTTP/1.1\r\nHost: desk.example\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body)
              .starts_with("HTTP/1.1 200"));
    REQUIRE(SendUntil(outbound_port, MakeGet("/lots/short"), "200"));
  }

  const int outbound_port = FreePort();
  const int readiness_port = FreePort();

 private:
  std::string MakeSettings() const {
    const auto address = [](int port) { return "127.0.0.1:" + std::to_string(port) + "\n"; };
    return "[node]\nname = n0\ndata_centre = a\nservice = desk\nhost = 127.0.0.1\n[edge]\n"
           "outbound = " +
           address(outbound_port) + "readiness = " + address(readiness_port) +
           "announcements = " + address(announcement_port_) +
           "target = " + address(target_.port()) + "store = " + address(store_.address().port) +
           "memory_mb = " + std::to_string(kMemoryMb) +
           "\nlink_port = " + std::to_string(link_port_) +
           "\nmetrics_port = " + std::to_string(metrics_port_) + "\n";
  }

  static void Serve(const edge::HttpSessionPtr& session) {
    const HttpRequest& request = session->request();
    HttpResponse response =
        TextResponse(200, request.path == "/lots/long" ? std::string(kLongResponseBytes, 'x') : "");
    response.headers.push_back(MakeHeader("X-Instance-Id", "i-desk"));
    response.headers.push_back(MakeHeader("X-Request-Id", request.Header("X-Request-Id")));
    response.headers.push_back(MakeHeader("X-Server-Signature", "signed"));
    session->Respond(std::move(response));
  }

  const int announcement_port_ = FreePort();
  const int link_port_ = FreePort();
  const int metrics_port_ = FreePort();
  edge::LoopThread loop_;
  platform::FakeStore store_{loop_};
  edge::TestServer target_;

 public:
  NodeProcess process;
};

// Guards against a session that reads further requests without a bound before it parses them.
TEST_CASE("requests sent ahead at the readiness path stay within the memory limit") {
  PlatformNode node;
  node.StartService();
  Crowd crowd(node.readiness_port, kClients, Repeat(MakeGet("/readiness"), kRequestsPerClient),
              4096);
  crowd.SendAll();
  WaitForSteadyMemory(node.process);
  CheckWithinLimits(node.process, kMaxMemoryKb, kMaxDescriptors);
  CHECK(Send(node.readiness_port, MakeGet("/readiness")).starts_with("HTTP/1.1 200"));
}

TEST_CASE("requests sent ahead without a route stay within the memory limit") {
  PlatformNode node;
  node.StartService();
  Crowd crowd(node.outbound_port, kClients, Repeat(MakeGet("/none"), kRequestsPerClient), 4096);
  crowd.SendAll();
  WaitForSteadyMemory(node.process);
  CheckWithinLimits(node.process, kMaxMemoryKb, kMaxDescriptors);
  CHECK(Send(node.outbound_port, MakeGet("/lots/short")).starts_with("HTTP/1.1 200"));
}

// Guards against responses that are held completely for any number of slow readers.
TEST_CASE("long responses to slow readers stay within the memory limit") {
  PlatformNode node;
  node.StartService();
  Crowd crowd(node.outbound_port, kSlowReaders,
              Repeat(MakeGet("/lots/long"), kLongResponsesPerClient), 4096);
  crowd.SendAll();
  for (int i = 0; i < 20; ++i) {
    crowd.ReadSome(512);
    std::this_thread::sleep_for(milliseconds(50));
  }
  WaitForSteadyMemory(node.process);
  CheckWithinLimits(node.process, kMaxMemoryKb, kMaxDescriptors);
  CHECK(SendUntil(node.outbound_port, MakeGet("/lots/short"), "200"));
}

// Guards against idle connections that use up the descriptors, so that nobody else is accepted.
TEST_CASE("idle connections leave descriptors for other callers") {
  constexpr int kFewDescriptors = 256;
  PlatformNode node(kFewDescriptors);
  node.StartService();
  const Crowd crowd(node.outbound_port, kFewDescriptors + kClients, "", 4096);
  WaitForSteadyMemory(node.process);
  CheckWithinLimits(node.process, kMaxMemoryKb, kFewDescriptors - 16);
  CHECK(Send(node.outbound_port, MakeGet("/lots/short")).starts_with("HTTP/1.1 200"));
  CHECK(Send(node.readiness_port, MakeGet("/readiness")).starts_with("HTTP/1.1 200"));
}

/// A `limpetd` process that knows no other node and no log.
class ThreadedNode {
 public:
  explicit ThreadedNode(int max_descriptors = kMaxDescriptors)
      : process("limpetd",
                "[node]\nname = n0\ndata_centre = a\nservice = desk\nhost = 127.0.0.1\n"
                "peer_port = " +
                    std::to_string(FreePort()) + "\nhttp_port = " + std::to_string(http_port) +
                    "\n[target]\nhost = 127.0.0.1\nport = " + std::to_string(FreePort()) +
                    "\n[edge]\nmemory_mb = " + std::to_string(kMemoryMb) + "\n",
                max_descriptors) {
    REQUIRE(SendUntil(http_port, MakeGet("/health"), "200"));
  }

  const int http_port = FreePort();
  NodeProcess process;
};

TEST_CASE("requests sent ahead to limpetd stay within the memory limit") {
  ThreadedNode node;
  Crowd crowd(node.http_port, kClients, Repeat(MakeGet("/none"), kRequestsPerClient), 4096);
  crowd.SendAll();
  WaitForSteadyMemory(node.process);
  CheckWithinLimits(node.process, kMaxMemoryKb, kMaxDescriptors);
  CHECK(SendUntil(node.http_port, MakeGet("/health"), "200"));
}

TEST_CASE("idle connections to limpetd leave descriptors for other callers") {
  constexpr int kFewDescriptors = 256;
  ThreadedNode node(kFewDescriptors);
  const Crowd crowd(node.http_port, kFewDescriptors + kClients, "", 4096);
  WaitForSteadyMemory(node.process);
  CheckWithinLimits(node.process, kMaxMemoryKb, kFewDescriptors - 16);
  CHECK(Send(node.http_port, MakeGet("/health")).starts_with("HTTP/1.1 200"));
}

}  // namespace
}  // namespace limpet
