#include "membership/disseminator.h"

#include <algorithm>
#include <utility>

#include "membership/member_order.h"
#include "membership/probe_scheduler.h"

namespace limpet {
namespace {

// Tolerates the loss of one datagram and of one gateway on each side. Anti-entropy repairs other
// losses.
constexpr int kRelayTransmissions = 3;
// If more updates than this (about one datagram) are queued, each is relayed only once. Relaying
// each three times cost a gateway 105 KB/s when 294 members restarted together.
constexpr std::size_t kRelayOnceThreshold = 16;

}  // namespace

void Disseminator::Tick(TimePoint now, ControlOutput& output) {
  // The first update after an idle interval is sent in the same tick; the interval only spaces
  // retransmissions.
  if (now >= next_gossip_ && !(state_.gossip.empty() && state_.status_gossip.empty())) {
    next_gossip_ = now + state_.options.gossip_interval;
    SendGossip(output);
  }
  const bool is_gateway = state_.IsGateway();
  if (is_gateway && !was_gateway_) {
    QueueRecentChanges(now);
  }
  was_gateway_ = is_gateway;
  if (is_gateway && now >= next_relay_ && !state_.relay.empty()) {
    next_relay_ = now + state_.options.gossip_interval;
    SendRelay(output);
  }
}

void Disseminator::SendGossip(ControlOutput& output) {
  const int limit =
      TransmissionLimit(state_.options.retransmit_factor, state_.LiveLocalMembers().size());
  for (const Member* peer : PickRandom(state_.LiveLocalMembers(), state_.options.gossip_fanout,
                                       {state_.local.name}, state_.random)) {
    wire::Message message;
    message.__isset.gossip = true;
    message.gossip.data_centres = SelectStatuses(state_.MaxUpdateBytes() / 2, limit);
    int remaining_bytes = state_.MaxUpdateBytes();
    for (const wire::DataCentreStatus& status : message.gossip.data_centres) {
      remaining_bytes -= static_cast<int>(status.data_centre.size()) + 16;
    }
    message.gossip.updates = SelectUpdates(state_.gossip, remaining_bytes, limit);
    if (!message.gossip.updates.empty() || !message.gossip.data_centres.empty()) {
      state_.Send(MemberAddress(peer->record), std::move(message), output);
    }
  }
}

void Disseminator::SendRelay(ControlOutput& output) {
  wire::Message message;
  message.__isset.gossip = true;
  const int limit = state_.relay.size() > kRelayOnceThreshold ? 1 : kRelayTransmissions;
  message.gossip.updates = SelectUpdates(state_.relay, state_.MaxUpdateBytes(), limit);
  if (message.gossip.updates.empty()) {
    return;
  }
  for (const std::string& data_centre : state_.ReachableDataCentres()) {
    if (const Member* gateway = state_.NextGateway(data_centre)) {
      state_.Send(MemberAddress(gateway->record), message, output);
    }
  }
}

std::vector<wire::MemberRecord> Disseminator::SelectUpdates(GossipQueue& queue,
                                                            int max_bytes,
                                                            int limit) {
  std::vector<wire::MemberRecord> updates;
  const auto size_of = [&](const std::string& name) {
    const Member* member = state_.table.Find(name);
    return member == nullptr ? 0 : MaxEncodedSize(member->record);
  };
  for (const std::string& name : queue.SelectBatch(max_bytes, limit, size_of)) {
    if (const Member* member = state_.table.Find(name)) {
      updates.push_back(member->record);
    } else {
      queue.Remove(name);
    }
  }
  return updates;
}

std::vector<wire::DataCentreStatus> Disseminator::SelectStatuses(int max_bytes, int limit) {
  std::vector<wire::DataCentreStatus> statuses;
  const auto size_of = [](const std::string& name) { return static_cast<int>(name.size()) + 16; };
  for (const std::string& name : state_.status_gossip.SelectBatch(max_bytes, limit, size_of)) {
    statuses.push_back(*state_.statuses.Find(name));
  }
  return statuses;
}

void Disseminator::QueueRecentChanges(TimePoint now) {
  const Duration window = 2 * (state_.options.probe_timeout + state_.options.suspicion_timeout);
  for (const auto& [name, member] : state_.table.members()) {
    if (state_.IsInLocalDataCentre(member.record) && now - member.changed_at <= window) {
      state_.relay.Push(name);
    }
  }
}

void Disseminator::OnGossip(TimePoint now, const wire::Envelope& envelope, ControlOutput& output) {
  for (const wire::MemberRecord& record : envelope.message.gossip.updates) {
    state_.MergeRecord(now, record, UpdateSource::kGossip, output);
  }
  const Member* sender = state_.table.Find(envelope.sender);
  if (sender == nullptr || !state_.IsInLocalDataCentre(sender->record)) {
    return;  // reachability as seen from another data centre does not apply to this one
  }
  for (const wire::DataCentreStatus& status : envelope.message.gossip.data_centres) {
    state_.MergeStatus(status);
  }
}

}  // namespace limpet
