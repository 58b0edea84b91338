#ifndef LIMPET_EDGE_HTTP_CONNECTION_H_
#define LIMPET_EDGE_HTTP_CONNECTION_H_

#include <functional>
#include <memory>
#include <optional>

#include <boost/beast/core/flat_buffer.hpp>

#include "limpet/control/control_output.h"
#include "limpet/core/enum_names.h"
#include "limpet/edge/asio.h"
#include "limpet/edge/http_convert.h"
#include "limpet/edge/response_reader.h"

namespace limpet::edge {

/// How one exchange on a connection ended.
enum class ExchangeStatus {
  kResponded,
  kNotConnected,  // nothing was sent
  kBroken,        // the response is not valid, or the connection failed before it was complete
  kTimedOut,
};

inline constexpr EnumNames<ExchangeStatus, 4> kExchangeStatusNames = {{
    {ExchangeStatus::kResponded, "answered"},
    {ExchangeStatus::kNotConnected, "not_connected"},
    {ExchangeStatus::kBroken, "broken"},
    {ExchangeStatus::kTimedOut, "timed_out"},
}};

struct ExchangeResult {
  ExchangeStatus status = ExchangeStatus::kBroken;
  HttpResponse response;
  /// At least one byte was received in response.
  bool response_begun = false;
  /// Framing of the response that was received last, complete or not.
  ResponseFraming framing = ResponseFraming::kUnknown;
  /// Set by `RepeatedExchange`: start of the attempt that ended.
  TimePoint sent_at{};
  /// Set by `RepeatedExchange`: the attempt sent the repeated request, not the first one.
  bool repeated = false;
  /// Cause of a failure, for logs.
  ErrorCode error;
};

struct HttpConnectionOptions {
  PeerAddress peer;
  Duration connect_timeout = std::chrono::seconds(1);
  /// The kernel closes the connection when the peer does not respond for about this long.
  Duration peer_timeout = std::chrono::seconds(3);
  /// How long an idle connection may be reused if the peer sends no Keep-Alive timeout.
  Duration idle_timeout = std::chrono::seconds(4);
  /// A longer response breaks the connection. A target in trouble may send bytes without end, on as
  /// many connections as it has slots.
  size_t max_response_bytes = size_t{8} << 20;
};

/// One HTTP/1.1 connection to a server, with one exchange at a time. Never resends a request. A
/// late response to an earlier request is detected by the `Matcher` and dropped.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  using Callback = std::function<void(ExchangeResult)>;
  /// Returns true if a response with these headers belongs to the request that was sent.
  using Matcher = std::function<bool(const HttpHeaders&)>;

  HttpConnection(const Executor& executor, HttpConnectionOptions options);

  /// Connects first if needed. `timeout` covers the request and response, not connecting.
  /// `callback` is called exactly once, never from within `Send`, unless `Close` is called first.
  void Send(HttpRequest request, Duration timeout, Matcher matches, Callback callback);
  /// Closes the connection. The callback of a pending exchange is not called.
  void Close();

  /// True if another exchange can start on this connection now.
  bool IsReusable(TimePoint now) const;
  /// True if the peer has closed the idle connection, or sent bytes without a request, and the
  /// event loop has not seen it yet.
  bool HasPeerEnded();
  /// True while the connection is being established; nothing was sent then.
  bool is_connecting() const { return state_ == State::kConnecting; }
  TimePoint idle_since() const { return idle_since_; }

 private:
  enum class State { kNew, kConnecting, kIdle, kBusy, kClosed };

  void Connect();
  void OnConnected(ErrorCode error);
  void WriteRequest();
  void OnWritten(ErrorCode error);
  void BeginResponse();
  void Read();
  void OnRead(ErrorCode error, std::size_t bytes);
  void Parse();
  void OnEnd();
  /// True if an error was seen on the connection, in either direction.
  bool HasConnectionError();
  void OnResponse();
  void FinishExchange();
  void Fail(ExchangeStatus status, ErrorCode error);
  void StartTimer(Duration timeout, ExchangeStatus status);
  void CloseSocket();

  HttpConnectionOptions options_;
  TcpSocket socket_;
  Timer timer_;
  State state_ = State::kNew;
  BeastRequest request_;
  Duration timeout_{0};
  Matcher matches_;
  Callback callback_;
  bool writing_ = false;
  bool request_sent_ = false;
  /// The peer closed its direction of the connection in an orderly way.
  bool at_end_ = false;
  ErrorCode write_error_;
  bool reading_ = false;
  bool response_complete_ = false;
  bool response_begun_ = false;
  bool keep_alive_ = true;
  int skipped_responses_ = 0;
  int interim_responses_ = 0;
  HttpResponse response_;
  boost::beast::flat_buffer buffer_;
  std::optional<ResponseReader> reader_;
  TimePoint idle_since_{};
  TimePoint usable_until_{};
};

using HttpConnectionPtr = std::shared_ptr<HttpConnection>;

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_HTTP_CONNECTION_H_
