#include "limpet/edge/vm_link.h"

namespace limpet::edge {

FrameKind ClassifyFrame(const wire::LinkMessage& message) {
  const auto& set = message.__isset;
  const std::pair<bool, FrameKind> kinds[] = {
      {set.hello, FrameKind::kHandshake}, {set.call, FrameKind::kCall},
      {set.reply, FrameKind::kReply},     {set.body_request, FrameKind::kBody},
      {set.body_part, FrameKind::kBody},  {set.chunk, FrameKind::kBody},
      {set.cancel, FrameKind::kCancel},   {set.status, FrameKind::kStatus},
      {set.config, FrameKind::kConfig},   {set.config_request, FrameKind::kConfig},
      {set.probe, FrameKind::kProbe},     {set.silence, FrameKind::kProbe}};
  for (const auto& [is_set, kind] : kinds) {
    if (is_set) {
      return kind;
    }
  }
  return FrameKind::kKeepalive;
}

}  // namespace limpet::edge
