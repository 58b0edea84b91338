#include "limpet/edge/inbound_proxy.h"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <thread>
#include <vector>

#include "edge/loop_thread.h"
#include "limpet/edge/link.h"
#include "limpet/registry/target_registry.h"
#include "net/loopback.h"
#include "net/scripted_http_server.h"

namespace limpet::edge {
namespace {

class RecordingSink final : public ReplySink {
 public:
  explicit RecordingSink(std::vector<wire::LinkReply>& replies, LinkPtr link = nullptr)
      : replies_(replies), link_(std::move(link)) {}
  bool IsOpen() const override { return true; }
  bool IsFor(const Link& link) const override { return link_.get() == &link; }
  void Deliver(wire::LinkReply reply, std::string /*body*/) override {
    replies_.push_back(std::move(reply));
  }

 private:
  std::vector<wire::LinkReply>& replies_;
  LinkPtr link_;
};

/// Sends calls to a scripted target, one after the other.
struct Fixture {
  LoopThread loop;
  HttpHeaderNames header_names;
  Counters counters;
  TargetGate gate{TargetGateOptions{}};
  InboundProxy proxy{loop.executor(), header_names, gate, counters, {}, [] {}};
  std::vector<wire::LinkReply> replies;
  std::size_t expected_replies = 0;

  ~Fixture() { loop.Stop(); }

  void UseTarget(int port) {
    TargetAnnouncement target;
    target.instance = "i-1";
    target.service = "desk";
    target.address = "127.0.0.1:" + std::to_string(port);
    target.slots = 2;
    loop.Run([&] { proxy.SetTarget(&target); });
  }
  static wire::LinkCall MakeCall(const std::string& request_id) {
    wire::LinkCall call;
    call.request_id = request_id;
    call.service_name = "desk";
    call.instance = "i-1";
    call.method = "POST";
    call.path = "/";
    call.deadline_ms = 1000;
    call.latency_target_ms = 500;
    return call;
  }
  wire::LinkReply Call(const std::string& request_id) {
    loop.Run([&] {
      proxy.Call("node/1/" + request_id, MakeCall(request_id), "body",
                 std::make_shared<RecordingSink>(replies));
    });
    return WaitForReply();
  }
  /// Returns the next reply that was not returned before.
  wire::LinkReply WaitForReply() {
    ++expected_replies;
    while (loop.Run([&] { return replies.size(); }) < expected_replies) {
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return loop.Run([&] { return replies.at(expected_replies - 1); });
  }
  LinkPtr MakeLink() {
    return loop.Run([this] { return std::make_shared<Link>(TcpSocket(loop.executor())); });
  }
  /// Starts the call "a", whose body of 8 bytes follows on `link`.
  void StartUpload(const LinkPtr& link) {
    loop.Run([&] {
      wire::LinkCall call = MakeCall("a");
      call.body_bytes = 8;
      proxy.Call("node/1/a", call, "", std::make_shared<RecordingSink>(replies, link));
    });
  }
  void AddBody(const LinkPtr& link, int64_t offset, const std::string& bytes) {
    loop.Run([&] { proxy.AddBody("node/1/a", *link, offset, bytes); });
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
  UseTarget(server.port());
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
  UseTarget(server.port());
  CHECK(Call("a").outcome == wire::Outcome::kRan);
  CHECK(Call("b").outcome == wire::Outcome::kRan);
  for (int i = 0; i < 200 && server.closed_by_client() == 0; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  CHECK(server.closed_by_client() >= 1);
}

// Guards against a request that reaches a target again after the target has announced that it
// leaves: a response that is lost after some time of work was taken for an idle connection that
// had been closed before the request.
TEST_CASE_FIXTURE(Fixture, "a request whose response was lost is not sent to the target again") {
  bool draining = false;
  SUBCASE("the target goes on") {}
  SUBCASE("the target drains meanwhile") {
    draining = true;
  }
  ScriptedHttpServer server([&](int request) -> ScriptedHttpServer::Response {
    if (request == 0) {
      return {Response("200 OK", "X-Request-Id: a\r\n"), false};
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(150));
    return {"", true};
  });
  UseTarget(server.port());
  wire::LinkCall call = MakeCall("a");
  call.idempotent = true;
  const auto start = [&](const std::string& key) {
    loop.Run([&] { proxy.Call(key, call, "body", std::make_shared<RecordingSink>(replies)); });
  };
  start("node/1/a");
  CHECK(WaitForReply().outcome == wire::Outcome::kRan);
  start("node/1/b");
  if (draining) {
    loop.Run([&] { proxy.StartDraining(); });
  }
  const wire::LinkReply reply = WaitForReply();
  CHECK(reply.outcome == wire::Outcome::kUnknown);
  CHECK(reply.reason == wire::RefusalReason::kConnectionLost);
  CHECK(reply.reached_target);
  CHECK(server.requests_received() == 2);
}

/// A target that keeps the bodies of its requests.
struct UploadFixture : Fixture {
  std::vector<std::string> bodies;
  TestServer target{loop, {"127.0.0.1", FreePort()}, [this](const HttpSessionPtr& session) {
                      bodies.push_back(session->request().body);
                      HttpResponse response = TextResponse(200, "");
                      response.headers.push_back(
                          MakeHeader("X-Request-Id", session->request().Header("X-Request-Id")));
                      session->Respond(std::move(response));
                    }};

  UploadFixture() { UseTarget(target.port()); }
};

// Guards against a body with its later part first: after a freeze of this node, the caller's node
// sends the call again on a new link, and parts from the old link are still on their way.
TEST_CASE_FIXTURE(UploadFixture, "parts of a body from an earlier link are dropped") {
  const LinkPtr earlier = MakeLink();
  const LinkPtr current = MakeLink();
  StartUpload(earlier);
  AddBody(earlier, 0, "abcd");
  StartUpload(current);
  AddBody(earlier, 4, "efgh");
  AddBody(current, 0, "abcd");
  AddBody(current, 4, "efgh");
  CHECK(WaitForReply().outcome == wire::Outcome::kRan);
  CHECK(bodies == std::vector<std::string>{"abcdefgh"});
}

// Guards against a body that has the announced length but a gap or a repeat.
TEST_CASE_FIXTURE(UploadFixture, "a body with a gap or a repeat is not passed on") {
  int64_t second_offset = 0;
  SUBCASE("repeat") {
    second_offset = 0;
  }
  SUBCASE("overlap") {
    second_offset = 3;
  }
  SUBCASE("gap") {
    second_offset = 5;
  }
  const LinkPtr link = MakeLink();
  StartUpload(link);
  AddBody(link, 0, "abcd");
  AddBody(link, second_offset, "efgh");
  CHECK(WaitForReply().outcome == wire::Outcome::kNotRun);
  CHECK(bodies.empty());
}

/// A target with two slots that keeps its requests without a response.
struct QueueFixture : Fixture {
  std::vector<HttpSessionPtr> running;
  TestServer target{loop, {"127.0.0.1", FreePort()}, [this](const HttpSessionPtr& session) {
                      running.push_back(session);
                    }};

  QueueFixture() { UseTarget(target.port()); }
  void StartCall(const std::string& request_id) {
    loop.Run([&] {
      wire::LinkCall call = MakeCall(request_id);
      call.usual_run_us = 1000;
      proxy.Call("node/1/" + request_id, call, "body", std::make_shared<RecordingSink>(replies));
    });
  }
  void WaitUntilRunning(std::size_t count) {
    while (loop.Run([&] { return running.size(); }) < count) {
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
  }
  void Withdraw(const std::string& request_id) {
    loop.Run([&] { proxy.Withdraw("node/1/" + request_id); });
  }
};

// Guards against a promise "not run" for a request that still waits here: a copy that was sent on
// an earlier link may also arrive after the withdrawal.
TEST_CASE_FIXTURE(QueueFixture, "a withdrawn call never runs, a running one goes on") {
  StartCall("a");
  StartCall("b");
  WaitUntilRunning(2);
  StartCall("c");
  Withdraw("a");
  CHECK(loop.Run([&] { return replies.empty(); }));
  Withdraw("c");
  wire::LinkReply reply = WaitForReply();
  CHECK(reply.outcome == wire::Outcome::kNotRun);
  CHECK_FALSE(reply.reached_target);
  StartCall("c");
  reply = WaitForReply();
  CHECK(reply.outcome == wire::Outcome::kNotRun);
  loop.Run([&] { running.front()->Respond(TextResponse(200, "")); });
  CHECK(WaitForReply().outcome == wire::Outcome::kRan);
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  CHECK(loop.Run([&] { return running.size(); }) == 2);
}

}  // namespace
}  // namespace limpet::edge
