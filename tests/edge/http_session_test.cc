#include "limpet/edge/http_session.h"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "edge/loop_thread.h"
#include "edge/raw_client.h"
#include "net/loopback.h"

namespace limpet::edge {
namespace {

using std::chrono::milliseconds;

/// A server that responds to each request with its method, target and body.
struct Fixture {
  LoopThread loop;
  CallerLimits limits{.max_header_bytes = 2000,
                      .max_body_bytes = 100,
                      .header_timeout = milliseconds(200),
                      .idle_timeout = milliseconds(600)};
  std::atomic<int> requests{0};
  TestServer server{loop,
                    {"127.0.0.1", FreePort()},
                    [this](const HttpSessionPtr& session) {
                      ++requests;
                      const HttpRequest& request = session->request();
                      session->Respond(TextResponse(
                          200, request.method + " " + request.target + " " + request.body));
                    },
                    limits};
  RawClient client{server.port()};

  bool ReceivesStatus(const std::string& status) {
    return client.ReadResponse().starts_with("HTTP/1.1 " + status);
  }
};

TEST_CASE_FIXTURE(Fixture, "pipelined requests get their responses in order") {
  client.Send(
      "GET /a?x=%20 HTTP/1.1\r\nHost: h\r\n\r\nPOST /b HTTP/1.1\r\nHost: h\r\n"
      "Content-Length: 2\r\n\r\nhi");
  CHECK(client.ReadResponse().ends_with("GET /a?x=%20 "));
  CHECK(client.ReadResponse().ends_with("POST /b hi"));
}

// Guards against a request that is dispatched twice, and its response that goes to a later request,
// when a caller sends the next request before the response.
TEST_CASE("requests that arrive while one is pending are dispatched once and in order") {
  LoopThread loop;
  std::vector<std::string> targets;
  std::vector<HttpSessionPtr> pending;
  TestServer server{loop, {"127.0.0.1", FreePort()}, [&](const HttpSessionPtr& session) {
                      targets.push_back(session->request().target);
                      pending.push_back(session);
                    }};
  RawClient client(server.port());
  const auto send = [&](const std::string& target) {
    client.Send("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(milliseconds(30));
  };
  const auto respond = [&] {
    loop.Run([&] {
      if (!pending.empty()) {
        const HttpSessionPtr session = pending.front();
        pending.erase(pending.begin());
        session->Respond(TextResponse(200, "to " + session->request().target));
      }
    });
    return client.ReadResponse();
  };
  send("/a");
  send("/b");
  CHECK(loop.Run([&] { return targets.size(); }) == 1);
  CHECK(respond().ends_with("to /a"));
  send("/c");
  CHECK(respond().ends_with("to /b"));
  CHECK(respond().ends_with("to /c"));
  std::this_thread::sleep_for(milliseconds(30));
  CHECK(loop.Run([&] { return targets; }) == std::vector<std::string>{"/a", "/b", "/c"});
  loop.Stop();
}

TEST_CASE_FIXTURE(Fixture, "a chunked body is decoded") {
  client.Send("POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n");
  client.Send("3\r\nllo\r\n0\r\n\r\n");
  CHECK(client.ReadResponse().ends_with("POST /c hello"));
}

TEST_CASE_FIXTURE(Fixture, "malformed requests get 400 and a closed connection") {
  SUBCASE("garbage") {
    client.Send("\x01\x02\x03 nonsense\r\n\r\n");
  }
  SUBCASE("two lengths") {
    client.Send("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab");
  }
  SUBCASE("negative length") {
    client.Send("POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n");
  }
  SUBCASE("length beside chunks") {
    client.Send(
        "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
        "0\r\n\r\n");
  }
  const std::string text = client.ReadAll();
  CHECK(text.starts_with("HTTP/1.1 400"));
  CHECK(requests == 0);
}

TEST_CASE_FIXTURE(Fixture, "oversized headers get 431") {
  client.Send("GET / HTTP/1.1\r\nX-Long: " + std::string(3000, 'x') + "\r\n\r\n");
  CHECK(client.ReadAll().starts_with("HTTP/1.1 431"));
  CHECK(requests == 0);
}

TEST_CASE_FIXTURE(Fixture, "an oversized body gets 413") {
  client.Send("POST / HTTP/1.1\r\nContent-Length: 1000\r\n\r\n");
  CHECK(client.ReadAll().starts_with("HTTP/1.1 413"));
  CHECK(requests == 0);
}

// Guards against memory that grows with a line that never ends.
TEST_CASE_FIXTURE(Fixture, "a chunk extension without end is refused") {
  client.Send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;x=");
  client.Send(std::string(1'000'000, 'a'));
  const std::string text = client.ReadAll();
  CHECK((text.starts_with("HTTP/1.1 431") || text.starts_with("HTTP/1.1 400")));
  CHECK(requests == 0);
}

TEST_CASE_FIXTURE(Fixture, "headers that are not complete in time get 408") {
  client.Send("GET / HTTP/1.1\r\nHost:");
  CHECK(client.ReadAll().starts_with("HTTP/1.1 408"));
}

TEST_CASE_FIXTURE(Fixture, "an idle connection is closed without a response") {
  client.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(ReceivesStatus("200"));
  CHECK(client.ReadAll().empty());
}

// Many uploads at once on a VM with little memory.
TEST_CASE("request bodies beyond the budget get 503 while they are received") {
  LoopThread loop;
  std::vector<HttpSessionPtr> pending;
  CallerLimits limits;
  limits.max_body_bytes = std::size_t{64} << 20;
  TestServer server(
      loop, {"127.0.0.1", FreePort()},
      [&pending](const HttpSessionPtr& session) { pending.push_back(session); }, limits,
      CallerMemoryLimits{.body_bytes = 300'000});
  const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n";
  RawClient first(server.port());
  first.Send(head + std::string(200'000, 'x'));
  while (loop.Run([&pending] { return pending.empty(); })) {
    std::this_thread::sleep_for(milliseconds(2));
  }
  RawClient second(server.port());
  second.Send(head + std::string(150'000, 'x'));
  CHECK(second.ReadAll().starts_with("HTTP/1.1 503"));
  loop.Run([&pending] {
    CHECK(pending.size() == 1);
    pending[0]->Respond(TextResponse(200, "ok"));
  });
  CHECK(first.ReadResponse().starts_with("HTTP/1.1 200"));
  RawClient third(server.port());
  third.Send(head + std::string(200'000, 'x'));
  for (int i = 0; i < 1000 && loop.Run([&pending] { return pending.size() < 2; }); ++i) {
    std::this_thread::sleep_for(milliseconds(2));
  }
  loop.Run([&pending] {
    REQUIRE(pending.size() == 2);
    pending[1]->Respond(TextResponse(200, "ok"));
  });
  CHECK(third.ReadResponse().starts_with("HTTP/1.1 200"));
  loop.Stop();
}

constexpr const char* kGetLong = "GET /long HTTP/1.1\r\nHost: h\r\n\r\n";

/// Sends requests until the responses fill the buffers of the kernel and one of them waits, so that
/// the server holds at least `min_bytes` for 50 turns of its loop.
void SendUntilStalled(LoopThread& loop,
                      const TestServer& server,
                      RawClient& client,
                      std::size_t min_bytes) {
  constexpr int kTurns = 50;
  for (int i = 0; i < 200; ++i) {
    client.Send(kGetLong);
    int turns = 0;
    do {
      std::this_thread::sleep_for(milliseconds(2));
    } while (loop.Run([&server] { return server.memory().bytes(); }) >= min_bytes &&
             ++turns < kTurns);
    if (turns == kTurns) {
      return;
    }
  }
  FAIL("no response waits for its caller");
}

/// A server with room for two responses of 400 kB.
struct LongResponseFixture {
  LoopThread loop;
  TestServer server{loop,
                    {"127.0.0.1", FreePort()},
                    [](const HttpSessionPtr& session) {
                      session->Respond(TextResponse(200, std::string(400'000, 'x')));
                    },
                    {},
                    CallerMemoryLimits{.total_bytes = 1'000'000}};
};

// Guards against responses that are held for any number of callers that do not read.
TEST_CASE_FIXTURE(LongResponseFixture,
                  "the caller that does not read for longest is closed first") {
  RawClient first(server.port());
  SendUntilStalled(loop, server, first, 400'000);
  RawClient second(server.port());
  SendUntilStalled(loop, server, second, 800'000);
  RawClient third(server.port());
  third.Send(kGetLong);
  CHECK(third.ReadResponse().ends_with("xxx"));
  loop.Run([this] {
    CHECK(server.memory().totals().closed_writing == 1);
    CHECK(server.memory().connections() == 2);
  });
}

// Guards against a node that reads what it cannot serve: requests sent ahead stay in the kernel.
TEST_CASE_FIXTURE(LongResponseFixture, "nothing is read while a response waits for its caller") {
  RawClient client(server.port());
  SendUntilStalled(loop, server, client, 400'000);
  const auto bytes = [this] { return loop.Run([this] { return server.memory().bytes(); }); };
  const std::size_t before = bytes();
  for (int i = 0; i < 20; ++i) {
    client.Send("GET /" + std::string(5000, 'y') + " HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(milliseconds(2));
  }
  CHECK(bytes() <= before + 16'384);
}

// Guards against a request that is taken in while other requests hold the memory. Its refusal tells
// the caller that it did not run.
TEST_CASE("a request is refused with 503 while pending requests hold the memory") {
  LoopThread loop;
  std::vector<HttpSessionPtr> pending;
  TestServer server(
      loop, {"127.0.0.1", FreePort()},
      [&pending](const HttpSessionPtr& session) { pending.push_back(session); }, {},
      CallerMemoryLimits{.total_bytes = 300'000});
  RawClient first(server.port());
  RawClient second(server.port());
  first.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" +
             std::string(200'000, 'x'));
  for (int i = 0; i < 1000 && loop.Run([&pending] { return pending.empty(); }); ++i) {
    std::this_thread::sleep_for(milliseconds(2));
  }
  second.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" +
              std::string(60'000, 'x'));
  const std::string refusal = second.ReadAll();
  CHECK(refusal.starts_with("HTTP/1.1 503"));
  CHECK(refusal.find("Retry-After: 0.") != std::string::npos);
  loop.Run([&pending] {
    REQUIRE(pending.size() == 1);
    pending[0]->Respond(TextResponse(200, "ok"));
    pending.clear();
  });
  CHECK(first.ReadResponse().starts_with("HTTP/1.1 200"));
  loop.Stop();
}

TEST_CASE("a disconnect of the caller is detected while its request is pending") {
  LoopThread loop;
  std::promise<void> disconnected;
  HttpSessionPtr pending;
  TestServer server(loop, {"127.0.0.1", FreePort()}, [&](const HttpSessionPtr& session) {
    pending = session;
    session->SetDisconnectHandler([&disconnected] { disconnected.set_value(); });
  });
  RawClient client(server.port());
  client.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  client.Close();
  CHECK(disconnected.get_future().wait_for(std::chrono::seconds(5)) == std::future_status::ready);
  loop.Run([&pending] {
    // The caller has disconnected, so this has no effect.
    pending->Respond(TextResponse(200, "late"));
    pending.reset();
  });
}

/// A server that keeps its requests until the test answers them, up to eight of one connection.
struct PipelineFixture {
  LoopThread loop;
  std::vector<std::string> targets;
  std::map<std::string, HttpSessionPtr> pending;
  int disconnects = 0;
  TestServer server{loop,
                    {"127.0.0.1", FreePort()},
                    [this](const HttpSessionPtr& session) {
                      const std::string target = session->request().target;
                      targets.push_back(target);
                      pending[target] = session;
                      session->SetDisconnectHandler([this] { ++disconnects; });
                    },
                    {},
                    CallerMemoryLimits{},
                    8};
  RawClient client{server.port()};

  ~PipelineFixture() { loop.Stop(); }

  void Send(const std::string& method, const std::string& target, const std::string& headers = "") {
    client.Send(method + " " + target + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n");
  }
  void Respond(const std::string& target) {
    loop.Run([&] {
      const HttpSessionPtr session = pending.at(target);
      pending.erase(target);
      session->Respond(TextResponse(200, "to " + target));
    });
  }
  /// Waits until `count` requests were passed on, and some time for any further ones.
  std::vector<std::string> WaitForTargets(std::size_t count) {
    for (int i = 0; i < 200 && loop.Run([&] { return targets.size(); }) < count; ++i) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    std::this_thread::sleep_for(milliseconds(50));
    return loop.Run([&] { return targets; });
  }
};

using Targets = std::vector<std::string>;

// Guards against requests of one connection that wait for each other although their order does not
// matter, and against responses that are written in the order in which they become ready.
TEST_CASE_FIXTURE(PipelineFixture, "safe requests run side by side and are answered in order") {
  Send("GET", "/a");
  Send("GET", "/b");
  Send("HEAD", "/c");
  CHECK(WaitForTargets(3) == Targets{"/a", "/b", "/c"});
  Respond("/c");
  Respond("/b");
  Respond("/a");
  CHECK(client.ReadResponse().ends_with("to /a"));
  CHECK(client.ReadResponse().ends_with("to /b"));
}

// Guards against a request that changes something running before or beside an earlier one.
TEST_CASE_FIXTURE(PipelineFixture, "an unsafe request waits for the responses before it") {
  Send("GET", "/a");
  Send("POST", "/b", "Content-Length: 0\r\n");
  Send("GET", "/c");
  CHECK(WaitForTargets(1) == Targets{"/a"});
  Respond("/a");
  CHECK(WaitForTargets(2) == Targets{"/a", "/b"});
  Respond("/b");
  CHECK(WaitForTargets(3) == Targets{"/a", "/b", "/c"});
  Respond("/c");
  CHECK(client.ReadResponse().ends_with("to /a"));
  CHECK(client.ReadResponse().ends_with("to /b"));
  CHECK(client.ReadResponse().ends_with("to /c"));
}

// Guards against a caller that takes any number of requests at once.
TEST_CASE_FIXTURE(PipelineFixture, "eight requests of one connection run at once") {
  for (int i = 0; i < 12; ++i) {
    Send("GET", "/" + std::to_string(i));
  }
  CHECK(WaitForTargets(8).size() == 8);
  Respond("/7");
  CHECK(WaitForTargets(8).size() == 8);
  Respond("/0");
  CHECK(WaitForTargets(9).size() == 9);
}

// Guards against requests that are passed on behind a response that closes the connection: the
// caller sends them again.
TEST_CASE_FIXTURE(PipelineFixture, "nothing is passed on behind the end of a connection") {
  Send("GET", "/a");
  Send("GET", "/b", "Connection: close\r\n");
  Send("GET", "/c");
  CHECK(WaitForTargets(2) == Targets{"/a", "/b"});
  Respond("/b");
  Respond("/a");
  CHECK(client.ReadResponse().ends_with("to /a"));
  CHECK(client.ReadResponse().find("Connection: close") != std::string::npos);
  CHECK(WaitForTargets(2) == Targets{"/a", "/b"});
}

// Guards against a planned stop that closes a connection before all requests that were passed on
// have their responses, or passes further ones on.
TEST_CASE_FIXTURE(PipelineFixture, "a stopping server answers what it has passed on") {
  Send("GET", "/a");
  Send("GET", "/b");
  CHECK(WaitForTargets(2) == Targets{"/a", "/b"});
  loop.Run([this] { server.set_closing(true); });
  Send("GET", "/c");
  Respond("/a");
  CHECK(client.ReadResponse().find("Connection: close") == std::string::npos);
  Respond("/b");
  CHECK(client.ReadResponse().find("Connection: close") != std::string::npos);
  CHECK(WaitForTargets(2) == Targets{"/a", "/b"});
}

// Guards against requests that go on at the target after their caller has left.
TEST_CASE_FIXTURE(PipelineFixture, "a disconnect ends all requests of the connection") {
  Send("GET", "/a");
  Send("GET", "/b");
  CHECK(WaitForTargets(2).size() == 2);
  client.Close();
  for (int i = 0; i < 200 && loop.Run([this] { return disconnects; }) < 2; ++i) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  CHECK(loop.Run([this] { return disconnects; }) == 2);
}

// Guards against a refusal that is taken for the response to an earlier request.
TEST_CASE_FIXTURE(PipelineFixture, "a malformed request is refused after the responses before it") {
  Send("GET", "/a");
  client.Send("nonsense\r\n\r\n");
  CHECK(WaitForTargets(1) == Targets{"/a"});
  Respond("/a");
  CHECK(client.ReadResponse().ends_with("to /a"));
  CHECK(client.ReadResponse().starts_with("HTTP/1.1 400"));
}

}  // namespace
}  // namespace limpet::edge
