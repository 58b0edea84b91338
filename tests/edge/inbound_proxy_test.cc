#include "limpet/edge/inbound_proxy.h"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <thread>
#include <vector>

#include "edge/loop_thread.h"
#include "limpet/registry/target_registry.h"
#include "net/scripted_http_server.h"

namespace limpet::edge {
namespace {

class RecordingSink final : public ReplySink {
 public:
  explicit RecordingSink(std::vector<wire::LinkReply>& replies) : replies_(replies) {}
  bool IsOpen() const override { return true; }
  void Deliver(wire::LinkReply reply, std::string /*body*/) override {
    replies_.push_back(std::move(reply));
  }

 private:
  std::vector<wire::LinkReply>& replies_;
};

/// Sends calls to a scripted target, one after the other.
struct Fixture {
  LoopThread loop;
  HttpHeaderNames header_names;
  Counters counters;
  TargetGate gate{TargetGateOptions{}};
  InboundProxy proxy{loop.executor(), header_names, gate, counters, {}, [] {}};
  std::vector<wire::LinkReply> replies;

  ~Fixture() { loop.Stop(); }

  void UseTarget(const ScriptedHttpServer& server) {
    TargetAnnouncement target;
    target.instance = "i-1";
    target.service = "desk";
    target.address = "127.0.0.1:" + std::to_string(server.port());
    target.slots = 2;
    loop.Run([&] { proxy.SetTarget(&target); });
  }
  wire::LinkReply Call(const std::string& request_id) {
    const std::size_t expected = replies.size() + 1;
    wire::LinkCall call;
    call.request_id = request_id;
    call.service_name = "desk";
    call.instance = "i-1";
    call.method = "POST";
    call.path = "/";
    call.deadline_ms = 1000;
    call.latency_target_ms = 500;
    loop.Run([&] {
      proxy.Call("node/1/" + request_id, call, "body", std::make_shared<RecordingSink>(replies));
    });
    while (loop.Run([&] { return replies.size(); }) < expected) {
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return replies.back();
  }
};

std::string Response(const std::string& status, const std::string& headers) {
  return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: 0\r\n\r\n";
}

const std::string kRefusalHeader = "X-Limpet-Target-Not-Run: 1\r\n";

// Guards against a target that sends an earlier refusal once more on a kept connection: the caller
// was told "not run" for a request that the target executes.
TEST_CASE_FIXTURE(Fixture, "a repeated refusal does not answer a later request") {
  std::string id_of_copy;
  SUBCASE("with the id of the earlier request") {
    id_of_copy = "X-Request-Id: a\r\n";
  }
  SUBCASE("without an id") {}
  ScriptedHttpServer server([&](int request) -> ScriptedHttpServer::Response {
    if (request == 0) {
      return {Response("503 Unavailable", kRefusalHeader + "X-Request-Id: a\r\n"), false};
    }
    return {Response("503 Unavailable", kRefusalHeader + id_of_copy) +
                Response("200 OK", "X-Request-Id: b\r\n"),
            false};
  });
  UseTarget(server);
  CHECK(Call("a").outcome == wire::Outcome::kNotRun);
  const wire::LinkReply reply = Call("b");
  CHECK(reply.outcome == wire::Outcome::kRan);
  CHECK(reply.http_status == 200);
  CHECK(server.requests_received() == 2);
}

TEST_CASE_FIXTURE(Fixture,
                  "a connection to a target that does not echo the request id is not kept") {
  ScriptedHttpServer server([](int) {
    return ScriptedHttpServer::Response{Response("200 OK", ""), false};
  });
  UseTarget(server);
  CHECK(Call("a").outcome == wire::Outcome::kRan);
  CHECK(Call("b").outcome == wire::Outcome::kRan);
  for (int i = 0; i < 200 && server.closed_by_client() == 0; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  CHECK(server.closed_by_client() >= 1);
}

}  // namespace
}  // namespace limpet::edge
