#include "membership/failure_detector.h"

#include <utility>
#include <vector>

#include "membership/member_order.h"

namespace limpet {
namespace {

using wire::MemberState;

// A longer gap between two ticks means that this process was paused: acks may wait unread, so its
// timers say nothing about others.
constexpr Duration kPauseGap = std::chrono::milliseconds(500);

wire::Message AckOf(int64_t nonce, const NodeState& state) {
  wire::Message message;
  message.__isset.ack = true;
  message.ack.nonce = nonce;
  message.ack.version = state.version;
  message.ack.ready = state.is_ready;
  return message;
}

}  // namespace

void FailureDetector::Start(TimePoint now) {
  last_tick_ = now;
  next_probe_ = now + Duration(state_.random.NextBelow(
                          static_cast<uint64_t>(state_.options.probe_interval.count())));
}

void FailureDetector::Tick(TimePoint now, ControlOutput& output) {
  if (now - last_tick_ >= kPauseGap) {
    probe_.reset();
    state_.table.RestartSuspicions(now);
  }
  last_tick_ = now;
  if (state_.local.state == MemberState::kLeft) {
    return;
  }
  std::erase_if(errands_, [&](const auto& entry) { return entry.second.deadline <= now; });
  ContinueProbe(now, output);
  if (!probe_ && now >= next_probe_) {
    StartProbe(now, output);
  }
  DeclareDead(now, output);
}

void FailureDetector::StartProbe(TimePoint now, ControlOutput& output) {
  next_probe_ = std::max(next_probe_ + state_.options.probe_interval, now);
  const Member* member =
      scheduler_.Next(state_.table, state_.local.data_centre, state_.local.name, state_.random);
  if (member == nullptr) {
    return;
  }
  probe_ = {member->record.name, state_.NextNonce(), now};
  state_.SendPing(member->record, probe_->nonce, output);
}

void FailureDetector::ContinueProbe(TimePoint now, ControlOutput& output) {
  if (!probe_) {
    return;
  }
  const Duration waited = now - probe_->started;
  if (!probe_->is_indirect && waited >= state_.options.ack_timeout) {
    probe_->is_indirect = true;
    SendIndirect(output);
  }
  if (waited >= state_.options.probe_timeout) {
    const std::string name = probe_->name;
    probe_.reset();
    Suspect(now, name, output);
  }
}

void FailureDetector::SendIndirect(ControlOutput& output) {
  const Member* target = state_.table.Find(probe_->name);
  if (target == nullptr) {
    return;
  }
  wire::Message message;
  message.__isset.ping_request = true;
  message.ping_request.nonce = probe_->nonce;
  message.ping_request.name = probe_->name;
  message.ping_request.host = target->record.host;
  message.ping_request.port = target->record.port;
  for (const Member* prober : PickRandom(state_.Peers(), state_.options.indirect_probes,
                                         {state_.local.name, probe_->name}, state_.random)) {
    state_.Send(AddressOf(prober->record), message, output);
  }
}

void FailureDetector::Suspect(TimePoint now, const std::string& name, ControlOutput& output) {
  const Member* member = state_.table.Find(name);
  if (member == nullptr || member->record.state != MemberState::kAlive) {
    return;
  }
  wire::MemberRecord record = member->record;
  record.state = MemberState::kSuspect;
  state_.MergeRecord(now, record, UpdateSource::kLocal, output);
  own_suspicions_.insert(name);
  // The gateways start their timers with this node's, so that other data centres learn a death
  // without the delay of gossip.
  state_.SendToGateways(record, output);
  state_.SendPing(record, state_.NextNonce(), output);
}

void FailureDetector::DeclareDead(TimePoint now, ControlOutput& output) {
  std::vector<wire::MemberRecord> dead;
  for (const std::string& name : state_.table.suspects()) {
    const Member& member = *state_.table.Find(name);
    if (state_.IsLocalDataCentre(member.record) &&
        now - member.state_since >= state_.options.suspicion_timeout) {
      dead.push_back(member.record);
      dead.back().state = MemberState::kDead;
    }
  }
  for (const wire::MemberRecord& record : dead) {
    state_.MergeRecord(now, record, UpdateSource::kLocal, output);
    if (own_suspicions_.contains(record.name)) {
      state_.SendToGateways(record, output);
    }
  }
  std::erase_if(own_suspicions_,
                [&](const std::string& name) { return !state_.table.suspects().contains(name); });
}

void FailureDetector::OnPing(const wire::Envelope& envelope, ControlOutput& output) {
  wire::Message message = AckOf(envelope.message.ping.nonce, state_);
  const Member* sender = state_.table.Find(envelope.sender);
  if (sender != nullptr && (sender->record.state != MemberState::kAlive ||
                            sender->record.incarnation > envelope.sender_incarnation)) {
    // Lets the sender refute what is said about it.
    message.ack.updates.push_back(sender->record);
  }
  if (state_.local.state == MemberState::kLeft) {
    // The sender missed the announcement; nobody else may be left to tell it.
    message.ack.updates.push_back(state_.local);
  }
  state_.Send(SenderOf(envelope), std::move(message), output);
}

void FailureDetector::OnAck(const wire::Envelope& envelope, ControlOutput& output) {
  const int64_t nonce = envelope.message.ack.nonce;
  if (probe_ && probe_->nonce == nonce) {
    probe_.reset();
  }
  const auto errand = errands_.find(nonce);
  if (errand != errands_.end()) {
    state_.Send(errand->second.requester, AckOf(errand->second.nonce, state_), output);
    errands_.erase(errand);
  }
}

void FailureDetector::OnPingRequest(TimePoint now,
                                    const wire::Envelope& envelope,
                                    ControlOutput& output) {
  // Bounds what a flood of requests can make this node send.
  constexpr std::size_t kMaxErrands = 64;
  if (errands_.size() >= kMaxErrands) {
    return;
  }
  const wire::PingRequest& request = envelope.message.ping_request;
  const int64_t nonce = state_.NextNonce();
  errands_[nonce] = {request.nonce, SenderOf(envelope), now + state_.options.probe_timeout};
  wire::MemberRecord target;
  target.name = request.name;
  target.host = request.host;
  target.port = request.port;
  state_.SendPing(target, nonce, output);
}

}  // namespace limpet
