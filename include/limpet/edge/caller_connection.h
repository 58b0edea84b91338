#ifndef LIMPET_EDGE_CALLER_CONNECTION_H_
#define LIMPET_EDGE_CALLER_CONNECTION_H_

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "limpet/edge/http_session.h"

namespace limpet::edge {

/// One connection of a caller. Passes requests on while earlier ones are pending, as long as all of
/// them are safe (GET, HEAD, OPTIONS); any other request waits until all before it are answered,
/// and nothing behind it is passed on before its response is written. Nothing is read behind a
/// request that ends the connection.
///
/// Detects immediately when the caller disconnects while requests are pending, and ends them all.
/// Malformed requests get 400, oversized headers 431, oversized bodies 413, requests that arrive
/// too slowly 408, and requests for which the `CallerMemory` has no room 503; the connection is
/// then closed. It is also closed without a response if the memory is short while it is idle or its
/// caller does not read.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  /// `options` must outlive the connection.
  CallerConnection(TcpSocket socket, const HttpSessionOptions& options);

  void Start();
  int descriptor() { return socket_.native_handle(); }
  void OnResponse(HttpSession& session, HttpResponse response);

 private:
  /// What has been received of the next request.
  enum class Input { kNone, kHeaders, kBody };
  enum class Phase { kOpen, kClosing, kClosed };
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  void Read();
  /// Reads the next request, or reads ahead while requests are pending, to detect that the caller
  /// disconnects. Stops when enough bytes of later requests are buffered or the memory is short.
  void ContinueReading();
  void OnRead(ErrorCode error, std::size_t bytes);
  /// Whether buffered bytes may be parsed as the next request now.
  bool MayParse() const;
  void Parse();
  void BeginRequest();
  void Dispatch();
  void PassOn(const HttpSessionPtr& session);
  void RefuseMalformed(const ErrorCode& error);
  /// Answers the request that is being received, after the pending ones, and closes the connection.
  void RespondAndClose(int status, const std::string& text);
  /// Counts the part of the request that the parser holds. Returns false if there is no room.
  bool ReserveRequest(std::size_t consumed);
  void WriteNext();
  void OnWritten(bool keep_alive);
  void BeginClose();
  void Close();
  void UpdateActivity();
  /// Counts the bytes that this connection holds now.
  void UpdateMemory();
  void SetTimeout(Duration timeout);
  void WaitForTimeout();
  void OnTimeout();

  TcpSocket socket_;
  const HttpSessionOptions& options_;
  Timer timer_;
  TimePoint expiry_{};
  bool timer_pending_ = false;
  Phase phase_ = Phase::kOpen;
  Input input_ = Input::kNone;
  bool reading_ = false;
  bool writing_ = false;
  /// The caller ended its requests, or one of them was refused: nothing further is parsed.
  bool last_request_read_ = false;
  CallerMemory::Account memory_account_;
  /// Requests that were passed on and whose responses are not written yet, in their order.
  std::deque<HttpSessionPtr> pending_;
  /// Request that waits until all pending ones are answered; null if there is none.
  HttpSessionPtr waiting_;
  /// Bytes of the head that is being received, and estimates of the memory of the request.
  std::size_t head_length_ = 0;
  std::size_t head_bytes_ = 0;
  std::size_t body_bytes_ = 0;
  /// Destination of a pending read. Separate from `buffer_`, which is parsed while a read is
  /// pending.
  std::array<char, 4096> read_buffer_;
  /// Received bytes that are not parsed yet.
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_CALLER_CONNECTION_H_
