#include "limpet/net/target_client.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <doctest/doctest.h>

#include <atomic>
#include <thread>

#include "net/raw_peer.h"

namespace limpet {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(10);
const std::string kReply = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

HttpRequest Post() {
  HttpRequest request;
  request.method = "POST";
  request.path = "/";
  request.body = "body";
  return request;
}

bool Never() {
  return false;
}

ExchangeFailure FailureOf(int port, Duration timeout = kTimeout) {
  TargetClient client("127.0.0.1", port);
  try {
    client.Exchange(Post(), false, timeout, Never);
  } catch (const ExchangeError& error) {
    return error.failure();
  }
  FAIL("the exchange succeeded");
  return ExchangeFailure::kNotConnected;
}

RawPeer::Response RespondThenClose(int number) {
  return number == 0 ? RawPeer::Response{kReply, false} : RawPeer::Response{"", true};
}

TEST_CASE("cxxtools sends a POST again when a kept connection closes without a reply") {
  // The fault that the rule of one connection for each request works around. If this fails after a
  // library update, the rule can be reconsidered.
  RawPeer peer(RespondThenClose);
  cxxtools::http::Client client("127.0.0.1", static_cast<unsigned short>(peer.port()));
  for (int i = 0; i < 2; ++i) {
    cxxtools::http::Request request("/");
    request.method("POST");
    request.body() << "body";
    client.execute(request, cxxtools::Milliseconds(10000));
    client.readBody();
  }
  CHECK(peer.arrivals() == 3);
}

TEST_CASE("a request that is not idempotent arrives once when the peer closes without a reply") {
  // Guards I6 against the repetition by cxxtools.
  RawPeer peer(RespondThenClose);
  TargetClient client("127.0.0.1", peer.port());
  CHECK(client.Exchange(Post(), true, kTimeout, Never).body == "hello");
  CHECK(client.Exchange(Post(), false, kTimeout, Never).body == "hello");
  CHECK(peer.arrivals() == 2);
  RawPeer closing([](int) { return RawPeer::Response{"", true}; });
  CHECK(FailureOf(closing.port()) == ExchangeFailure::kConnectionLost);
  CHECK(closing.arrivals() == 1);
}

TEST_CASE("a connection of a request that is not idempotent is not used for another one") {
  RawPeer peer(RespondThenClose);
  TargetClient client("127.0.0.1", peer.port());
  for (int i = 0; i < 3; ++i) {
    CHECK(client.Exchange(Post(), false, kTimeout, Never).body == "hello");
  }
  CHECK(peer.arrivals() == 3);
}

TEST_CASE("a reply that may be incomplete is an error") {
  // Guards I4: cxxtools reports success with an empty body for the first two.
  struct Case {
    const char* name;
    std::string bytes;
    ExchangeFailure failure;
  };
  const Case cases[] = {
      {"no Content-Length", "HTTP/1.1 200 OK\r\n\r\nhello", ExchangeFailure::kTruncatedReply},
      {"cut chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel",
       ExchangeFailure::kTruncatedReply},
      {"body shorter than Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello",
       ExchangeFailure::kConnectionLost},
      {"cut header", "HTTP/1.1 200 OK\r\nContent-Le", ExchangeFailure::kConnectionLost},
      {"header over 4,096 bytes",
       "HTTP/1.1 200 OK\r\nX: " + std::string(5000, 'x') + "\r\nContent-Length: 5\r\n\r\nhello",
       ExchangeFailure::kConnectionLost},
  };
  for (const auto& entry : cases) {
    CAPTURE(entry.name);
    RawPeer peer([&](int) { return RawPeer::Response{entry.bytes, true}; });
    CHECK(FailureOf(peer.port()) == entry.failure);
    CHECK(peer.arrivals() == 1);
  }
}

TEST_CASE("a reply that has no body by its status needs no Content-Length") {
  RawPeer peer([](int) { return RawPeer::Response{"HTTP/1.1 204 No Content\r\n\r\n", true}; });
  TargetClient client("127.0.0.1", peer.port());
  CHECK(client.Exchange(Post(), false, kTimeout, Never).status == 204);
}

TEST_CASE("only a failure before the first byte counts as nothing sent") {
  // Guards I5: a wrong not_run would let a request run twice.
  int unused_port = 0;
  {
    const RawPeer peer([](int) { return RawPeer::Response{}; });
    unused_port = peer.port();
  }
  CHECK(FailureOf(unused_port) == ExchangeFailure::kNotConnected);
  CHECK(ExchangeError(ExchangeFailure::kNotConnected, "").nothing_sent());
  CHECK_FALSE(ExchangeError(ExchangeFailure::kConnectionLost, "").nothing_sent());
  CHECK_FALSE(ExchangeError(ExchangeFailure::kTimeout, "").nothing_sent());
}

TEST_CASE("headers over the limit of cxxtools are refused before anything is sent") {
  RawPeer peer(RespondThenClose);
  TargetClient client("127.0.0.1", peer.port());
  HttpRequest request = Post();
  request.headers.push_back(MakeHeader("X-Large", std::string(5000, 'x')));
  try {
    client.Exchange(request, false, kTimeout, Never);
    FAIL("the exchange succeeded");
  } catch (const ExchangeError& error) {
    CHECK(error.failure() == ExchangeFailure::kRequestTooLarge);
  }
  CHECK(peer.arrivals() == 0);
}

TEST_CASE("a silent peer ends in a timeout and cancellation closes the connection") {
  std::atomic<bool> release{false};
  RawPeer peer([&](int) {
    while (!release) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return RawPeer::Response{"", false};
  });
  CHECK(FailureOf(peer.port(), std::chrono::milliseconds(50)) == ExchangeFailure::kTimeout);
  TargetClient client("127.0.0.1", peer.port());
  CHECK_THROWS_AS(client.Exchange(Post(), false, kTimeout, [&] { return peer.arrivals() == 2; }),
                  ExchangeError);
  release = true;
  while (peer.closed_by_client() < 2) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

}  // namespace
}  // namespace limpet
