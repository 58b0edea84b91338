#ifndef LIMPET_EDGE_RESPONSE_READER_H_
#define LIMPET_EDGE_RESPONSE_READER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

#include "limpet/edge/asio.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "limpet/core/time.h"
#include "limpet/net/http_message.h"

namespace limpet::edge {

/// How the end of a response is recognised.
enum class ResponseFraming {
  kUnknown,     // the head is not complete
  kNoBody,      // the status or the request method allows no body
  kLength,      // Content-Length
  kChunked,     // last chunk
  kUntilClose,  // end of the connection
};

/// Reads one HTTP/1 response from the bytes of a connection. Accepts only a response that no two
/// readers can understand differently:
/// - status 100 to 599 in exactly three digits, version 1.0 or 1.1;
/// - header names are tokens (RFC 9110, 5.6.2), directly followed by the colon;
/// - reason phrase and values without control bytes except tab;
/// - no folded lines, also not in trailers;
/// - at most one Content-Length, of digits only, and not beside Transfer-Encoding;
/// - no transfer coding but chunked, and only with version 1.1.
/// Never throws. After an error the reader must not be used again. Trailers are dropped.
class ResponseReader {
 public:
  /// `expects_body` is false for the response to HEAD.
  ResponseReader(std::size_t max_body_bytes, bool expects_body);
  ResponseReader(const ResponseReader&) = delete;
  ResponseReader& operator=(const ResponseReader&) = delete;

  /// Reads from `bytes`, which start with those that earlier calls did not consume. Returns the
  /// number of bytes consumed; none after the end of the response.
  std::size_t Put(std::string_view bytes, ErrorCode& error);
  /// Reports that the connection ended, without an error, after the bytes that were read. Sets
  /// `error` if the response is not complete.
  void PutEnd(ErrorCode& error);

  bool is_complete() const { return is_complete_; }
  ResponseFraming framing() const { return framing_; }
  /// True if another response may follow on the connection.
  bool keep_alive() const { return keep_alive_; }
  /// Value of "timeout=N" in the Keep-Alive header.
  std::optional<Duration> keep_alive_timeout() const { return keep_alive_timeout_; }
  /// Returns the complete response, without the headers that apply to the connection.
  HttpResponse Release() { return std::move(response_); }

 private:
  using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

  std::size_t PutChecked(std::string_view bytes, ErrorCode& error);
  /// Checks the head once it is complete. Returns false if it is not, or on an error.
  bool CheckHead(std::string_view bytes, ErrorCode& error);
  void CheckTrailers(std::string_view bytes, std::size_t consumed, ErrorCode& error);
  void OnHead();
  void OnComplete();

  const bool expects_body_;
  Parser parser_;
  /// Size of the head; 0 until it was checked.
  std::size_t head_bytes_ = 0;
  bool head_read_ = false;
  /// Bytes of an incomplete head that need not be searched for its end again.
  std::size_t searched_ = 0;
  ResponseFraming framing_ = ResponseFraming::kUnknown;
  bool is_complete_ = false;
  bool keep_alive_ = false;
  std::optional<Duration> keep_alive_timeout_;
  HttpResponse response_;
  /// Start of the trailers in the bytes of the current call of `Put`.
  const char* trailers_ = nullptr;
  std::function<void(std::uint64_t, boost::beast::string_view, ErrorCode&)> on_chunk_;
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_RESPONSE_READER_H_
