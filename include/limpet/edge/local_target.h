#ifndef LIMPET_EDGE_LOCAL_TARGET_H_
#define LIMPET_EDGE_LOCAL_TARGET_H_

#include <optional>
#include <string>

#include "limpet/core/counters.h"
#include "limpet/edge/http_header_names.h"
#include "limpet/edge/http_session.h"
#include "limpet/edge/inbound_proxy.h"
#include "limpet/edge/target_probe.h"
#include "limpet/registry/target_registry.h"
#include "limpet/routing/config_holder.h"
#include "limpet/settings/node_settings.h"
#include "limpet/traffic/target_placement.h"

namespace limpet::edge {

/// Decodes the announcements of targets and recognises the other requests that a deployment sends
/// to a node. Implemented by an adapter.
class AnnouncementCodec {
 public:
  struct Leave {
    std::string instance;
    std::optional<int64_t> start_time_ms;
  };
  struct Message {
    /// Exactly one is set.
    std::optional<TargetAnnouncement> announcement;
    std::optional<Leave> leave;
  };

  virtual ~AnnouncementCodec() = default;
  /// Throws `DecodeError` if the request is not a valid announcement.
  virtual Message Decode(const HttpRequest& request) const = 0;
  /// Response to an accepted heartbeat or leave.
  virtual HttpResponse Acknowledge() const = 0;
  virtual bool IsReadinessRequest(const HttpRequest& request) const = 0;
};

/// Handles the announcements of the target beside this node and its health checks, and sets the
/// target of the inbound proxy.
class LocalTarget {
 public:
  /// The references must outlive the object. `settings` may change; `OnSettings` is called then.
  LocalTarget(const Executor& executor,
              const NodeSettings& settings,
              const HttpHeaderNames& header_names,
              AnnouncementCodec& codec,
              const ConfigHolder& config,
              const TargetPlacement& placement,
              InboundProxy& inbound,
              Counters& counters);

  void OnSettings();
  void OnAnnouncement(const HttpSessionPtr& session);
  /// Sends a health check to the target if the registry needs one, or if the node has just started
  /// and no target is known.
  void Check(TimePoint now);

 private:
  void ApplyAnnouncement(const TargetAnnouncement& announcement);
  /// `candidate` is the instance for which the check was sent; empty if none was known.
  void OnChecked(int64_t check, const std::string& candidate, const TargetProbe::Result& result);

  const NodeSettings& settings_;
  AnnouncementCodec& codec_;
  const ConfigHolder& config_;
  const TargetPlacement& placement_;
  InboundProxy& inbound_;
  Counters& counters_;
  TimePoint started_;
  TargetRegistry registry_;
  TargetProbe probe_;
  TimePoint last_discovery_{};
  /// The target has sent a heartbeat or a leave.
  bool announced_ = false;
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_LOCAL_TARGET_H_
