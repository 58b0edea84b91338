#include "limpet/edge/response_reader.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <exception>
#include <utility>

#include "limpet/core/fault.h"
#include "limpet/edge/http_convert.h"

namespace limpet::edge {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t kMaxHeadBytes = std::size_t{64} << 10;
/// Received bytes that the parser has not consumed. It consumes bodies at once, but the length of a
/// line between chunks and of the trailers is not bounded otherwise.
constexpr std::size_t kMaxUnparsedBytes = std::size_t{128} << 10;
constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kProtocol = "HTTP/1.";

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

/// Characters of a token (RFC 9110, 5.6.2).
bool IsTokenCharacter(char c) {
  constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return IsDigit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         kSymbols.find(c) != std::string_view::npos;
}

/// True for control bytes that neither a value nor a reason phrase may hold.
bool IsForbidden(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return (byte < 0x20 && c != '\t') || byte == 0x7f;
}

std::string_view TrimBlanks(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const std::size_t start = text.find_first_not_of(kBlanks);
  return start == std::string_view::npos
             ? std::string_view()
             : text.substr(start, text.find_last_not_of(kBlanks) - start + 1);
}

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

/// Removes the first line and its end from `text`.
std::string_view TakeLine(std::string_view& text) {
  const std::size_t end = std::min(text.find(kLineEnd), text.size());
  const std::string_view line = text.substr(0, end);
  text.remove_prefix(std::min(end + kLineEnd.size(), text.size()));
  return line;
}

ErrorCode CheckStatusLine(std::string_view line) {
  // "HTTP/1.1 200 " and the reason phrase, which may be empty.
  constexpr std::size_t kStatusAt = 9;
  constexpr std::size_t kReasonAt = 13;
  if (line.size() < kReasonAt || !line.starts_with(kProtocol) ||
      (line[kProtocol.size()] != '0' && line[kProtocol.size()] != '1') ||
      line[kProtocol.size() + 1] != ' ') {
    return http::error::bad_version;
  }
  const std::string_view status = line.substr(kStatusAt, 3);
  if (!std::ranges::all_of(status, IsDigit) || status[0] < '1' || status[0] > '5' ||
      line[kReasonAt - 1] != ' ') {
    return http::error::bad_status;
  }
  if (std::ranges::any_of(line.substr(kReasonAt), IsForbidden)) {
    return http::error::bad_reason;
  }
  return {};
}

/// Fields that determine where the body of a response ends.
struct FramingFields {
  int lengths = 0;
  int codings = 0;
};

ErrorCode CheckField(std::string_view line, FramingFields& framing) {
  if (line.front() == ' ' || line.front() == '\t') {
    return http::error::bad_obs_fold;
  }
  const std::size_t colon = line.find(':');
  const std::string_view name = line.substr(0, colon);
  if (colon == std::string_view::npos || name.empty() ||
      !std::ranges::all_of(name, IsTokenCharacter)) {
    return http::error::bad_field;
  }
  const std::string_view value = TrimBlanks(line.substr(colon + 1));
  if (std::ranges::any_of(value, IsForbidden)) {
    return http::error::bad_value;
  }
  if (EqualsIgnoringCase(name, "Content-Length")) {
    ++framing.lengths;
    if (value.empty() || !std::ranges::all_of(value, IsDigit)) {
      return http::error::bad_content_length;
    }
  } else if (EqualsIgnoringCase(name, "Transfer-Encoding")) {
    ++framing.codings;
    if (!EqualsIgnoringCase(value, "chunked")) {
      return http::error::bad_transfer_encoding;
    }
  }
  return {};
}

/// Checks the lines up to an empty one.
ErrorCode CheckFields(std::string_view text, FramingFields& framing) {
  while (!text.empty()) {
    const std::string_view line = TakeLine(text);
    if (line.empty()) {
      break;
    }
    if (const ErrorCode error = CheckField(line, framing)) {
      return error;
    }
  }
  return {};
}

/// `head` ends with an empty line.
ErrorCode CheckHeadText(std::string_view head) {
  const std::string_view status_line = TakeLine(head);
  if (const ErrorCode error = CheckStatusLine(status_line)) {
    return error;
  }
  FramingFields framing;
  if (const ErrorCode error = CheckFields(head, framing)) {
    return error;
  }
  if (framing.lengths > 1 || (framing.lengths > 0 && framing.codings > 0)) {
    return http::error::bad_content_length;
  }
  const bool has_chunks = status_line[kProtocol.size()] == '1';
  if (framing.codings > 1 || (framing.codings > 0 && !has_chunks)) {
    return http::error::bad_transfer_encoding;
  }
  return {};
}

/// Returns the value of "timeout=N" (seconds) in a Keep-Alive header; no value if absent or
/// invalid.
std::optional<Duration> ParseKeepAliveTimeout(boost::beast::string_view text) {
  constexpr std::string_view kName = "timeout=";
  const std::string_view value(text.data(), text.size());
  const std::size_t start = value.find(kName);
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view digits = value.substr(start + kName.size());
  digits = digits.substr(0, digits.find_first_not_of("0123456789"));
  const int seconds = ParseNonNegative(digits, -1);
  return seconds < 0 ? std::nullopt : std::optional<Duration>(std::chrono::seconds(seconds));
}

}  // namespace

ResponseReader::ResponseReader(std::size_t max_body_bytes, bool expects_body)
    : expects_body_(expects_body),
      on_chunk_([this](std::uint64_t size, boost::beast::string_view extension, ErrorCode& error) {
        // The parser reports the last chunk only together with the whole trailers.
        if (size == 0) {
          trailers_ = extension.data() + extension.size() + kLineEnd.size();
        }
        error = {};
      }) {
  parser_.header_limit(kMaxHeadBytes);
  parser_.body_limit(max_body_bytes);
  parser_.eager(true);
  parser_.skip(!expects_body);
  parser_.on_chunk_header(on_chunk_);
}

std::size_t ResponseReader::Put(std::string_view bytes, ErrorCode& error) {
  error = {};
  try {
    return PutChecked(bytes, error);
  } catch (const std::exception&) {
    // The parser throws for what it cannot store, for example if memory is short.
    error = http::error::bad_value;
    return 0;
  }
}

std::size_t ResponseReader::PutChecked(std::string_view bytes, ErrorCode& error) {
  if (is_complete_ || bytes.empty() || !CheckHead(bytes, error)) {
    return 0;
  }
  std::size_t total = 0;
  while (!parser_.is_done() && total < bytes.size()) {
    // The parser adds trailers to the fields of the head and loses the error for a length above the
    // limit if it gets the head together with the body.
    const std::string_view rest = bytes.substr(total, head_read_ ? bytes.size() : head_bytes_);
    const std::size_t consumed = parser_.put(asio::const_buffer(rest.data(), rest.size()), error);
    total += consumed;
    const bool needs_more = error == http::error::need_more;
    if (needs_more) {
      error = {};
    }
    if (error) {
      return total;
    }
    if (!head_read_ && parser_.is_header_done()) {
      OnHead();
    }
    if (needs_more || consumed == 0) {
      break;
    }
  }
  CheckTrailers(bytes, total, error);
  if (!error && parser_.is_done()) {
    OnComplete();
  } else if (!error && bytes.size() - total > kMaxUnparsedBytes) {
    error = http::error::buffer_overflow;
  }
  return total;
}

bool ResponseReader::CheckHead(std::string_view bytes, ErrorCode& error) {
  if (head_bytes_ > 0) {
    return true;
  }
  if (!kProtocol.starts_with(bytes.substr(0, kProtocol.size()))) {
    error = http::error::bad_version;
    return false;
  }
  const std::size_t end = bytes.find(kHeadEnd, searched_);
  if (std::min(end, bytes.size()) > kMaxHeadBytes - kHeadEnd.size()) {
    error = http::error::header_limit;
    return false;
  }
  if (end == std::string_view::npos) {
    searched_ = bytes.size() - std::min(bytes.size(), kHeadEnd.size() - 1);
    return false;
  }
  head_bytes_ = end + kHeadEnd.size();
  if (!IsFaultActive(Fault::kSkipResponseCheck)) {
    error = CheckHeadText(bytes.substr(0, head_bytes_));
  }
  return !error;
}

void ResponseReader::CheckTrailers(std::string_view bytes, std::size_t consumed, ErrorCode& error) {
  if (trailers_ == nullptr) {
    return;
  }
  const auto start = static_cast<std::size_t>(std::exchange(trailers_, nullptr) - bytes.data());
  FramingFields framing;
  if (!IsFaultActive(Fault::kSkipResponseCheck)) {
    error = CheckFields(bytes.substr(start, consumed - start), framing);
  }
}

void ResponseReader::OnHead() {
  head_read_ = true;
  const auto& message = parser_.get();
  response_.status = static_cast<int>(message.result_int());
  response_.headers = ToHttpHeaders(message);
  keep_alive_timeout_ = ParseKeepAliveTimeout(message["Keep-Alive"]);
  keep_alive_ = parser_.keep_alive();
  const int status = response_.status;
  if (!expects_body_ || status < 200 || status == 204 || status == 304) {
    framing_ = ResponseFraming::kNoBody;
  } else if (parser_.chunked()) {
    framing_ = ResponseFraming::kChunked;
  } else {
    framing_ = parser_.need_eof() ? ResponseFraming::kUntilClose : ResponseFraming::kLength;
  }
}

void ResponseReader::OnComplete() {
  is_complete_ = true;
  response_.body = std::move(parser_.get().body());
}

void ResponseReader::PutEnd(ErrorCode& error) {
  error = {};
  if (is_complete_) {
    return;
  }
  if (framing_ != ResponseFraming::kUntilClose) {
    error = asio::error::eof;
    return;
  }
  OnComplete();
}

}  // namespace limpet::edge
