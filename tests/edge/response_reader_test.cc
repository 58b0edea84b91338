#include "limpet/edge/response_reader.h"

#include <doctest/doctest.h>

#include <optional>
#include <regex>
#include <string>
#include <vector>

#include "support/property.h"

namespace limpet::edge {
namespace {

using namespace std::string_literals;

constexpr std::size_t kMaxBodyBytes = 1000;
constexpr int kCases = 4000;
constexpr int kSize = 40;

struct ReadResult {
  bool failed = false;
  std::optional<HttpResponse> response;
  ResponseFraming framing = ResponseFraming::kUnknown;
  std::size_t consumed = 0;
};

/// Gives the bytes to a reader as a connection does, in pieces that end at the given places, and
/// then the end of the connection.
ReadResult ReadInPieces(const std::string& bytes, const std::vector<std::size_t>& ends) {
  ResponseReader reader(kMaxBodyBytes, true);
  ReadResult result;
  const auto take = [&](std::size_t end) {
    ErrorCode error;
    result.consumed +=
        reader.Put(std::string_view(bytes).substr(result.consumed, end - result.consumed), error);
    result.failed = result.failed || error;
  };
  for (const std::size_t end : ends) {
    if (!result.failed && !reader.is_complete() && end > result.consumed) {
      take(end);
    }
  }
  if (!result.failed && !reader.is_complete()) {
    take(bytes.size());
  }
  if (!result.failed) {
    ErrorCode error;
    reader.PutEnd(error);
    result.failed = static_cast<bool>(error);
  }
  result.framing = reader.framing();
  if (!result.failed) {
    result.response = reader.Release();
  }
  return result;
}

ReadResult Read(const std::string& bytes) {
  return ReadInPieces(bytes, {});
}

bool HasControlByte(const std::string& text) {
  return std::ranges::any_of(text, [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return (byte < 32 || byte == 127) && c != '\t';
  });
}

/// The conditions of a valid head, written a second time. `head` is everything before the first
/// empty line.
std::string FindViolation(const std::string& head) {
  static const std::regex kStatusLine("HTTP/1\\.[01] [1-5][0-9][0-9] [^]*");
  static const std::regex kName("[-!#$%&'*+.^_`|~0-9A-Za-z]+");
  static const std::regex kLength("[ \t]*[0-9]+[ \t]*");
  static const std::regex kLengthName("content-length", std::regex::icase);
  static const std::regex kCodingName("transfer-encoding", std::regex::icase);
  int lengths = 0;
  int codings = 0;
  std::size_t start = 0;
  for (int number = 0; start <= head.size(); ++number) {
    const std::size_t end = std::min(head.find("\r\n", start), head.size());
    const std::string line = head.substr(start, end - start);
    start = end + 2;
    if (HasControlByte(line)) {
      return "control byte";
    }
    if (number == 0) {
      if (!std::regex_match(line, kStatusLine)) {
        return "status line";
      }
      continue;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos || !std::regex_match(line.substr(0, colon), kName)) {
      return "name";
    }
    if (std::regex_match(line.substr(0, colon), kLengthName)) {
      ++lengths;
      if (!std::regex_match(line.substr(colon + 1), kLength)) {
        return "length";
      }
    }
    codings += std::regex_match(line.substr(0, colon), kCodingName) ? 1 : 0;
  }
  return lengths > 1 || (lengths > 0 && codings > 0) ? "framing" : "";
}

std::vector<std::size_t> DrawPieces(std::size_t size) {
  std::vector<std::size_t> ends;
  const int count = test::DrawInRange(0, 6);
  for (int i = 0; i < count; ++i) {
    ends.push_back(static_cast<std::size_t>(test::DrawInRange(0, static_cast<int>(size) + 1)));
  }
  std::ranges::sort(ends);
  return ends;
}

/// Checks one input: an accepted response has no violation and states what its bytes state, and the
/// pieces in which the bytes arrive make no difference.
void CheckInput(const std::string& bytes) {
  const ReadResult whole = Read(bytes);
  const ReadResult pieces = ReadInPieces(bytes, DrawPieces(bytes.size()));
  RC_ASSERT(pieces.failed == whole.failed);
  if (!whole.response) {
    return;
  }
  RC_ASSERT(pieces.response->status == whole.response->status);
  RC_ASSERT(pieces.response->body == whole.response->body);
  RC_ASSERT(pieces.consumed == whole.consumed);
  const std::size_t head_end = bytes.find("\r\n\r\n");
  RC_ASSERT(head_end != std::string::npos);
  RC_ASSERT(FindViolation(bytes.substr(0, head_end)) == "");
  RC_ASSERT(std::to_string(whole.response->status) == bytes.substr(9, 3));
  RC_ASSERT(whole.response->body.size() <= kMaxBodyBytes);
  RC_ASSERT(whole.consumed <= bytes.size());
  if (whole.framing == ResponseFraming::kLength || whole.framing == ResponseFraming::kUntilClose) {
    RC_ASSERT(whole.response->body == bytes.substr(head_end + 4, whole.consumed - head_end - 4));
  }
}

std::string DrawFragment() {
  static const std::vector<std::string> kFragments = {"HTTP/1.1 200 OK\r\n",
                                                      "HTTP/1.0 ",
                                                      "HTTP/1.1 ",
                                                      "200",
                                                      "099",
                                                      "600",
                                                      "2000",
                                                      "X-Name: v\r\n",
                                                      "X Name : v\r\n",
                                                      "\r\n",
                                                      "\r\n",
                                                      "\r\n\r\n",
                                                      "\r\n ",
                                                      "\r\n\t",
                                                      "Content-Length",
                                                      "\r",
                                                      "\n",
                                                      "\0"s,
                                                      ": ",
                                                      ":",
                                                      " ",
                                                      "\x7f",
                                                      "\xe4",
                                                      "+",
                                                      "Transfer-Encoding: chunked\r\n",
                                                      "0\r\n\r\n",
                                                      "3\r\nabc\r\n",
                                                      "ffffffffffffffff",
                                                      "Content-Length: 3\r\n",
                                                      "Connection: close\r\n",
                                                      "abc",
                                                      ";x=\"",
                                                      ","};
  return kFragments[static_cast<std::size_t>(
      test::DrawInRange(0, static_cast<int>(kFragments.size())))];
}

TEST_CASE("the reader accepts no arbitrary bytes that break a condition") {
  CHECK(test::CheckProperty("arbitrary bytes", 20261207, kCases, kSize,
                            [] { CheckInput(*rc::gen::arbitrary<std::string>()); }));
  CHECK(test::CheckProperty("fragments of responses", 20261208, kCases, kSize, [] {
    std::string bytes = test::DrawInRange(0, 4) == 0 ? "" : "HTTP/1.1 200 OK\r\n";
    const int count = test::DrawInRange(0, 12);
    for (int i = 0; i < count; ++i) {
      bytes += DrawFragment();
    }
    CheckInput(bytes);
  }));
}

TEST_CASE("the reader accepts no changed response that breaks a condition") {
  static const std::vector<std::string> kResponses = {
      "HTTP/1.1 200 OK\r\nX-Name: a b\r\nContent-Length: 5\r\n\r\nwhole",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Name: v\r\n\r\n"
      "3;x=\"y\"\r\nwho\r\n2\r\nle\r\n0\r\nX-Sum: 1\r\nX-Other: 2\r\n\r\n",
      "HTTP/1.0 404 Not Found\r\nKeep-Alive: timeout=5\r\n\r\nuntil the end",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"};
  CHECK(test::CheckProperty("changed responses", 20261209, kCases, kSize, [] {
    std::string bytes = kResponses[static_cast<std::size_t>(
        test::DrawInRange(0, static_cast<int>(kResponses.size())))];
    const int changes = test::DrawInRange(0, 4);
    for (int i = 0; i < changes; ++i) {
      const auto at =
          static_cast<std::size_t>(test::DrawInRange(0, static_cast<int>(bytes.size()) + 1));
      const auto length =
          std::min(bytes.size() - at, static_cast<std::size_t>(test::DrawInRange(0, 6)));
      switch (test::DrawInRange(0, 4)) {
        case 0:
          bytes.replace(at, length, DrawFragment());
          break;
        case 1:
          bytes.erase(at, length);
          break;
        case 2:
          bytes.insert(at, DrawFragment());
          break;
        default:
          bytes.insert(at, 1, static_cast<char>(test::DrawInRange(0, 256)));
      }
    }
    CheckInput(bytes);
  }));
}

TEST_CASE("the reader drops trailers and checks them") {
  const std::string start =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0;x=y\r\n";
  const ReadResult valid = Read(start + "X-Sum: 1\r\n\r\n");
  REQUIRE(valid.response);
  CHECK(valid.framing == ResponseFraming::kChunked);
  CHECK(valid.response->body == "abc");
  // Guards against a trailer that passes for a response signature or a request id.
  CHECK(valid.response->headers.empty());
  for (const std::string& trailers :
       {"X-Sum: 1\r\n 2\r\n\r\n"s, "X-Sum : 1\r\n\r\n"s, "X-Sum: \0\r\n\r\n"s, "X-Sum\r\n\r\n"s,
        "Content-Length: 3\r\n\r\n"s, "Transfer-Encoding: chunked\r\n\r\n"s}) {
    CAPTURE(trailers);
    CHECK(Read(start + trailers).failed);
  }
}

TEST_CASE("the reader reports how a response ends") {
  CHECK(Read("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").framing == ResponseFraming::kLength);
  CHECK(Read("HTTP/1.1 204 OK\r\n\r\n").framing == ResponseFraming::kNoBody);
  const ReadResult until_close = Read("HTTP/1.1 200 OK\r\n\r\npart");
  CHECK(until_close.framing == ResponseFraming::kUntilClose);
  CHECK(until_close.response->body == "part");
  // Guards against a coded body that is passed on without the header that names its coding.
  CHECK(Read("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nx").failed);
  CHECK(Read("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n").failed);
  CHECK(Read("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n").failed);
}

TEST_CASE("the reader bounds the head and the body") {
  const auto with_head = [](std::size_t bytes) {
    return "HTTP/1.1 200 OK\r\nX: " + std::string(bytes, 'x') + "\r\nContent-Length: 0\r\n\r\n";
  };
  CHECK(Read(with_head(60'000)).response);
  CHECK(Read(with_head(70'000)).failed);
  CHECK(Read("HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n" + std::string(1001, 'x')).failed);
  CHECK(Read("HTTP/1.1 200 OK\r\n\r\n" + std::string(1001, 'x')).failed);
}

}  // namespace
}  // namespace limpet::edge
