#include "limpet/settings/node_settings.h"

#include <doctest/doctest.h>

namespace limpet {
namespace {

const std::string kRequired = "[node]\nname = n1\ndata_centre = munster-1\nservice = ticket-desk\n";

std::string GetError(const std::string& text) {
  try {
    ParseSettings(text, "node.ini");
  } catch (const FileError& error) {
    return error.what();
  }
  return "";
}

// Guards against nodes that do not start because the platform gives a bound as a fraction.
TEST_CASE("bounds of the platform may be fractions") {
  const NodeSettings settings = ParseSettings(
      "[node]\nname = a\ndata_centre = b\nservice = c\n"
      "[retries]\nextra = 30.714285714285715\n[stop]\ngrace_period_ms = 6.5e3\n",
      "node.ini");
  CHECK(settings.retry_extra == doctest::Approx(30.7142857));
  CHECK(settings.grace_period_ms == 6500);
}

// Guards against strict revocation that is off because of a value which is not understood.
TEST_CASE("strict revocation is true or false, off by default, and revoke_ms a fraction") {
  CHECK_FALSE(ParseSettings(kRequired, "node.ini").strict_revocation);
  CHECK(ParseSettings(kRequired, "node.ini").revoke_ms == 5000);
  const NodeSettings settings =
      ParseSettings(kRequired + "[access]\nstrict_revocation = true\nrevoke_ms = 2500.5\n", "n");
  CHECK(settings.strict_revocation);
  CHECK(settings.revoke_ms == 2500.5);
  CHECK_FALSE(
      ParseSettings(kRequired + "[access]\nstrict_revocation = false\n", "n").strict_revocation);
  CHECK(
      GetError(kRequired + "[access]\nstrict_revocation = yes\n").find("allowed is true, false") !=
      std::string::npos);
  CHECK_FALSE(GetError(kRequired + "[access]\nrevoke_ms = -1\n").empty());
}

TEST_CASE("keys that are not required have defaults") {
  const NodeSettings settings = ParseSettings(kRequired, "node.ini");
  CHECK(settings.name == "n1");
  CHECK(settings.http_port == NodeSettings().http_port);
}

TEST_CASE("a value of each type is parsed") {
  const NodeSettings settings = ParseSettings(
      kRequired +
          "seeds = 10.0.0.1:7400, seed-2:7401\n[trace]\nsampling = 0.25\noutput = collector\n"
          "[logging]\nlevel = debug\n[log]\nhost = 10.0.0.9\nport = 7501\n",
      "node.ini");
  CHECK(settings.seeds == std::vector<PeerAddress>{{"10.0.0.1", 7400}, {"seed-2", 7401}});
  CHECK(settings.trace_sampling == 0.25);
  CHECK(settings.trace_output == TraceOutput::kCollector);
  CHECK(settings.log_level == LogLevel::kDebug);
  CHECK(settings.log_host == "10.0.0.9");
  CHECK(settings.log_port == 7501);
}

TEST_CASE("an error message names the file, the line, the key and the allowed values") {
  CHECK(GetError(kRequired + "http_port = 70000\n") ==
        "node.ini:5: [node] http_port = \"70000\" is not allowed; allowed is 1 to 65535");
  CHECK(GetError(kRequired + "http_port = 80x\n").find("node.ini:5: [node] http_port") == 0);
  CHECK(GetError(kRequired + "prot = 1\n").find("node.ini:5: unknown key \"prot\" in [node]") == 0);
  CHECK(GetError(kRequired + "[nodes]\n").find("node.ini:5: unknown section [nodes]") == 0);
  CHECK(GetError("[node]\nname = n1\n").find("node.ini:0: [node] data_centre is missing") == 0);
  CHECK(GetError(kRequired + "seeds = a:1,b\n").find("a list of host:port") != std::string::npos);
  CHECK(GetError(kRequired + "[logging]\nlevel = loud\n").find("trace, debug, info") !=
        std::string::npos);
}

TEST_CASE("a key cannot be given twice, even in a repeated section") {
  CHECK(GetError(kRequired + "name = n2\n").find("given twice") != std::string::npos);
  CHECK(GetError(kRequired + "[node]\nname = n2\n").find("given twice") != std::string::npos);
}

TEST_CASE("conditions that concern two keys are checked") {
  CHECK(GetError(kRequired + "[trace]\noutput = file\n").find("needs [trace] file") !=
        std::string::npos);
  CHECK(GetError(kRequired + "peer_port = 5\nhttp_port = 5\n").find("equal") != std::string::npos);
}

TEST_CASE("loading a missing file throws FileError") {
  CHECK_THROWS_AS(LoadSettings("/nonexistent/node.ini"), FileError);
}

TEST_CASE("the Markdown page lists keys with their type, default and allowed values") {
  const std::string page = SettingsMarkdown();
  CHECK(page.find("| `http_port` | integer | `7480` | 1 to 65535 |") != std::string::npos);
  CHECK(page.find("| `name` | text | required |") != std::string::npos);
  CHECK(page.find("## [control]") != std::string::npos);
}

}  // namespace
}  // namespace limpet
