#ifndef LIMPET_EDGE_LINK_H_
#define LIMPET_EDGE_LINK_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "limpet/core/time.h"
#include "limpet/edge/asio.h"
#include "limpet_types.h"

namespace limpet::edge {

/// One connection between two nodes: frames of a Thrift message and a raw body. A frame is the
/// length of both (4 bytes, big-endian), the length of the message (4 bytes), the message and the
/// body. A malformed frame closes the link.
class Link : public std::enable_shared_from_this<Link> {
 public:
  struct Handlers {
    std::function<void(wire::LinkMessage, std::string body)> on_message;
    /// Called at most once, not after `Close`.
    std::function<void(ErrorCode)> on_closed;
  };

  explicit Link(TcpSocket socket);

  void Start(Handlers handlers);
  void Send(const wire::LinkMessage& message, std::string body = {});
  void Close();

  bool closed() const { return closed_; }
  TimePoint last_received() const { return last_received_; }
  /// Bytes that wait to be written.
  size_t backlog() const { return backlog_; }

 private:
  void Read();
  void OnRead(std::size_t bytes);
  bool TakeFrame();
  void Write();
  void Fail(ErrorCode error);

  TcpSocket socket_;
  /// Shared, so that a handler may close the link that calls it.
  std::shared_ptr<const Handlers> handlers_;
  std::string input_;
  std::size_t input_start_ = 0;
  std::deque<std::string> outbox_;
  std::deque<std::string> writing_;
  size_t backlog_ = 0;
  bool closed_ = false;
  TimePoint last_received_{};
};

using LinkPtr = std::shared_ptr<Link>;

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_LINK_H_
