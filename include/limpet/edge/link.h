#ifndef LIMPET_EDGE_LINK_H_
#define LIMPET_EDGE_LINK_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "limpet/core/time.h"
#include "limpet/edge/vm_link.h"
#include "limpet_types.h"

namespace limpet::edge {

/// One connection between two nodes. It carries frames; a frame consists of the total length of
/// message and body (4 bytes, big-endian), the length of the message (4 bytes), a Thrift message
/// and a raw body. A malformed frame closes the link.
class Link final : public PacedSender, public std::enable_shared_from_this<Link> {
 public:
  struct Handlers {
    std::function<void(wire::LinkMessage, std::string body)> on_message;
    /// Called at most once, and not after `Close`.
    std::function<void(ErrorCode)> on_closed;
    /// Called when the peer starts to send the large response of this call. May be empty.
    std::function<void(int64_t call_id)> on_transfer;
  };

  /// Large bodies are sent in chunks at the rate of the VM's network link; without a pacer they are
  /// sent at once.
  explicit Link(TcpSocket socket, VmLink vm_link = {});

  void Start(Handlers handlers);
  /// `due` is the time by which a large body should be sent; the pacer orders transfers by it.
  void Send(const wire::LinkMessage& message, std::string body = {}, TimePoint due = {});
  /// Stops sending the large response of a call if it has not been sent completely.
  void DropReply(int64_t call_id);
  void Close();
  /// The peer is in another data centre; sent bytes are counted accordingly.
  void set_remote(bool remote) { remote_ = remote; }

  std::size_t SendChunk(int64_t transfer) override;

  bool closed() const { return closed_; }
  TimePoint last_received() const { return last_received_; }
  TimePoint last_sent() const { return last_sent_; }

 private:
  /// A large body that is being sent.
  struct Transfer {
    wire::LinkMessage message;
    std::string body;
    std::size_t sent = 0;
  };

  void SendFrame(const wire::LinkMessage& message, std::string body);
  void SendChunkFrame(int64_t transfer, wire::LinkMessage message, bool last, std::string chunk);
  void Read();
  void OnRead(std::size_t bytes);
  bool AddChunk(const wire::LinkMessage& message, std::string& body);
  bool ParseFrame();
  void Write();
  void Fail(ErrorCode error);

  TcpSocket socket_;
  /// Shared, so that a handler that is running survives when it closes the link.
  std::shared_ptr<const Handlers> handlers_;
  VmLink vm_link_;
  bool remote_ = false;
  /// Outgoing transfers by the id that the pacer returned.
  std::map<int64_t, Transfer> transfers_;
  /// Received chunks of incomplete bodies, by transfer id.
  std::map<int64_t, std::string> incoming_bodies_;
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
