#include "membership/joiner.h"

#include <algorithm>
#include <utility>

#include "membership/member_order.h"
#include "membership/probe_scheduler.h"

namespace limpet {
namespace {

constexpr int kShortListMembers = 12;
// The configuration is taken from the most recent of 3 peers, whose versions the acks tell.
constexpr int kPingedPeers = 3;
constexpr double kBackoffSpread = 0.5;
// When all members start at once, none has the whole table to give. Past this time a member serves
// what gossip and anti-entropy have brought it.
constexpr int kGiveUpFactor = 5;

}  // namespace

void Joiner::Start(TimePoint now, ControlOutput& output) {
  started_ = now;
  seeds_ = state_.options.seeds;
  std::erase(seeds_, AddressOf(state_.local));
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
  if (now - started_ >= kGiveUpFactor * state_.options.join_timeout) {
    state_.is_table_complete = true;
  }
  if (!IsJoinWanted()) {
    backoff_ = state_.options.join_backoff_min;
    next_attempt_ = now;
  } else if (now >= next_attempt_) {
    SendRequest(now, output);
  }
}

bool Joiner::IsJoinWanted() const {
  if (state_.local.state == wire::MemberState::kLeft || seeds_.empty()) {
    return false;
  }
  // The table holds the local record.
  return !state_.is_table_complete || state_.table.live_count() <= 1;
}

void Joiner::SendRequest(TimePoint now, ControlOutput& output) {
  wire::Message message;
  message.__isset.join_request = true;
  message.join_request.member = state_.local;
  state_.Send(PickPeer(), std::move(message), output);
  next_attempt_ = now + state_.random.Jitter(backoff_, kBackoffSpread);
  backoff_ = std::min(2 * backoff_, state_.options.join_backoff_max);
}

PeerAddress Joiner::PickPeer() {
  const auto peers = PickRandom(state_.Peers(), 1, {state_.local.name}, state_.random);
  if (!peers.empty() && state_.random.NextBelow(2) == 0) {
    return AddressOf(peers.front()->record);
  }
  return seeds_[next_seed_++ % seeds_.size()];
}

void Joiner::OnRequest(TimePoint now, const wire::Envelope& envelope, ControlOutput& output) {
  const wire::MemberRecord& member = envelope.message.join_request.member;
  if (!IsWellFormed(member) || member.name != envelope.sender) {
    return;
  }
  state_.MergeRecord(now, member, UpdateSource::kGossip, output);
  const bool is_full = state_.is_table_complete && TakeFullReply(now, member.name);
  wire::Message message;
  message.__isset.join_reply = true;
  message.join_reply.members = is_full ? FullTable(now) : ShortList(member);
  message.join_reply.version = state_.version;
  message.join_reply.ready = state_.is_ready;
  message.join_reply.partial = !is_full;
  state_.Send(SenderOf(envelope), std::move(message), output);
}

bool Joiner::TakeFullReply(TimePoint now, const std::string& joining_member) {
  constexpr Duration kWindow = std::chrono::seconds(1);
  std::erase_if(full_replies_, [&](const auto& entry) { return now - entry.second >= kWindow; });
  if (full_replies_.contains(joining_member) ||
      std::cmp_greater_equal(full_replies_.size(), state_.options.full_join_replies_per_second)) {
    return false;
  }
  full_replies_[joining_member] = now;
  return true;
}

std::vector<wire::MemberRecord> Joiner::FullTable(TimePoint now) const {
  std::vector<wire::MemberRecord> members;
  members.reserve(state_.table.members().size());
  for (const auto& [name, member] : state_.table.members()) {
    // The receiver keeps a dead or left record for its whole lifetime again; not passing on old
    // ones bounds how long such a record goes around.
    if (IsLive(member.record) || now - member.state_since < state_.options.tombstone_lifetime / 2) {
      members.push_back(member.record);
    }
  }
  return members;
}

std::vector<wire::MemberRecord> Joiner::ShortList(const wire::MemberRecord& joining_member) {
  std::vector<wire::MemberRecord> members = {state_.local};
  for (const Member* member :
       PickRandom(state_.table.Live(joining_member.data_centre), kShortListMembers,
                  {joining_member.name, state_.local.name}, state_.random)) {
    members.push_back(member->record);
  }
  // A restarted member has to learn of a higher incarnation of itself.
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
    PingSome(output);
  }
}

void Joiner::PingSome(ControlOutput& output) {
  for (const Member* peer :
       PickRandom(state_.Peers(), kPingedPeers, {state_.local.name}, state_.random)) {
    state_.SendPing(peer->record, state_.NextNonce(), output);
  }
}

}  // namespace limpet
