#ifndef LIMPET_EDGE_LINK_H_
#define LIMPET_EDGE_LINK_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "limpet/core/time.h"
#include "limpet/edge/egress_pacer.h"
#include "limpet_types.h"

namespace limpet::edge {

/// One connection between two nodes: frames of a Thrift message and a raw body. A frame is the
/// length of both (4 bytes, big-endian), the length of the message (4 bytes), the message and the
/// body. A malformed frame closes the link.
class Link final : public PacedSender, public std::enable_shared_from_this<Link> {
 public:
  struct Handlers {
    std::function<void(wire::LinkMessage, std::string body)> on_message;
    /// Called at most once, not after `Close`.
    std::function<void(ErrorCode)> on_closed;
    /// The large response of this call is on its way. May be empty.
    std::function<void(int64_t call_id)> on_transfer;
  };

  /// Large bodies are sent in parts at the pace of `pacer`; without one they are sent at once.
  explicit Link(TcpSocket socket, std::shared_ptr<EgressPacer> pacer = nullptr);

  void Start(Handlers handlers);
  /// A large body should have left by `due`.
  void Send(const wire::LinkMessage& message, std::string body = {}, TimePoint due = {});
  /// Gives up the large response of a call if it has not left yet.
  void DropReply(int64_t call_id);
  void Close();

  std::size_t SendChunk(int64_t transfer) override;

  bool closed() const { return closed_; }
  TimePoint last_received() const { return last_received_; }
  TimePoint last_sent() const { return last_sent_; }

 private:
  /// A large body on its way out.
  struct Transfer {
    wire::LinkMessage message;
    std::string body;
    std::size_t sent = 0;
  };

  void SendFrame(const wire::LinkMessage& message, std::string body);
  void SendChunkFrame(int64_t transfer, wire::LinkMessage message, bool last, std::string part);
  void Read();
  void OnRead(std::size_t bytes);
  bool AddChunk(const wire::LinkMessage& message, std::string& body);
  bool ParseFrame();
  void Write();
  void Fail(ErrorCode error);

  TcpSocket socket_;
  /// Shared, so that a handler may close the link that calls it.
  std::shared_ptr<const Handlers> handlers_;
  std::shared_ptr<EgressPacer> pacer_;
  /// By the pacer's ids.
  std::map<int64_t, Transfer> transfers_;
  /// Parts of bodies that are coming in, by transfer.
  std::map<int64_t, std::string> chunks_;
  std::string input_;
  std::size_t input_start_ = 0;
  std::deque<std::string> outbox_;
  std::deque<std::string> writing_;
  bool closed_ = false;
  TimePoint last_received_{};
  TimePoint last_sent_{};
};

using LinkPtr = std::shared_ptr<Link>;

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_LINK_H_
