#include "limpet/edge/repeated_exchange.h"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <thread>
#include <vector>

#include "edge/loop_thread.h"
#include "net/loopback.h"

namespace limpet::edge {
namespace {

using std::chrono::milliseconds;

constexpr Duration kResponseTime = milliseconds(100);
constexpr Duration kAttemptTimeout = milliseconds(350);

HttpRequest MakeRequest(const std::string& target) {
  HttpRequest request;
  request.target = target;
  return request;
}

/// A server that responds when a test asks for it, and an exchange with it.
struct Fixture {
  LoopThread loop;
  std::vector<HttpSessionPtr> requests;
  std::ptrdiff_t closed_by_client = 0;
  TestServer server{loop, {"127.0.0.1", FreePort()}, [this](const HttpSessionPtr& session) {
                      requests.push_back(session);
                      session->SetDisconnectHandler([this] { ++closed_by_client; });
                    }};
  std::vector<ExchangeResult> results;
  int repeats = 0;
  std::unique_ptr<RepeatedExchange> exchange = MakeExchange(server.port());

  ~Fixture() {
    loop.Run([this] { exchange.reset(); });
    loop.Stop();
  }
  std::unique_ptr<RepeatedExchange> MakeExchange(int port) {
    RepeatedExchangeOptions options;
    options.connection.peer = {"127.0.0.1", port};
    options.response_time = kResponseTime;
    options.attempt_timeout = kAttemptTimeout;
    options.on_repeat = [this](int /*attempts*/, Duration /*waited*/) { ++repeats; };
    return loop.Run(
        [&] { return std::make_unique<RepeatedExchange>(loop.executor(), std::move(options)); });
  }
  void Send(Duration wait = Duration(0)) {
    loop.Run([this, wait] {
      exchange->Send(MakeRequest("/first"), wait, MakeRequest("/repeat"),
                     [this](ExchangeResult result) { results.push_back(std::move(result)); });
    });
  }
  std::size_t CountRequests() {
    return loop.Run([this] { return requests.size(); });
  }
  /// Responds to the request with this index, in the order of arrival.
  void Respond(std::size_t index, const std::string& body) {
    loop.Run([this, index, &body] { requests.at(index)->Respond(TextResponse(200, body)); });
  }
  std::size_t CountResults() {
    std::this_thread::sleep_for(milliseconds(30));
    return loop.Run([this] { return results.size(); });
  }
};

// Guards against waiting for the response on a connection that returns nothing any more.
TEST_CASE_FIXTURE(Fixture, "a request without a response is repeated on a new connection") {
  Send();
  std::this_thread::sleep_for(milliseconds(150));
  REQUIRE(CountRequests() == 2);
  CHECK(requests[0]->request().path == "/first");
  CHECK(requests[1]->request().path == "/repeat");
  CHECK(requests[0] != requests[1]);
  Respond(1, "second");
  REQUIRE(CountResults() == 1);
  CHECK(results[0].response.body == "second");
  // The exchange has ended: neither repeats nor further results follow.
  std::this_thread::sleep_for(milliseconds(200));
  CHECK(CountRequests() == 2);
  CHECK(CountResults() == 1);
}

// Guards against starvation by a server that is slower than the usual response time.
TEST_CASE_FIXTURE(Fixture, "the response to an earlier attempt is accepted after a repeat") {
  Send();
  std::this_thread::sleep_for(milliseconds(250));
  CHECK(CountRequests() == 3);
  Respond(0, "slow");
  REQUIRE(CountResults() == 1);
  CHECK(results[0].response.body == "slow");
}

TEST_CASE_FIXTURE(Fixture,
                  "a request is repeated until there is a response, with few open attempts") {
  Send();
  std::this_thread::sleep_for(milliseconds(950));
  const std::size_t sent = CountRequests();
  CHECK(sent >= 7);
  CHECK(CountResults() == 0);
  const std::ptrdiff_t closed = loop.Run([this] { return closed_by_client; });
  CHECK(static_cast<std::ptrdiff_t>(sent) - closed <= kAttemptTimeout / kResponseTime + 1);
  Respond(sent - 1, "at last");
  CHECK(CountResults() == 1);
}

TEST_CASE_FIXTURE(Fixture, "a request that the server may hold back is repeated after that time") {
  Send(milliseconds(300));
  std::this_thread::sleep_for(milliseconds(330));
  CHECK(CountRequests() == 1);
  std::this_thread::sleep_for(milliseconds(120));
  CHECK(CountRequests() == 2);
  Respond(1, "");
  CHECK(CountResults() == 1);
}

TEST_CASE_FIXTURE(Fixture, "a connection that returned a response is used again") {
  Send();
  std::this_thread::sleep_for(milliseconds(30));
  Respond(0, "one");
  REQUIRE(CountResults() == 1);
  Send();
  std::this_thread::sleep_for(milliseconds(30));
  REQUIRE(CountRequests() == 2);
  CHECK(requests[0]->descriptor() == requests[1]->descriptor());
  Respond(1, "two");
  CHECK(CountResults() == 2);
  CHECK(loop.Run([this] { return repeats; }) == 0);
}

TEST_CASE_FIXTURE(Fixture, "a refused connection ends the exchange at once") {
  exchange = MakeExchange(FreePort());
  Send();
  REQUIRE(CountResults() == 1);
  CHECK(results[0].status == ExchangeStatus::kNotConnected);
}

TEST_CASE_FIXTURE(Fixture, "a cancelled exchange has no result and is not repeated") {
  Send();
  std::this_thread::sleep_for(milliseconds(150));
  loop.Run([this] { exchange->Cancel(); });
  const std::size_t sent = CountRequests();
  std::this_thread::sleep_for(milliseconds(250));
  CHECK(CountRequests() == sent);
  CHECK(CountResults() == 0);
}

}  // namespace
}  // namespace limpet::edge
