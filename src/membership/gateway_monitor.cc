#include "membership/gateway_monitor.h"

#include <algorithm>
#include <vector>

#include "membership/probe_scheduler.h"

namespace limpet {
namespace {

constexpr int kAnnouncePauseFactor = 3;

}  // namespace

void GatewayMonitor::Tick(TimePoint now, ControlOutput& output) {
  if (!state_.IsGateway()) {
    // The silence counts from the moment when this node becomes a gateway.
    links_.clear();
    return;
  }
  for (const std::string& data_centre : state_.table.DataCentres()) {
    if (data_centre != state_.local.data_centre) {
      const auto [it, is_new] = links_.try_emplace(data_centre);
      if (is_new) {
        it->second = MakeLink(now);
      }
      Watch(now, data_centre, it->second, output);
    }
  }
}

GatewayMonitor::Link GatewayMonitor::MakeLink(TimePoint now) {
  // A random phase spreads the pings to the other data centres over the interval.
  const Duration phase(state_.random.NextBelow(
      static_cast<uint64_t>(state_.options.gateway_probe_interval.count())));
  return {now, now - phase, now, false, now};
}

void GatewayMonitor::Watch(TimePoint now,
                           const std::string& data_centre,
                           Link& link,
                           ControlOutput& output) {
  const Duration silence = now - link.last_contact;
  const Duration interval = state_.options.gateway_probe_interval;
  // The pings of the other side count as contact, so that usually only one side has to ping.
  if (silence >= interval && now - link.last_ping >= interval) {
    link.last_ping = now;
    SendPings(data_centre, silence, output);
  }
  const Duration timeout = state_.options.data_centre_timeout;
  // If the other gateway has contact it contradicts and prevails; the pause keeps the status from
  // alternating. It is announced again because a contradiction may come from a member that is no
  // gateway any more.
  const bool is_due =
      link.is_lost ? now - link.announced >= kAnnouncePauseFactor * timeout : silence >= timeout;
  if (is_due) {
    link.is_lost = true;
    link.announced = now;
    if (state_.statuses.IsReachable(data_centre)) {
      state_.SetStatus(data_centre, false);
    }
  }
}

void GatewayMonitor::SendPings(const std::string& data_centre,
                               Duration silence,
                               ControlOutput& output) {
  if (silence < 2 * state_.options.gateway_probe_interval) {
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
  // Both gateways may have been replaced without notice.
  for (const Member* member :
       PickRandom(state_.table.Live(data_centre), 1, pinged, state_.random)) {
    state_.SendPing(member->record, state_.NextNonce(), output);
  }
}

void GatewayMonitor::OnContact(TimePoint now,
                               const wire::Envelope& envelope,
                               ControlOutput& output) {
  const Member* sender = state_.table.Find(envelope.sender);
  if (sender == nullptr || state_.IsLocalDataCentre(sender->record) || !state_.IsGateway()) {
    return;
  }
  const std::string& data_centre = sender->record.data_centre;
  Link& link = links_.try_emplace(data_centre, MakeLink(now)).first->second;
  link.last_contact = now;
  const bool is_back = link.is_lost || !state_.statuses.IsReachable(data_centre);
  link.is_lost = false;
  if (!state_.statuses.IsReachable(data_centre)) {
    state_.SetStatus(data_centre, true);
  }
  // An answer from another member than the known gateways shows that these were replaced while
  // nobody could tell this side, and perhaps the other way round.
  const bool is_replaced = std::ranges::none_of(
      state_.table.Gateways(data_centre),
      [&](const Member* gateway) { return gateway->record.name == envelope.sender; });
  if (is_back || (is_replaced && now >= link.next_digest)) {
    link.next_digest = now + state_.options.data_centre_timeout;
    state_.SendDigest(SenderOf(envelope), output);
  }
}

}  // namespace limpet
