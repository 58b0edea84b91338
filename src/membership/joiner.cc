#include "membership/joiner.h"

#include <algorithm>
#include <utility>

#include "membership/member_order.h"
#include "membership/probe_scheduler.h"

namespace limpet {
namespace {

constexpr int kPartialReplyMembers = 12;
// The node takes its configuration from the most up-to-date of 3 peers, whose acks carry their
// versions.
constexpr int kPeersToPing = 3;
constexpr double kBackoffJitter = 0.5;
// If all members start at the same time, none has the full table. After this many join timeouts a
// member treats the table that it received through gossip and anti-entropy as complete and sends it
// to joining members.
constexpr int kFullTableTimeoutFactor = 5;

}  // namespace

void Joiner::Start(TimePoint now, ControlOutput& output) {
  started_ = now;
  seeds_ = state_.options.seeds;
  std::erase(seeds_, MemberAddress(state_.local));
  next_seed_ = state_.random.NextBelow(seeds_.size());
  backoff_ = state_.options.join_backoff_min;
  state_.AnnounceLocal(now, output);
  if (seeds_.empty()) {
    has_joined_ = true;
    state_.is_table_complete = true;
    return;
  }
  SendRequest(now, output);
}

void Joiner::Tick(TimePoint now, ControlOutput& output) {
  if (now - started_ >= state_.options.join_timeout) {
    has_joined_ = true;
  }
  if (now - started_ >= kFullTableTimeoutFactor * state_.options.join_timeout) {
    state_.is_table_complete = true;
  }
  if (!ShouldJoin()) {
    backoff_ = state_.options.join_backoff_min;
    next_attempt_ = now;
  } else if (now >= next_attempt_) {
    SendRequest(now, output);
  }
}

bool Joiner::ShouldJoin() const {
  if (state_.local.state == wire::MemberState::kLeft || seeds_.empty()) {
    return false;
  }
  // The local record is in the table too.
  return !state_.is_table_complete || state_.table.live_count() <= 1;
}

void Joiner::SendRequest(TimePoint now, ControlOutput& output) {
  wire::Message message;
  message.__isset.join_request = true;
  message.join_request.member = state_.local;
  state_.Send(SelectJoinAddress(), std::move(message), output);
  next_attempt_ = now + state_.random.Jitter(backoff_, kBackoffJitter);
  backoff_ = std::min(2 * backoff_, state_.options.join_backoff_max);
}

PeerAddress Joiner::SelectJoinAddress() {
  const auto peers = PickRandom(state_.LiveLocalMembers(), 1, {state_.local.name}, state_.random);
  if (!peers.empty() && state_.random.NextBelow(2) == 0) {
    return MemberAddress(peers.front()->record);
  }
  return seeds_[next_seed_++ % seeds_.size()];
}

void Joiner::OnRequest(TimePoint now, const wire::Envelope& envelope, ControlOutput& output) {
  const wire::MemberRecord& member = envelope.message.join_request.member;
  if (!IsWellFormed(member) || member.name != envelope.sender) {
    return;
  }
  state_.MergeRecord(now, member, UpdateSource::kGossip, output);
  const bool is_full = state_.is_table_complete && TryReserveFullReply(now, member.name);
  wire::Message message;
  message.__isset.join_reply = true;
  message.join_reply.members = is_full ? MakeFullTable(now) : MakePartialTable(member);
  message.join_reply.version = state_.version;
  message.join_reply.ready = state_.is_ready;
  message.join_reply.partial = !is_full;
  state_.Send(SenderAddress(envelope), std::move(message), output);
}

bool Joiner::TryReserveFullReply(TimePoint now, const std::string& joining_member) {
  constexpr Duration kWindow = std::chrono::seconds(1);
  std::erase_if(full_replies_, [&](const auto& entry) { return now - entry.second >= kWindow; });
  if (full_replies_.contains(joining_member) ||
      std::cmp_greater_equal(full_replies_.size(), state_.options.full_join_replies_per_second)) {
    return false;
  }
  full_replies_[joining_member] = now;
  return true;
}

std::vector<wire::MemberRecord> Joiner::MakeFullTable(TimePoint now) const {
  std::vector<wire::MemberRecord> members;
  members.reserve(state_.table.members().size());
  for (const auto& [name, member] : state_.table.members()) {
    // The receiver keeps the record of a dead or left member for a full tombstone lifetime again.
    // Omitting old ones limits how long such a record circulates.
    if (IsLive(member.record) || now - member.state_since < state_.options.tombstone_lifetime / 2) {
      members.push_back(member.record);
    }
  }
  return members;
}

std::vector<wire::MemberRecord> Joiner::MakePartialTable(const wire::MemberRecord& joining_member) {
  std::vector<wire::MemberRecord> members = {state_.local};
  for (const Member* member :
       PickRandom(state_.table.Live(joining_member.data_centre), kPartialReplyMembers,
                  {joining_member.name, state_.local.name}, state_.random)) {
    members.push_back(member->record);
  }
  // A restarted member needs to know of a record of itself with a higher incarnation.
  if (const Member* known = state_.table.Find(joining_member.name)) {
    members.push_back(known->record);
  }
  return members;
}

void Joiner::OnReply(TimePoint now, const wire::Envelope& envelope, ControlOutput& output) {
  const wire::JoinReply& reply = envelope.message.join_reply;
  const bool is_first = !has_joined_ || state_.table.live_count() <= 1;
  for (const wire::MemberRecord& record : reply.members) {
    state_.MergeRecord(now, record, UpdateSource::kJoin, output);
  }
  has_joined_ = true;
  if (!reply.partial) {
    state_.is_table_complete = true;
  }
  if (is_first) {
    PingRandomPeers(output);
  }
}

void Joiner::PingRandomPeers(ControlOutput& output) {
  for (const Member* peer :
       PickRandom(state_.LiveLocalMembers(), kPeersToPing, {state_.local.name}, state_.random)) {
    state_.SendPing(peer->record, state_.NextNonce(), output);
  }
}

}  // namespace limpet
