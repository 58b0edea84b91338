#include "limpet/net/log_client.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <doctest/doctest.h>

#include <memory>
#include <thread>
#include <vector>

#include "limpet/core/random.h"
#include "net/loopback.h"
#include "standin/log_server.h"

namespace limpet {
namespace {

constexpr Duration kTimeout = std::chrono::milliseconds(500);

/// The stand-in log on a free port, running on a separate thread, and a client of it.
class LogFixture {
 public:
  explicit LogFixture(StandinLogLimits limits = {})
      : port_(FreePort()),
        server_("127.0.0.1", port_, limits),
        thread_([this] { server_.Run(); }),
        client({"127.0.0.1", port_}, kTimeout) {}
  ~LogFixture() {
    server_.Stop();
    thread_.join();
  }

  void SetFaults(const std::string& json) {
    cxxtools::http::Client http("127.0.0.1", static_cast<unsigned short>(port_));
    cxxtools::http::Request request("/faults");
    request.method("POST");
    request.body() << json;
    CHECK(http.execute(request).httpReturnCode() == 200);
  }

 private:
  int port_;
  StandinLogServer server_;
  std::thread thread_;

 public:
  LogClient client;
};

TEST_CASE("a read returns appended records in order and with unchanged bytes") {
  LogFixture log;
  const std::string bytes("\0\xff\n\"x", 5);
  CHECK(log.client.Append({7, "config", bytes}).offset == 1);
  CHECK(log.client.Append({8, "config", ""}).offset == 2);
  const LogResult result = log.client.Read({9, "config", 1, 10});
  CHECK(result.status == LogStatus::kOk);
  CHECK(result.request == 9);
  REQUIRE(result.records.size() == 2);
  CHECK(result.records[0].payload == bytes);
  CHECK(result.records[1].offset == 2);
  CHECK(result.end_offset == 3);
  CHECK(log.client.Read({1, "system", 1, 10}).end_offset == 1);
}

TEST_CASE("each limit of the log is reported with its own status") {
  LogFixture log({.max_records = 2, .max_record_bytes = 4, .appends_per_second = 3});
  CHECK(log.client.Append({0, "s", "12345"}).status == LogStatus::kTooLarge);
  CHECK(log.client.Append({0, "s", "a"}).status == LogStatus::kOk);
  CHECK(log.client.Append({0, "s", "b"}).status == LogStatus::kOk);
  CHECK(log.client.Append({0, "s", "c"}).status == LogStatus::kOk);
  CHECK(log.client.Append({0, "s", "d"}).status == LogStatus::kThrottled);
  const LogResult expired = log.client.Read({0, "s", 1, 10});
  CHECK(expired.status == LogStatus::kOffsetExpired);
  CHECK(expired.first_offset == 2);
  CHECK(expired.end_offset == 4);
}

TEST_CASE("an append whose response is lost takes effect and has an unknown outcome") {
  LogFixture log;
  log.SetFaults(R"({"lose_answers": 1})");
  CHECK(log.client.Append({0, "s", "a"}).status == LogStatus::kUnknownOutcome);
  const LogResult read = log.client.Read({0, "s", 1, 10});
  REQUIRE(read.records.size() == 1);
  CHECK(read.records[0].payload == "a");
}

TEST_CASE("a client reports an outage of the log and works again after it") {
  LogFixture log;
  log.SetFaults(R"({"outage": true})");
  CHECK(log.client.Append({0, "s", "a"}).status == LogStatus::kUnavailable);
  CHECK(log.client.Read({0, "s", 1, 1}).status == LogStatus::kUnavailable);
  log.SetFaults(R"({"outage": false})");
  CHECK(log.client.Append({0, "s", "a"}).status == LogStatus::kOk);
  CHECK(log.client.Read({0, "s", 1, 1}).status == LogStatus::kOk);
}

TEST_CASE(
    "a request to a slow log times out: a read is unavailable, an append has an unknown outcome") {
  LogFixture log;
  log.SetFaults(R"({"delay_ms": 1500})");
  CHECK(log.client.Append({0, "s", "a"}).status == LogStatus::kUnknownOutcome);
  CHECK(log.client.Read({0, "s", 1, 1}).status == LogStatus::kUnavailable);
}

TEST_CASE("without a server reads and appends are unavailable") {
  LogClient client({"127.0.0.1", FreePort()}, kTimeout);
  CHECK(client.Append({0, "s", "a"}).status == LogStatus::kUnavailable);
  CHECK(client.Read({0, "s", 1, 1}).status == LogStatus::kUnavailable);
}

// Without a connect timeout, a log behind a network partition would block a node for minutes.
TEST_CASE("a connection attempt that gets no reply ends after the timeout") {
  const LoopbackListener listener(0);
  // The first connections fill the backlog of the listener; later connection attempts get no reply.
  std::vector<std::unique_ptr<LoopbackConnection>> queued_connections;
  for (int i = 0; i < 4; ++i) {
    queued_connections.push_back(std::make_unique<LoopbackConnection>(listener.port()));
  }
  LogClient client({"127.0.0.1", listener.port()}, kTimeout);
  CHECK(client.Append({0, "s", "a"}).status == LogStatus::kUnavailable);
  CHECK(client.Read({0, "s", 1, 1}).status == LogStatus::kUnavailable);
}

std::string MakeOkResponse(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

LogStatus ReadStatus(const std::string& response) {
  const RawServer server(response);
  LogClient client({"127.0.0.1", server.port()}, kTimeout);
  return client.Read({0, "s", 5, 10}).status;
}

LogStatus AppendStatus(const std::string& response) {
  const RawServer server(response);
  LogClient client({"127.0.0.1", server.port()}, kTimeout);
  return client.Append({0, "s", "a"}).status;
}

TEST_CASE("an unexpected or inconsistent response is reported as malformed") {
  const std::string range = R"({"first_offset": 1, "end_offset": 9, "records": )";
  CHECK(ReadStatus(MakeOkResponse(range + "[]}")) == LogStatus::kOk);
  for (const std::string& body : {
           std::string("not json"),
           std::string("[]"),
           std::string("{}"),
           std::string(R"({"first_offset": 9, "end_offset": 1, "records": []})"),
           std::string(R"({"first_offset": 1e300, "end_offset": 9, "records": []})"),
           std::string(R"({"first_offset": 1, "end_offset": 18446744073709551615, "records": []})"),
           range + "7}",
           range + R"([{"offset": 4, "payload": ""}]})",
           range + R"([{"offset": 9, "payload": ""}]})",
           range + R"([{"offset": 6, "payload": ""}, {"offset": 6, "payload": ""}]})",
           range + R"([{"offset": 6, "payload": "!!!!"}]})",
           range + R"([{"offset": 6, "payload": 3}]})",
       }) {
    CAPTURE(body);
    CHECK(ReadStatus(MakeOkResponse(body)) == LogStatus::kMalformedResponse);
  }
  CHECK(AppendStatus(MakeOkResponse(R"({"offset": 0})")) == LogStatus::kMalformedResponse);
  CHECK(AppendStatus(MakeOkResponse(R"({"offset": "1"})")) == LogStatus::kMalformedResponse);
  CHECK(AppendStatus("HTTP/1.1 302 Found\r\nContent-Length: 0\r\n\r\n") ==
        LogStatus::kMalformedResponse);
}

// A response without Content-Length may have been cut.
TEST_CASE("a truncated response is never reported as a success") {
  CHECK(AppendStatus("HTTP/1.1 200 OK\r\n\r\n{\"offset\": 1}") == LogStatus::kMalformedResponse);
  CHECK(AppendStatus("HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"offs") ==
        LogStatus::kUnknownOutcome);
  CHECK(AppendStatus("") == LogStatus::kUnknownOutcome);
  CHECK(AppendStatus("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n") ==
        LogStatus::kUnknownOutcome);
  CHECK(ReadStatus("") == LogStatus::kUnavailable);
}

TEST_CASE("random bytes from the server cause no exception and are never reported as a success") {
  Random random(1);
  for (int round = 0; round < 50; ++round) {
    std::string bytes = round % 2 == 0 ? "" : "HTTP/1.1 200 OK\r\n";
    for (uint64_t size = random.NextBelow(200); size > 0; --size) {
      bytes.push_back(static_cast<char>(random.NextBelow(256)));
    }
    CHECK(AppendStatus(bytes) != LogStatus::kOk);
  }
}

}  // namespace
}  // namespace limpet
