#include "membership/disseminator.h"

#include <algorithm>
#include <utility>

#include "membership/member_order.h"
#include "membership/probe_scheduler.h"

namespace limpet {
namespace {

// Covers the loss of one datagram and of one gateway on each side; anti-entropy repairs the rest.
constexpr int kRelayTransmissions = 3;
// With more updates than this waiting, about one datagram, each is relayed once: when 294 members
// restarted together, three times cost a gateway 105 KB/s.
constexpr std::size_t kRelayBacklog = 16;

}  // namespace

void Disseminator::Tick(TimePoint now, ControlOutput& output) {
  // An update that finds the queue idle is sent in the same tick; the interval only spaces the
  // repetitions.
  if (now >= next_gossip_ && !(state_.gossip.empty() && state_.status_gossip.empty())) {
    next_gossip_ = now + state_.options.gossip_interval;
    SendGossip(output);
  }
  const bool is_gateway = state_.IsGateway();
  if (is_gateway && !was_gateway_) {
    OnBecomeGateway(now);
  }
  was_gateway_ = is_gateway;
  if (is_gateway && now >= next_relay_ && !state_.relay.empty()) {
    next_relay_ = now + state_.options.gossip_interval;
    SendRelay(output);
  }
}

void Disseminator::SendGossip(ControlOutput& output) {
  const int limit = TransmissionLimit(state_.options.retransmit_factor, state_.Peers().size());
  for (const Member* peer : PickRandom(state_.Peers(), state_.options.gossip_fanout,
                                       {state_.local.name}, state_.random)) {
    wire::Message message;
    message.__isset.gossip = true;
    message.gossip.data_centres = TakeStatuses(state_.UpdateBudget() / 2, limit);
    int left = state_.UpdateBudget();
    for (const wire::DataCentreStatus& status : message.gossip.data_centres) {
      left -= static_cast<int>(status.data_centre.size()) + 16;
    }
    message.gossip.updates = TakeUpdates(state_.gossip, left, limit);
    if (!message.gossip.updates.empty() || !message.gossip.data_centres.empty()) {
      state_.Send(AddressOf(peer->record), std::move(message), output);
    }
  }
}

void Disseminator::SendRelay(ControlOutput& output) {
  wire::Message message;
  message.__isset.gossip = true;
  const int limit = state_.relay.size() > kRelayBacklog ? 1 : kRelayTransmissions;
  message.gossip.updates = TakeUpdates(state_.relay, state_.UpdateBudget(), limit);
  if (message.gossip.updates.empty()) {
    return;
  }
  for (const std::string& data_centre : state_.ReachableDataCentres()) {
    if (const Member* gateway = state_.NextGateway(data_centre)) {
      state_.Send(AddressOf(gateway->record), message, output);
    }
  }
}

std::vector<wire::MemberRecord> Disseminator::TakeUpdates(GossipQueue& queue,
                                                          int max_bytes,
                                                          int limit) {
  std::vector<wire::MemberRecord> updates;
  const auto size_of = [&](const std::string& name) {
    const Member* member = state_.table.Find(name);
    return member == nullptr ? 0 : MaxEncodedSize(member->record);
  };
  for (const std::string& name : queue.Take(max_bytes, limit, size_of)) {
    if (const Member* member = state_.table.Find(name)) {
      updates.push_back(member->record);
    } else {
      queue.Remove(name);
    }
  }
  return updates;
}

std::vector<wire::DataCentreStatus> Disseminator::TakeStatuses(int max_bytes, int limit) {
  std::vector<wire::DataCentreStatus> statuses;
  const auto size_of = [](const std::string& name) { return static_cast<int>(name.size()) + 16; };
  for (const std::string& name : state_.status_gossip.Take(max_bytes, limit, size_of)) {
    statuses.push_back(*state_.statuses.Find(name));
  }
  return statuses;
}

void Disseminator::OnBecomeGateway(TimePoint now) {
  const Duration window = 2 * (state_.options.probe_timeout + state_.options.suspicion_timeout);
  for (const auto& [name, member] : state_.table.members()) {
    if (state_.IsLocalDataCentre(member.record) && now - member.changed_at <= window) {
      state_.relay.Push(name);
    }
  }
}

void Disseminator::OnGossip(TimePoint now, const wire::Envelope& envelope, ControlOutput& output) {
  for (const wire::MemberRecord& record : envelope.message.gossip.updates) {
    state_.MergeRecord(now, record, UpdateSource::kGossip, output);
  }
  const Member* sender = state_.table.Find(envelope.sender);
  if (sender == nullptr || !state_.IsLocalDataCentre(sender->record)) {
    return;  // the reachability that another data centre sees says nothing about this one
  }
  for (const wire::DataCentreStatus& status : envelope.message.gossip.data_centres) {
    state_.LearnStatus(status);
  }
}

}  // namespace limpet
