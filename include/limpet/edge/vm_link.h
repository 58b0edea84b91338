#ifndef LIMPET_EDGE_VM_LINK_H_
#define LIMPET_EDGE_VM_LINK_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>

#include "limpet/core/enum_names.h"
#include "limpet/edge/link_pacer.h"
#include "limpet_types.h"

namespace limpet::edge {

/// What a frame between nodes is sent for.
enum class FrameKind {
  kHandshake,
  kCall,
  kReply,
  kBody,  // chunks of large bodies and requests for them
  kCancel,
  kStatus,
  kConfig,
  kProbe,
  kKeepalive,
};

inline constexpr EnumNames<FrameKind, 9> kFrameKindNames = {{
    {FrameKind::kHandshake, "handshake"},
    {FrameKind::kCall, "call"},
    {FrameKind::kReply, "reply"},
    {FrameKind::kBody, "body"},
    {FrameKind::kCancel, "cancel"},
    {FrameKind::kStatus, "status"},
    {FrameKind::kConfig, "config"},
    {FrameKind::kProbe, "probe"},
    {FrameKind::kKeepalive, "keepalive"},
}};

FrameKind ClassifyFrame(const wire::LinkMessage& message);

/// Bytes of the frames that this node has sent, without the headers of the network protocols.
class LinkTraffic {
 public:
  void Record(FrameKind kind, bool to_other_data_centre, std::size_t bytes) {
    bytes_[to_other_data_centre ? 1 : 0][static_cast<std::size_t>(kind)] +=
        static_cast<int64_t>(bytes);
  }
  int64_t bytes(FrameKind kind, bool to_other_data_centre) const {
    return bytes_[to_other_data_centre ? 1 : 0][static_cast<std::size_t>(kind)];
  }

 private:
  std::array<std::array<int64_t, kFrameKindNames.size()>, 2> bytes_{};
};

/// The network link of the VM, shared by all connections to other nodes.
struct VmLink {
  /// Null if the link is too fast to need pacing.
  std::shared_ptr<LinkPacer> egress;
  std::shared_ptr<LinkPacer> ingress;
  /// Null if traffic is not counted.
  std::shared_ptr<LinkTraffic> traffic;
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_VM_LINK_H_
