#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "announcement_codec.h"
#include "config_codec.h"
#include "limpet/core/error.h"
#include "limpet/core/random.h"
#include "limpet/routing/config_holder.h"
#include "store_client.h"

namespace limpet::platform {
namespace {

constexpr uint64_t kSeed = 20261205;
constexpr int kInputsPerMessage = 4000;

const std::vector<std::string> kConfigs = {
    R"({"version":"r7","resources":[{"resource_type":"routes","metadata":{"name":"r1"},)"
    R"("specification":{"host":"h.example","path_prefix":"/a/","kind":"upload","timeout_ms":1000.5,)"
    R"("target_latency_ms":500,"priority":1,"traffic_split":[{"service":"desk","weight":90},)"
    R"({"service":"desk2","weight":10}],"attempts":2}},{"resource_type":"services",)"
    R"("metadata":{"name":"desk"},"specification":{"max_connections":130}},)"
    R"({"resource_type":"services","metadata":{"name":"desk2"},"specification":{}},)"
    R"({"resource_type":"limits","metadata":{},"specification":{"max_header_bytes":16384,)"
    R"("max_body_bytes":1000,"header_timeout_ms":3000,"idle_timeout_ms":15000}}]})"};
const std::vector<std::string> kHeartbeats = {
    R"({"service":"desk","address":"10.0.0.1:80","zone":"a","version":"v1","slots":9,)"
    R"("state":"draining","cold_remaining_ms":1500,"sequence":4,"born":1700000000000})"};
const std::vector<std::string> kNodes = {
    R"({"name":"n","data_centre":"a","host":"10.0.0.1","port":7400})"};
const std::vector<std::string> kPages = {
    R"({"items":[{"key":"config","value":"eyJhIjoxfQ==","offset":3}],"more":true,"end":4})"};

/// Replaces, inserts, removes or repeats parts of a valid message, with a preference for tokens
/// that change its meaning but not its syntax.
std::string Mutate(Random& random, std::string text) {
  static const std::vector<std::string> kTokens = {
      "1e300", "-1",     "1e999",    "99999999999999999999",
      "null",  "[]",     "{}",       "\"\"",
      "true",  "0.5",    "[[[[",     "\xff\xfe",
      "\\u",   "\x00\"", ":70000\"", "{\"a\":"};
  const uint64_t changes = 1 + random.NextBelow(3);
  for (uint64_t i = 0; i < changes; ++i) {
    const std::size_t at = random.NextBelow(text.size() + 1);
    const std::size_t length = std::min(text.size() - at, std::size_t{random.NextBelow(12)});
    switch (random.NextBelow(4)) {
      case 0:
        text.replace(at, length, kTokens[random.NextBelow(kTokens.size())]);
        break;
      case 1:
        text.erase(at, length);
        break;
      case 2:
        text.insert(at, text.substr(at, length));
        break;
      default: {
        // Replaces a whole value.
        const std::size_t colon = text.find(':', at);
        const std::size_t end = text.find_first_of(",}", colon);
        if (colon != std::string::npos && end != std::string::npos) {
          text.replace(colon + 1, end - colon - 1, kTokens[random.NextBelow(kTokens.size())]);
        }
      }
    }
  }
  return text;
}

/// Returns how many mutated messages `decode` accepts. Fails on any exception but `DecodeError`.
template <typename Decode>
int CountAccepted(const std::vector<std::string>& messages, Decode decode) {
  Random random(kSeed);
  int accepted = 0;
  for (int i = 0; i < kInputsPerMessage; ++i) {
    const std::string text = Mutate(random, messages[random.NextBelow(messages.size())]);
    try {
      decode(text);
      ++accepted;
    } catch (const DecodeError&) {
      continue;
    } catch (const std::exception& error) {
      FAIL("unexpected ", error.what(), " for ", text);
    }
  }
  return accepted;
}

// Guards against a process that ends because of one odd entry of another writer.
TEST_CASE("decoders of the platform throw only DecodeError on mutated messages") {
  const int configs = CountAccepted(kConfigs, [](const std::string& text) {
    const DecodedConfig decoded = DecodeOperatorConfig(text);
    ConfigHolder holder;
    const ConfigUpdateResult result = holder.Update(decoded.config);
    // A configuration is applied as a whole or not at all.
    CHECK((result == ConfigUpdateResult::kApplied) == (holder.routes() != nullptr));
    if (holder.routes()) {
      CHECK(holder.routes()->config().routes.size() == decoded.config.routes.size());
    }
  });
  const int heartbeats = CountAccepted(kHeartbeats, [](const std::string& text) {
    HttpRequest request;
    request.method = "PUT";
    request.path = "/instances/i-1";
    request.body = text;
    const auto message = PlatformAnnouncementCodec().Decode(request);
    CHECK(message.announcement->slots > 0);
    CHECK(message.announcement->cold_remaining >= Duration(0));
  });
  const int nodes = CountAccepted(kNodes, [](const std::string& text) {
    const wire::NodeAddress address = DecodeNodeAddress(text);
    CHECK(address.port >= 1);
    CHECK(address.port <= 65535);
  });
  const int pages = CountAccepted(kPages, [](const std::string& text) {
    std::string after;
    DecodeNewestPage(text, after);
  });
  // The mutations must leave some messages valid, or the test would only reach the parser.
  for (const int accepted : {configs, heartbeats, nodes, pages}) {
    CHECK(accepted > kInputsPerMessage / 50);
    CHECK(accepted < kInputsPerMessage);
  }
}

}  // namespace
}  // namespace limpet::platform
