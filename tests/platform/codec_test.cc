#include <doctest/doctest.h>

#include "announcement_codec.h"
#include "config_codec.h"
#include "limpet/core/error.h"
#include "store_client.h"

namespace limpet::platform {
namespace {

constexpr const char* kConfig =
    R"({"version":"r7","resources":[)"
    R"({"resource_type":"routes","metadata":{"name":"r1"},"specification":{"host":"h.example",)"
    R"("path_prefix":"/a/","kind":"non_idempotent","timeout_ms":1000.5,"target_latency_ms":500,)"
    R"("priority":1,"service":"desk","attempts":2}},)"
    R"({"resource_type":"routes","metadata":{"name":"r2"},"specification":{"host":"h.example",)"
    R"("path_prefix":"/b/","kind":"download","timeout_ms":800,"priority":2,"attempts":1,)"
    R"("traffic_split":[{"service":"desk","weight":90},{"service":"store","weight":10}]}},)"
    R"({"resource_type":"services","metadata":{"name":"desk"},"specification":)"
    R"({"health_check_path":"/health","max_connections":130}},)"
    R"({"resource_type":"limits","metadata":{},"specification":{"max_header_bytes":16384,)"
    R"("max_body_bytes":1000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}]})";

TEST_CASE("the operator's configuration is decoded into the project's types") {
  const DecodedConfig decoded = DecodeOperatorConfig(kConfig);
  CHECK(decoded.unknown_items.empty());
  const MeshConfig& config = decoded.config;
  CHECK(config.version == 7);
  REQUIRE(config.routes.size() == 2);
  CHECK(config.routes[0].kind == RequestKind::kNonIdempotent);
  CHECK(config.routes[0].timeout == Duration(1'000'500));
  CHECK(config.routes[0].max_attempts == 2);
  CHECK(config.routes[1].weighted_services ==
        std::vector<WeightedService>{{"desk", 90}, {"store", 10}});
  CHECK(config.services[0].max_connections == 130);
  CHECK(config.limits.max_body_bytes == 1000);
}

std::string Replace(std::string text, const std::string& from, const std::string& to) {
  const std::size_t start = text.find(from);
  REQUIRE(start != std::string::npos);
  return text.replace(start, from.size(), to);
}

TEST_CASE("requests with large bodies are not idempotent") {
  const MeshConfig config = DecodeOperatorConfig(Replace(kConfig, "download", "upload")).config;
  CHECK(config.routes[1].kind == RequestKind::kUpload);
  CHECK_FALSE(config.routes[1].IsIdempotent());
}

// Guards against a mesh that serves nothing because one word of the configuration is newer than the
// nodes.
TEST_CASE("a configuration with kinds and resource types that are not known is used") {
  std::string text =
      Replace(kConfig, "\"kind\":\"download\"", "\"kind\":\"teleport\",\"extra\":[1]");
  text = Replace(text, R"({"resource_type":"limits")",
                 R"({"resource_type":"zones","metadata":{"name":"z"},"specification":{}},)"
                 R"({"resource_type":"limits")");
  const DecodedConfig decoded = DecodeOperatorConfig(text);
  REQUIRE(decoded.config.routes.size() == 2);
  CHECK_FALSE(decoded.config.routes[1].IsIdempotent());
  CHECK(decoded.config.routes[0].kind == RequestKind::kNonIdempotent);
  CHECK(decoded.config.limits.max_body_bytes == 1000);
  CHECK(decoded.unknown_items == std::set<std::string>{"kind teleport", "resource type zones"});
}

TEST_CASE("an invalid configuration throws DecodeError") {
  const std::string whole = kConfig;
  CHECK_THROWS_AS(DecodeOperatorConfig(whole.substr(0, whole.size() / 2)), DecodeError);
  CHECK_THROWS_AS(DecodeOperatorConfig(R"({"version":"7","resources":[]})"), DecodeError);
  CHECK_THROWS_AS(DecodeOperatorConfig(R"({"version":"r7x","resources":[]})"), DecodeError);
  CHECK_THROWS_AS(DecodeOperatorConfig(R"({"version":"r99999999999999999999","resources":[]})"),
                  DecodeError);
  CHECK_THROWS_AS(DecodeOperatorConfig(R"({"version":"r7"})"), DecodeError);
  CHECK_THROWS_AS(DecodeOperatorConfig("[]"), DecodeError);
}

std::string AccountsConfig(const std::string& first, const std::string& second) {
  return Replace(kConfig, R"({"resource_type":"limits")",
                 R"({"resource_type":"tenants","metadata":{"name":"first"},"specification":)" +
                     first +
                     R"(},{"resource_type":"tenants","metadata":{"name":"second"},)"
                     R"("specification":)" +
                     second + R"(},{"resource_type":"limits")");
}

TEST_CASE("client accounts and public routes are decoded") {
  const std::string text = AccountsConfig(
      R"({"api_keys":["k1","k2"],"priority":0,"requests_per_s":12.5,"burst":3})", "{}");
  const MeshConfig config = DecodeOperatorConfig(Replace(text, R"("kind":"download")",
                                                         R"("kind":"download","public":true)"))
                                .config;
  CHECK_FALSE(config.routes[0].is_public);
  CHECK(config.routes[1].is_public);
  REQUIRE(config.accounts.size() == 2);
  CHECK(config.accounts[0] == ClientAccount{"first", {"k1", "k2"}, 0, 12.5, 3});
  CHECK(config.accounts[1] == ClientAccount{"second", {}, std::nullopt, 0, 0});
}

// Guards against one account that gets the requests of another, and against limits that overflow.
TEST_CASE("accounts that share a key and limits out of range are not valid") {
  const auto validate = [](const std::string& first, const std::string& second) {
    MeshConfig config = DecodeOperatorConfig(AccountsConfig(first, second)).config;
    config.services.push_back({"store", "/health", 130});
    ValidateMeshConfig(config);
  };
  CHECK_NOTHROW(validate(R"({"api_keys":["k1"]})", R"({"api_keys":["k2"]})"));
  CHECK_THROWS_AS(validate(R"({"api_keys":["k1"]})", R"({"api_keys":["k2","k1"]})"),
                  InvalidMeshConfig);
  CHECK_THROWS_AS(validate(R"({"api_keys":["k1","k1"]})", "{}"), InvalidMeshConfig);
  CHECK_THROWS_AS(validate(R"({"api_keys":[""]})", "{}"), InvalidMeshConfig);
  for (const char* limit : {"-1", "-0.001", "1.1e9", "1e300"}) {
    for (const char* name : {"requests_per_s", "burst"}) {
      CAPTURE(limit);
      CHECK_THROWS_AS(validate("{\"" + std::string(name) + "\":" + std::string(limit) + "}", "{}"),
                      InvalidMeshConfig);
    }
  }
  CHECK_NOTHROW(validate(R"({"requests_per_s":1e9,"burst":0})", "{}"));
}

// Guards against keys that reach the log with the cause of a refused configuration.
TEST_CASE("keys and limits of the wrong type throw DecodeError without the key") {
  for (const char* account :
       {R"({"api_keys":[1]})", R"({"api_keys":"secret"})", R"({"api_keys":[["secret"]]})",
        R"({"api_keys":["secret",null]})", R"({"api_keys":{"a":"secret"}})",
        R"({"requests_per_s":"many","api_keys":["secret"]})", R"({"priority":-1})",
        R"({"priority":"0"})", R"({"priority":1e300})", R"({"api_keys":["secret)"}) {
    CAPTURE(account);
    std::string problem;
    try {
      DecodeOperatorConfig(AccountsConfig(account, "{}"));
    } catch (const DecodeError& error) {
      problem = error.what();
    }
    CHECK_FALSE(problem.empty());
    CHECK(problem.find("secret") == std::string::npos);
  }
}

HttpRequest MakeHeartbeat(const std::string& body) {
  HttpRequest request;
  request.method = "PUT";
  request.path = "/instances/i-1";
  request.body = body;
  return request;
}

TEST_CASE("a heartbeat is decoded") {
  const auto message = PlatformAnnouncementCodec().Decode(MakeHeartbeat(
      R"({"service":"desk","address":"10.0.0.1:80","zone":"a","version":"v1","slots":9,)"
      R"("state":"draining","cold_remaining_ms":1500,"sequence":4,"born":1700000000000})"));
  REQUIRE(message.announcement);
  CHECK(message.announcement->instance == "i-1");
  CHECK(message.announcement->draining);
  CHECK(message.announcement->cold_remaining == std::chrono::milliseconds(1500));
  CHECK(message.announcement->start_time_ms == 1700000000000);
}

std::string Nest(int depth) {
  const auto count = static_cast<std::size_t>(depth);
  return std::string(count, '[') + std::string(count, ']');
}

// Guards against processes that end, or take on a number that depends on the processor, because
// another writer left an odd entry.
TEST_CASE("numbers out of range and deep nesting throw DecodeError that names the field") {
  const PlatformAnnouncementCodec codec;
  const std::string heartbeat =
      R"({"service":"desk","address":"10.0.0.1:80","zone":"a","version":"v1","slots":9,)"
      R"("state":"ready","cold_remaining_ms":0,"sequence":4,"born":1700000000000})";
  CHECK(codec.Decode(MakeHeartbeat(heartbeat)).announcement);
  const std::pair<std::string, std::string> odd_heartbeats[] = {
      {"\"slots\":9", "\"slots\":1e300"},
      {"\"slots\":9", "\"slots\":4.5"},
      {"\"slots\":9", "\"slots\":" + Nest(200'000)},
      {"\"slots\":9", "\"slots\":99999999999999999999999999"},
      {"\"cold_remaining_ms\":0", "\"cold_remaining_ms\":-1e300"},
      {"\"sequence\":4", "\"sequence\":1e19"},
      {"\"born\":1700000000000", "\"born\":1e300"},
      {"\"born\":1700000000000", "\"born\":\"now\""},
      {"10.0.0.1:80", "10.0.0.1:70000"},
      {"10.0.0.1:80", "10.0.0.1"},
      {"10.0.0.1:80", "10.0.0.1:-1"},
      {"10.0.0.1:80", ":80"}};
  for (const auto& [from, to] : odd_heartbeats) {
    CAPTURE(to.substr(0, 60));
    CHECK_THROWS_AS(codec.Decode(MakeHeartbeat(Replace(heartbeat, from, to))), DecodeError);
  }
  const std::pair<std::string, std::string> odd_configs[] = {
      {"\"priority\":1", "\"priority\":1e300"},
      {"\"attempts\":2", "\"attempts\":-3"},
      {"\"timeout_ms\":1000.5", "\"timeout_ms\":1e300"},
      {"\"weight\":90", "\"weight\":2147483647"},
      {"\"max_connections\":130", "\"max_connections\":1e10"},
      {"\"max_body_bytes\":1000", "\"max_body_bytes\":-1"}};
  for (const auto& [from, to] : odd_configs) {
    CAPTURE(to);
    CHECK_THROWS_AS(DecodeOperatorConfig(Replace(kConfig, from, to)), DecodeError);
  }
  const std::string node = R"({"name":"n","data_centre":"a","host":"10.0.0.1","port":7400})";
  CHECK(DecodeNodeAddress(node).port == 7400);
  for (const std::string port : {"70000", "0", "-1", "1e300", "\"7400\"", "null"}) {
    CHECK_THROWS_AS(DecodeNodeAddress(Replace(node, "7400", port)), DecodeError);
  }
  try {
    codec.Decode(MakeHeartbeat(Replace(heartbeat, "\"slots\":9", "\"slots\":1e300")));
  } catch (const DecodeError& error) {
    CHECK(error.what() ==
          std::string("field slots is 1e+300; allowed is a number from 1.0 to 100000.0"));
  }
}

TEST_CASE("invalid heartbeats and unknown paths throw DecodeError") {
  const PlatformAnnouncementCodec codec;
  for (const char* body :
       {"", "{}", "\xff\xfe", "[1]",
        R"({"service":5,"address":"a:1","zone":"a","version":"v","slots":9,"state":"ready",)"
        R"("cold_remaining_ms":0,"sequence":1})",
        R"({"service":"desk","address":"a:1","zone":"a","version":"v","slots":9,"state":"odd",)"
        R"("cold_remaining_ms":0,"sequence":1})",
        R"({"service":"desk","address":"a:1","zone":"a","version":"v","slots":0,"state":"ready",)"
        R"("cold_remaining_ms":0,"sequence":1})"}) {
    CHECK_THROWS_AS(codec.Decode(MakeHeartbeat(body)), DecodeError);
  }
  HttpRequest other = MakeHeartbeat("{}");
  other.path = "/elsewhere";
  CHECK_THROWS_AS(codec.Decode(other), DecodeError);
}

TEST_CASE("a leave is decoded with and without a start time") {
  HttpRequest request = MakeHeartbeat("");
  request.method = "DELETE";
  CHECK_FALSE(PlatformAnnouncementCodec().Decode(request).leave->start_time_ms);
  request.body = R"({"born":12})";
  CHECK(PlatformAnnouncementCodec().Decode(request).leave->start_time_ms == 12);
}

TEST_CASE("store records are decoded as encoded, and truncated ones throw DecodeError") {
  const std::string end_and_first(16, '\0');
  const std::string record = EncodeRecord({"key", "value"});
  const StoreRecords records = DecodeRecords(end_and_first + record + record, 0);
  REQUIRE(records.records.size() == 2);
  CHECK(records.records[1].key == "key");
  CHECK(records.records[1].value == "value");
  for (std::size_t cut = 1; cut < record.size(); ++cut) {
    CHECK_THROWS_AS(DecodeRecords(end_and_first + record.substr(0, cut), 0), DecodeError);
  }
  CHECK_THROWS_AS(DecodeRecords("short", 0), DecodeError);
}

TEST_CASE("a page of newest records is decoded, and an invalid one throws DecodeError") {
  std::string after;
  const StoreRecords page = DecodeNewestPage(
      R"({"items":[{"key":"config","value":"aGk=","offset":4}],"more":true,"end":6})", after);
  CHECK(page.records[0].value == "hi");
  CHECK(page.end == 6);
  CHECK(after == "config");
  CHECK_THROWS_AS(DecodeNewestPage("nonsense", after), DecodeError);
  CHECK_THROWS_AS(
      DecodeNewestPage(R"({"items":[{"key":"k","value":"!","offset":0}],"more":false,"end":1})",
                       after),
      DecodeError);
}

}  // namespace
}  // namespace limpet::platform
