#include "limpet/settings/node_settings.h"

#include <doctest/doctest.h>

namespace limpet {
namespace {

const std::string kRequired = "[node]\nname = n1\ndata_centre = munster-1\nservice = ticket-desk\n";

std::string ErrorOf(const std::string& text) {
  try {
    ParseSettings(text, "node.ini");
  } catch (const FileError& error) {
    return error.what();
  }
  return "";
}

TEST_CASE("the required keys suffice") {
  const NodeSettings settings = ParseSettings(kRequired, "node.ini");
  CHECK(settings.name == "n1");
  CHECK(settings.http_port == NodeSettings().http_port);
}

TEST_CASE("each type of value is read") {
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

TEST_CASE("an error names file, line, key and what is allowed") {
  CHECK(ErrorOf(kRequired + "http_port = 70000\n") ==
        "node.ini:5: [node] http_port = \"70000\" is not allowed; allowed is 1 to 65535");
  CHECK(ErrorOf(kRequired + "http_port = 80x\n").find("node.ini:5: [node] http_port") == 0);
  CHECK(ErrorOf(kRequired + "prot = 1\n").find("node.ini:5: unknown key \"prot\" in [node]") == 0);
  CHECK(ErrorOf(kRequired + "[nodes]\n").find("node.ini:5: unknown section [nodes]") == 0);
  CHECK(ErrorOf("[node]\nname = n1\n").find("node.ini:0: [node] data_centre is missing") == 0);
  CHECK(ErrorOf(kRequired + "seeds = a:1,b\n").find("a list of host:port") != std::string::npos);
  CHECK(ErrorOf(kRequired + "[logging]\nlevel = loud\n").find("trace, debug, info") !=
        std::string::npos);
}

TEST_CASE("a key cannot be given twice, even in a repeated section") {
  CHECK(ErrorOf(kRequired + "name = n2\n").find("given twice") != std::string::npos);
  CHECK(ErrorOf(kRequired + "[node]\nname = n2\n").find("given twice") != std::string::npos);
}

TEST_CASE("settings that need each other are checked together") {
  CHECK(ErrorOf(kRequired + "[trace]\noutput = file\n").find("needs [trace] file") !=
        std::string::npos);
  CHECK(ErrorOf(kRequired + "peer_port = 5\nhttp_port = 5\n").find("equal") != std::string::npos);
}

TEST_CASE("a missing file is a file error") {
  CHECK_THROWS_AS(LoadSettings("/nonexistent/node.ini"), FileError);
}

TEST_CASE("the Markdown table lists every section with default and range") {
  const std::string page = SettingsMarkdown();
  CHECK(page.find("| `http_port` | integer | `7480` | 1 to 65535 |") != std::string::npos);
  CHECK(page.find("| `name` | text | required |") != std::string::npos);
  CHECK(page.find("## [control]") != std::string::npos);
}

}  // namespace
}  // namespace limpet
