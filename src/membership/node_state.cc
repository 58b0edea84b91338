#include "membership/node_state.h"

#include <algorithm>
#include <utility>

#include "limpet/core/fault.h"
#include "limpet/wire/codec.h"
#include "membership/member_order.h"

namespace limpet {

using wire::MemberRecord;

NodeState::NodeState(MembershipOptions node_options, Random random_source, Counters& counters)
    : options(std::move(node_options)),
      random(random_source),
      // Starts at a random value, so that an ack for an earlier process of this name matches no
      // ping.
      next_nonce_(static_cast<int64_t>(random.NextBelow(uint64_t{1} << 30))),
      messages_sent_(counters.Get("membership_messages_sent")),
      bytes_sent_(counters.Get("membership_bytes_sent")),
      refutations_(counters.Get("membership_refutations")) {
  local.name = options.name;
  local.incarnation = options.incarnation;
  local.state = wire::MemberState::kAlive;
  local.target_state = wire::TargetState::kStarting;
  local.data_centre = options.data_centre;
  local.service_name = options.service;
  local.host = options.host;
  local.port = options.port;
}

void NodeState::Send(const PeerAddress& to, wire::Message message, ControlOutput& output) {
  OutgoingMessage outgoing{to, MakeEnvelope(local, std::move(message))};
  messages_sent_.Add();
  bytes_sent_.Add(static_cast<int64_t>(wire::Encode(outgoing.envelope).size()));
  output.messages.push_back(std::move(outgoing));
}

void NodeState::SendPing(const MemberRecord& to, int64_t nonce, ControlOutput& output) {
  wire::Message message;
  message.__isset.ping = true;
  message.ping.nonce = nonce;
  message.ping.version = version;
  message.ping.ready = is_ready;
  if (to.state != wire::MemberState::kAlive) {
    // Allows the member to refute this record of itself.
    message.ping.updates.push_back(to);
  }
  Send(MemberAddress(to), std::move(message), output);
}

void NodeState::SendDigest(const PeerAddress& to, ControlOutput& output) {
  wire::Message message;
  message.__isset.bucket_digest = true;
  message.bucket_digest.hashes = table.digest().ToWire();
  message.bucket_digest.reply_wanted = true;
  Send(to, std::move(message), output);
}

void NodeState::SendToGateways(const MemberRecord& record, ControlOutput& output) {
  for (const Member* gateway : table.Gateways(local.data_centre)) {
    if (gateway->record.name != local.name) {
      Send(MemberAddress(gateway->record), MakeGossip(record), output);
    }
  }
}

bool NodeState::MergeRecord(TimePoint now,
                            const MemberRecord& record,
                            UpdateSource source,
                            ControlOutput& output) {
  if (!IsWellFormed(record)) {
    return false;
  }
  if (record.name == local.name) {
    Refute(now, record, output);
    return false;
  }
  if (source == UpdateSource::kExchange && !IsLive(record) && table.Find(record.name) == nullptr) {
    // Nodes remove records of dead and left members at different times. Without this rule they
    // would send such a record back to each other forever.
    return false;
  }
  if (!table.Apply(now, record)) {
    return false;
  }
  const bool is_known_to_others =
      source == UpdateSource::kJoin || (source == UpdateSource::kExchange && !is_table_complete);
  if (!is_known_to_others) {
    Enqueue(record);
  }
  return true;
}

void NodeState::Enqueue(const MemberRecord& record) {
  gossip.Push(record.name);
  if (IsInLocalDataCentre(record) && IsGateway()) {
    relay.Push(record.name);
  }
}

void NodeState::Refute(TimePoint now, const MemberRecord& record, ControlOutput& output) {
  if (!IsNewer(record, local) || IsFaultActive(Fault::kSkipRefutation)) {
    return;
  }
  if (record.incarnation > local.incarnation) {
    // The random part keeps two restarted processes with low incarnations, each known to only one
    // side of a partition, from choosing the same incarnation.
    constexpr uint64_t kMaxIncarnationRaise = 1 << 20;
    local.incarnation =
        record.incarnation + 1 + static_cast<int64_t>(random.NextBelow(kMaxIncarnationRaise));
    local.sequence = 0;
  } else {
    local.sequence = record.sequence + 1;
  }
  refutations_.Add();
  AnnounceLocal(now, output);
}

void NodeState::AnnounceLocal(TimePoint now, ControlOutput& output) {
  const bool was_gateway = IsGateway();
  table.Apply(now, local);
  Enqueue(local);
  SendToGateways(local, output);
  if (!was_gateway) {
    return;
  }
  for (const std::string& data_centre : ReachableDataCentres()) {
    if (const Member* gateway = NextGateway(data_centre)) {
      Send(MemberAddress(gateway->record), MakeGossip(local), output);
    }
  }
}

void NodeState::MergeStatus(const wire::DataCentreStatus& status) {
  if (status.data_centre != local.data_centre && statuses.Apply(status)) {
    status_gossip.Push(status.data_centre);
  }
}

void NodeState::SetStatus(std::string_view data_centre, bool is_reachable) {
  statuses.Set(data_centre, is_reachable);
  status_gossip.Push(data_centre);
}

bool NodeState::IsGateway() const {
  return std::ranges::any_of(table.Gateways(local.data_centre), [&](const Member* gateway) {
    return gateway->record.name == local.name;
  });
}

bool NodeState::IsInLocalDataCentre(const MemberRecord& record) const {
  return record.data_centre == local.data_centre;
}

const std::vector<const Member*>& NodeState::LiveLocalMembers() const {
  return table.Live(local.data_centre);
}

const Member* NodeState::NextGateway(const std::string& data_centre) {
  const auto& gateways = table.Gateways(data_centre);
  const auto [it, is_new] = next_gateway_indexes_.try_emplace(data_centre, 0);
  if (is_new) {
    it->second = random.Next();
  }
  return gateways.empty() ? nullptr : gateways[it->second++ % gateways.size()];
}

std::vector<std::string> NodeState::ReachableDataCentres() const {
  std::vector<std::string> names = table.DataCentres();
  std::erase_if(names, [&](const std::string& name) {
    return name == local.data_centre || !statuses.IsReachable(name);
  });
  return names;
}

int NodeState::MaxUpdateBytes() const {
  // Headers of the envelope and of a gossip message including its two lists.
  constexpr int kEnvelopeBytes = 48;
  return options.max_datagram_bytes - kEnvelopeBytes -
         static_cast<int>(local.name.size() + local.host.size());
}

void NodeState::RecordVersion(const wire::Envelope& envelope, int64_t version, bool ready) {
  reported_versions[envelope.sender] = {envelope.sender, SenderAddress(envelope), version, ready};
}

wire::Message MakeGossip(const MemberRecord& record) {
  wire::Message message;
  message.__isset.gossip = true;
  message.gossip.updates.push_back(record);
  return message;
}

PeerAddress MemberAddress(const MemberRecord& record) {
  return {record.host, record.port};
}

PeerAddress SenderAddress(const wire::Envelope& envelope) {
  return {envelope.sender_host, envelope.sender_port};
}

wire::Envelope MakeEnvelope(const MemberRecord& local, wire::Message message) {
  wire::Envelope envelope;
  envelope.sender = local.name;
  envelope.sender_incarnation = local.incarnation;
  envelope.sender_host = local.host;
  envelope.sender_port = local.port;
  envelope.message = std::move(message);
  return envelope;
}

}  // namespace limpet
