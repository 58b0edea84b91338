#include "membership/gateway_monitor.h"

#include <algorithm>
#include <vector>

#include "membership/probe_scheduler.h"

namespace limpet {
namespace {

constexpr int kReannounceTimeoutFactor = 3;

}  // namespace

void GatewayMonitor::Tick(TimePoint now, ControlOutput& output) {
  if (!state_.IsGateway()) {
    // Timeouts start again when this node becomes a gateway.
    remotes_.clear();
    return;
  }
  for (const std::string& data_centre : state_.table.DataCentres()) {
    if (data_centre != state_.local.data_centre) {
      const auto [it, is_new] = remotes_.try_emplace(data_centre);
      if (is_new) {
        it->second = MakeRemoteDataCentre(now);
      }
      CheckDataCentre(now, data_centre, it->second, output);
    }
  }
}

GatewayMonitor::RemoteDataCentre GatewayMonitor::MakeRemoteDataCentre(TimePoint now) {
  // A random phase spreads the pings to the other data centres over the interval.
  const Duration phase(state_.random.NextBelow(
      static_cast<uint64_t>(state_.options.gateway_probe_interval.count())));
  return {now, now - phase, now, false, now};
}

void GatewayMonitor::CheckDataCentre(TimePoint now,
                                     const std::string& data_centre,
                                     RemoteDataCentre& remote,
                                     ControlOutput& output) {
  const Duration time_since_contact = now - remote.last_contact;
  const Duration interval = state_.options.gateway_probe_interval;
  // Pings from the other data centre count as contact, so usually only one side has to ping.
  if (time_since_contact >= interval && now - remote.last_ping >= interval) {
    remote.last_ping = now;
    SendPings(data_centre, time_since_contact, output);
  }
  const Duration timeout = state_.options.data_centre_timeout;
  // Another gateway that still has contact overrides this status and announces the data centre as
  // reachable. The status is announced again because the override may come from a member that is no
  // longer a gateway; the interval between announcements keeps the status from alternating.
  const bool should_announce = remote.is_unreachable
                                   ? now - remote.announced_at >= kReannounceTimeoutFactor * timeout
                                   : time_since_contact >= timeout;
  if (should_announce) {
    remote.is_unreachable = true;
    remote.announced_at = now;
    if (state_.statuses.IsReachable(data_centre)) {
      state_.SetStatus(data_centre, false);
    }
  }
}

void GatewayMonitor::SendPings(const std::string& data_centre,
                               Duration time_since_contact,
                               ControlOutput& output) {
  if (time_since_contact < 2 * state_.options.gateway_probe_interval) {
    if (const Member* gateway = state_.NextGateway(data_centre)) {
      state_.SendPing(gateway->record, state_.NextNonce(), output);
    }
    return;
  }
  std::vector<std::string_view> pinged;
  for (const Member* gateway : state_.table.Gateways(data_centre)) {
    state_.SendPing(gateway->record, state_.NextNonce(), output);
    pinged.push_back(gateway->record.name);
  }
  // Both gateways may have been replaced without this node having been informed, so another live
  // member is pinged too.
  for (const Member* member :
       PickRandom(state_.table.Live(data_centre), 1, pinged, state_.random)) {
    state_.SendPing(member->record, state_.NextNonce(), output);
  }
}

void GatewayMonitor::OnMessage(TimePoint now,
                               const wire::Envelope& envelope,
                               ControlOutput& output) {
  const Member* sender = state_.table.Find(envelope.sender);
  if (sender == nullptr || state_.IsInLocalDataCentre(sender->record) || !state_.IsGateway()) {
    return;
  }
  const std::string& data_centre = sender->record.data_centre;
  RemoteDataCentre& remote =
      remotes_.try_emplace(data_centre, MakeRemoteDataCentre(now)).first->second;
  remote.last_contact = now;
  const bool was_unreachable = remote.is_unreachable || !state_.statuses.IsReachable(data_centre);
  remote.is_unreachable = false;
  if (!state_.statuses.IsReachable(data_centre)) {
    state_.SetStatus(data_centre, true);
  }
  // A message from a member that is not a known gateway shows that the gateways were replaced while
  // no updates arrived from there. The other side may have missed updates too.
  const bool are_gateways_outdated = std::ranges::none_of(
      state_.table.Gateways(data_centre),
      [&](const Member* gateway) { return gateway->record.name == envelope.sender; });
  if (was_unreachable || (are_gateways_outdated && now >= remote.next_digest)) {
    remote.next_digest = now + state_.options.data_centre_timeout;
    state_.SendDigest(SenderAddress(envelope), output);
  }
}

}  // namespace limpet
