#include "limpet/edge/local_target.h"

#include <utility>

#include "limpet/edge/event_log.h"
#include "limpet/net/clock.h"

namespace limpet::edge {

namespace {

/// The health endpoint is asked for a target without any heartbeat for this long after the start of
/// the node; later, only heartbeats announce one.
constexpr Duration kDiscoveryTime = std::chrono::seconds(2);
constexpr Duration kDiscoveryInterval = std::chrono::milliseconds(250);
/// Slots assumed for a discovered target if no other target of its service is known. Kept low until
/// the first heartbeat states the real number.
constexpr int kAssumedSlots = 4;

std::string FormatAddress(const PeerAddress& address) {
  return address.host + ":" + std::to_string(address.port);
}

}  // namespace

LocalTarget::LocalTarget(const Executor& executor,
                         const NodeSettings& settings,
                         const HttpHeaderNames& header_names,
                         AnnouncementCodec& codec,
                         const ConfigHolder& config,
                         const TargetPlacement& placement,
                         InboundProxy& inbound,
                         Counters& counters)
    : settings_(settings),
      codec_(codec),
      config_(config),
      placement_(placement),
      inbound_(inbound),
      counters_(counters),
      started_(MonotonicNow()),
      registry_(FormatAddress(settings.target), started_, UnixMs()),
      probe_(executor, header_names) {}

void LocalTarget::OnSettings() {
  registry_.set_address(FormatAddress(settings_.target));
}

void LocalTarget::OnAnnouncement(const HttpSessionPtr& session) {
  try {
    const AnnouncementCodec::Message message = codec_.Decode(session->request());
    announced_ = true;
    if (message.announcement) {
      ApplyAnnouncement(*message.announcement);
    } else if (message.leave) {
      registry_.OnLeave(MonotonicNow(), message.leave->instance, message.leave->start_time_ms);
      inbound_.SetTarget(registry_.current());
      LogEvent("target_left").Add("instance", message.leave->instance);
    }
  } catch (const DecodeError& error) {
    counters_.Get("announcements_malformed").Add();
    LogEvent("announcement_malformed").Add("problem", error.what());
    session->Respond(TextResponse(400, std::string(error.what()) + "\n"));
    return;
  }
  session->Respond(codec_.Acknowledge());
}

void LocalTarget::ApplyAnnouncement(const TargetAnnouncement& announcement) {
  const bool known_service = announcement.service == settings_.service || !config_.routes() ||
                             config_.routes()->FindService(announcement.service) != nullptr;
  if (!known_service) {
    throw DecodeError("service " + announcement.service + " is not in the configuration");
  }
  const TargetAnnouncement* before = registry_.current();
  const std::string instance = before == nullptr ? "" : before->instance;
  const bool was_draining = before != nullptr && before->draining;
  const AnnouncementResult result = registry_.OnAnnouncement(MonotonicNow(), announcement);
  const bool changed = result == AnnouncementResult::kLate ||
                       result == AnnouncementResult::kWrongPlace ||
                       instance != announcement.instance ||
                       was_draining != (result == AnnouncementResult::kDraining);
  if (changed) {
    LogEvent("target_announced")
        .Add("instance", announcement.instance)
        .Add("result", EnumName(kAnnouncementResultNames, result))
        .Add("sequence", announcement.sequence)
        .Add("address", announcement.address)
        .Add("slots", announcement.slots);
  }
  if (result == AnnouncementResult::kCurrent || result == AnnouncementResult::kDraining) {
    inbound_.SetTarget(registry_.current());
  }
  Check(MonotonicNow());
}

void LocalTarget::Check(TimePoint now) {
  if (!config_.routes() || probe_.pending()) {
    return;
  }
  const TargetAnnouncement* candidate = registry_.FindCheckDue(now);
  const bool discovers = candidate == nullptr && !announced_ && registry_.current() == nullptr &&
                         now - started_ <= kDiscoveryTime &&
                         now - last_discovery_ >= kDiscoveryInterval;
  if (candidate == nullptr && !discovers) {
    return;
  }
  const std::string service_name = discovers ? settings_.service : candidate->service;
  const MeshService* service = config_.routes()->FindService(service_name);
  const bool has_health_check = service != nullptr && !service->health_path.empty();
  if (discovers) {
    last_discovery_ = now;
  }
  const std::string instance = discovers ? "" : candidate->instance;
  const int64_t check = registry_.OnCheckSent(now, instance);
  if (has_health_check) {
    probe_.Send(settings_.target, service->health_path,
                [this, check, instance](const TargetProbe::Result& result) {
                  OnChecked(check, instance, result);
                });
  } else if (service != nullptr && registry_.ConfirmUnchecked(instance)) {
    LogEvent("target_unchecked").Add("instance", instance).Add("service", service_name);
    inbound_.SetTarget(registry_.current());
  }
}

void LocalTarget::OnChecked(int64_t check,
                            const std::string& candidate,
                            const TargetProbe::Result& result) {
  const bool used = result.healthy && registry_.OnCheckPassed(check, result.instance);
  if (used || !candidate.empty()) {
    LogEvent("target_checked")
        .Add("candidate", candidate)
        .Add("status", int64_t{result.status})
        .Add("instance", result.instance)
        .Add("used", int64_t{used});
  }
  const int known_slots = placement_.MinSlots(settings_.service);
  const int slots = known_slots > 0 ? known_slots : kAssumedSlots;
  const bool discovered = result.healthy && candidate.empty() && !announced_ &&
                          registry_.OnDiscovered(check, result.instance, settings_.service, slots);
  if (discovered) {
    LogEvent("target_discovered").Add("instance", result.instance).Add("slots", slots);
  }
  if (used || discovered) {
    inbound_.SetTarget(registry_.current());
  }
}

}  // namespace limpet::edge
