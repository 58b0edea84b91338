#include "cli/request_timeline.h"

#include <doctest/doctest.h>

#include <sstream>

namespace limpet {
namespace {

constexpr const char* kRefused =
    "time=2026-01-01T10:00:00.020Z level=info node=n1 event=call_ended request=42 route=lots "
    "end=not_run "
    "status=503 reason=overloaded last_node=n2 arrivals=0 took_ms=8 retry_after_ms=213\n";
constexpr const char* kRefusedByGate =
    "  0.5 n2 time=2026-01-01T10:00:00.010Z level=info node=n2 event=inbound_refused request=42 "
    "reason=overloaded running=12 queued=13\n";
constexpr const char* kLost =
    "time=2026-01-01T10:00:01.000Z level=info node=n1 event=call_ended request=43 route=lots "
    "end=unknown "
    "status=502 reason=connection_lost last_node=n2 arrivals=1\n";
constexpr const char* kPeerLost =
    "time=2026-01-01T10:00:00.900Z level=info node=n3 event=peer_lost peer=n2 error=\"Connection "
    "reset\"\n";

CommandResult Explain(const std::string& request,
                      const std::string& first,
                      const std::string& second = "") {
  RequestTimeline timeline(request);
  for (const std::string& text : {first, second}) {
    std::istringstream log(text);
    timeline.Read(log);
  }
  return timeline.Result();
}

TEST_CASE("lines of several nodes are sorted by time and the cause is reported") {
  const CommandResult result = Explain("42", kRefused, kRefusedByGate);
  CHECK(result.code == ExitCode::kOk);
  REQUIRE(result.json["events"].size() == 2);
  CHECK(result.json["events"][0]["node"] == "n2");
  CHECK(result.json["cause"] == "not run, because overloaded; the caller may return after 213 ms");
  CHECK(result.text.find("inbound_refused") < result.text.find("call_ended"));
}

TEST_CASE("the cause of a request that was lost with a node names the other nodes that lost it") {
  const CommandResult result = Explain("43", kLost, kPeerLost);
  const auto cause = result.json["cause"].get<std::string>();
  CHECK(cause.find("node n2 was lost") != std::string::npos);
  CHECK(cause.find("n3 at 2026-01-01T10:00:00.900Z") != std::string::npos);
}

TEST_CASE("truncated lines are counted and skipped") {
  const CommandResult result =
      Explain("42", kRefused, "time=2026 node=n2 event=target_failed request=42 error=\"Conn");
  CHECK(result.json["events"].size() == 1);
  CHECK(result.json["malformed_lines"] == 1);
  CHECK(result.text.find("1 malformed lines were skipped") != std::string::npos);
}

TEST_CASE("an id that is only a prefix of another id is not found") {
  CHECK(Explain("4", kRefused).code == ExitCode::kNotFound);
  CHECK(Explain("44", kRefused).code == ExitCode::kNotFound);
}

TEST_CASE("quoted values keep their spaces and escaped quotes") {
  const auto line = ParseLogLine(R"(time=t node=n event=e problem="a \"b\" c" x=1)");
  REQUIRE(line);
  CHECK(line->Get("problem") == "a \"b\" c");
  CHECK(line->Get("x") == "1");
  CHECK_FALSE(ParseLogLine("no event"));
  CHECK_FALSE(ParseLogLine("time=t node=n"));
}

}  // namespace
}  // namespace limpet
