#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "responses/programs.h"

namespace limpet {
namespace {

using End = TargetScript::End;
using std::chrono::milliseconds;
using namespace std::string_literals;

const std::string kFields = "X-Request-Id: {id}\r\nX-Server-Signature: s\r\n";
const std::string kOk = "HTTP/1.1 200 OK\r\n" + kFields;
const std::string kBody = "Content-Length: 4\r\n\r\npart";

/// One of the two daemons. A test case runs with both.
struct Daemon {
  std::string name;
  std::unique_ptr<ProgramUnderTest> (*start)();
  std::unique_ptr<ProgramUnderTest> program = nullptr;

  void Start() {
    program = start();
    REQUIRE_MESSAGE(program->ServesWithinLimit(), name << " does not serve");
  }
  /// A daemon that does not serve any more fails the test and is started again, so that it does not
  /// hide the results of the other responses.
  void CheckServes() {
    const bool serves = program->ServesWithinLimit();
    CHECK(serves);
    if (!serves) {
      program.reset();
      Start();
    }
  }
};

std::vector<Daemon> StartDaemons() {
  std::vector<Daemon> daemons;
  daemons.push_back({"limpetd", StartLimpetd});
  daemons.push_back({"limpetd-platform", StartLimpetdPlatform});
  for (Daemon& daemon : daemons) {
    daemon.Start();
  }
  return daemons;
}

std::string FirstLine(const std::string& response) {
  return response.substr(0, response.find("\r\n"));
}

/// Checks that the caller gets 502 and that the program serves afterwards.
void CheckRefused(Daemon& daemon, TargetScript script, const std::string& body = "o") {
  ProgramUnderTest& program = *daemon.program;
  program.target().SetScript(std::move(script));
  const int requests = program.target().scripted_requests();
  const std::string response = program.Post("/broken", body);
  CHECK(FirstLine(response).starts_with("HTTP/1.1 502"));
  CHECK(response.find("part") == std::string::npos);
  CHECK(program.target().scripted_requests() == requests + 1);
  daemon.CheckServes();
}

std::string StatusLine(const std::string& line) {
  return line + "\r\n" + kFields + kBody;
}

std::string Field(const std::string& field) {
  return kOk + field + "\r\n" + kBody;
}

std::string Length(const std::string& fields) {
  return kOk + fields + "\r\n\r\npart";
}

const std::vector<std::pair<std::string, std::string>> kBrokenResponses = {
    {"status of four digits", StatusLine("HTTP/1.1 2000 OK")},
    {"status of two digits", StatusLine("HTTP/1.1 20 OK")},
    {"status 000", StatusLine("HTTP/1.1 000 OK")},
    {"status 099", StatusLine("HTTP/1.1 099 OK")},
    {"status 600", StatusLine("HTTP/1.1 600 OK")},
    {"status 999", StatusLine("HTTP/1.1 999 OK")},
    {"status with a sign", StatusLine("HTTP/1.1 +20 OK")},
    {"status with a letter", StatusLine("HTTP/1.1 20x OK")},
    {"no status", StatusLine("HTTP/1.1  OK")},
    {"unknown protocol", StatusLine("HTTX/1.1 200 OK")},
    {"unknown version", StatusLine("HTTP/2.0 200 OK")},
    {"NUL in the reason phrase", StatusLine("HTTP/1.1 200 O\0K"s)},
    {"blank before the colon", Field("X-Name : v")},
    {"blank before the colon of the length", Length("Content-Length : 4")},
    {"blank in a name", Field("X Name: v")},
    {"empty name", Field(": v")},
    {"no colon", Field("X-Name")},
    {"control byte in a name", Field("X-\x01Name: v")},
    {"separator in a name", Field("X(Name): v")},
    {"byte above ASCII in a name", Field("X-N\xe4me: v")},
    {"NUL in a value", Field("X-Name: a\0b"s)},
    {"control byte in a value", Field("X-Name: a\x01"s + "b")},
    {"delete in a value", Field("X-Name: a\x7f"s + "b")},
    {"carriage return in a value", Field("X-Name: a\rb")},
    {"line feed in a value", Field("X-Name: a\nb: c")},
    {"folded line", Field("X-Name: a\r\n b")},
    {"folded line with a tab", Field("X-Name: a\r\n\tb")},
    {"folded line after an empty value", Field("X-Name:\r\n b")},
    {"folded first line", kOk.substr(0, 17) + " X-Name: v\r\n" + kFields + kBody},
    {"two lengths", Length("Content-Length: 4\r\nContent-Length: 3")},
    {"two equal lengths", Length("Content-Length: 4\r\nContent-Length: 4")},
    {"a list of lengths", Length("Content-Length: 4, 4")},
    {"length with a sign", Length("Content-Length: +4")},
    {"negative length", Length("Content-Length: -4")},
    {"length with a blank", Length("Content-Length: 4 4")},
    {"hexadecimal length", Length("Content-Length: 0x4")},
    {"length with a fraction", Length("Content-Length: 4.0")},
    {"empty length", Length("Content-Length:")},
    {"length above 64 bits", Length("Content-Length: 18446744073709551620")},
    {"length above the limit", Length("Content-Length: 999999999999")},
    {"length and chunks", kOk + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
                                "4\r\npart\r\n0\r\n\r\n"},
    {"chunks and length", kOk + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n"
                                "4\r\npart\r\n0\r\n\r\n"},
    {"length and unknown coding", Length("Transfer-Encoding: gzip\r\nContent-Length: 4")},
    {"chunk size that is no number",
     kOk + "Transfer-Encoding: chunked\r\n\r\n+4\r\npart\r\n0\r\n\r\n"},
    {"folded line in a trailer",
     kOk + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\nX-Name: a\r\n b\r\n\r\n"},
    {"only an interim response", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"interim response with a broken head",
     "HTTP/1.1 100 Continue\r\nX Name: v\r\n\r\n" + kOk + kBody},
    {"no HTTP", "part part part\r\n\r\n"},
    {"nothing", ""},
};

// Guards against a caller that gets a broken response as a valid one, and against a broken response
// that ends the process.
TEST_CASE("a broken response becomes 502") {
  std::vector<Daemon> daemons = StartDaemons();
  for (Daemon& daemon : daemons) {
    CAPTURE(daemon.name);
    for (const auto& [kind, bytes] : kBrokenResponses) {
      CAPTURE(kind);
      CheckRefused(daemon, {bytes});
    }
  }
}

// Guards against a part of a body that the caller gets as a whole one. While the upload is being
// written, the write operation may see the reset, and the read operation then only an end of file.
TEST_CASE("a response without a length that ends with a reset during the upload becomes 502") {
  std::vector<Daemon> daemons = StartDaemons();
  // More than the socket buffers of both ends hold, and less than a message of limpetd may have.
  const std::string upload(std::size_t{7} << 20, 'u');
  for (Daemon& daemon : daemons) {
    CAPTURE(daemon.name);
    for (const std::size_t body_bytes_read : {std::size_t{0}, std::size_t{200'000}}) {
      CAPTURE(body_bytes_read);
      for (const int delay_ms : {0, 1, 3, 10, 50}) {
        CAPTURE(delay_ms);
        CheckRefused(daemon,
                     {kOk + "\r\npart", End::kReset, body_bytes_read, milliseconds(delay_ms)},
                     upload);
      }
    }
    // After the whole upload, the read operation sees the reset itself.
    CheckRefused(daemon, {kOk + "\r\npart", End::kReset}, upload);
  }
}

// Guards against a success with a short body: the target stops anywhere in its response.
TEST_CASE("a response that is cut in its head or body becomes 502") {
  std::vector<Daemon> daemons = StartDaemons();
  const std::string head = kOk + "Content-Length: 40\r\n\r\n";
  const std::string whole = head + std::string(40, 'p');
  constexpr std::size_t kCuts = 26;
  for (Daemon& daemon : daemons) {
    CAPTURE(daemon.name);
    for (const End end : {End::kClose, End::kReset}) {
      CAPTURE(static_cast<int>(end));
      for (std::size_t cut = 0; cut < kCuts; ++cut) {
        CAPTURE(cut);
        CheckRefused(daemon, {whole.substr(0, cut * whole.size() / kCuts), end,
                              std::numeric_limits<std::size_t>::max(), milliseconds(1)});
      }
    }
  }
}

struct ValidResponse {
  std::string kind;
  std::string bytes;
  std::string status;
  std::string body;
};

const std::vector<ValidResponse> kValidResponses = {
    {"tab and bytes above ASCII in a value", kOk + "X-Name: a\tb\xe4\r\n" + kBody, "200", "part"},
    {"empty value", kOk + "X-Name:\r\n" + kBody, "200", "part"},
    {"blanks around the length", kOk + "Content-Length: \t 4 \t\r\n\r\npart", "200", "part"},
    {"no blank after the colon", kOk + "Content-Length:4\r\n\r\npart", "200", "part"},
    {"empty reason phrase", StatusLine("HTTP/1.1 200 "), "200", "part"},
    {"version 1.0", StatusLine("HTTP/1.0 200 OK"), "200", "part"},
    {"highest status", StatusLine("HTTP/1.1 599 Odd"), "599", "part"},
    {"interim responses",
     "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + kOk + kBody,
     "200", "part"},
    {"chunks with a trailer",
     kOk + "Transfer-Encoding: chunked\r\n\r\n2\r\npa\r\n2\r\nrt\r\n0\r\nX-Sum: 1\r\n\r\n", "200",
     "part"},
};

// Guards against a reader that refuses responses that are valid.
TEST_CASE("a valid response of an unusual form reaches the caller") {
  std::vector<Daemon> daemons = StartDaemons();
  for (Daemon& daemon : daemons) {
    CAPTURE(daemon.name);
    for (const ValidResponse& valid : kValidResponses) {
      CAPTURE(valid.kind);
      daemon.program->target().SetScript({valid.bytes});
      const std::string response = daemon.program->Post("/broken");
      CHECK(FirstLine(response).starts_with("HTTP/1.1 " + valid.status));
      CHECK(response.ends_with("\r\n\r\n" + valid.body));
      daemon.CheckServes();
    }
  }
}

}  // namespace
}  // namespace limpet
