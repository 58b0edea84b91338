#include "membership/table_exchange.h"

#include <algorithm>
#include <bitset>
#include <unordered_map>
#include <utility>

#include "membership/member_order.h"
#include "membership/probe_scheduler.h"

namespace limpet {
namespace {

// At 5,300 members 8 buckets hold about 50 KB. The others follow a second later, so that a data
// centre that becomes reachable after many changes causes no burst of traffic.
constexpr int kMaxBucketsPerMessage = 8;
constexpr Duration kFollowUpDelay = std::chrono::seconds(1);
// Limits the bytes sent when many members restart at the same time.
constexpr Duration kUnknownSenderInterval = std::chrono::seconds(1);
constexpr double kIntervalJitter = 0.2;
constexpr int kDeadMembersPerRound = 3;

wire::Message MakeBucketContent(const std::vector<int>& buckets,
                                std::vector<wire::MemberRecord> members) {
  wire::Message message;
  message.__isset.bucket_content = true;
  message.bucket_content.buckets.assign(buckets.begin(), buckets.end());
  message.bucket_content.members = std::move(members);
  return message;
}

}  // namespace

void TableExchange::Start(TimePoint now) {
  // A random phase keeps nodes that start together from comparing tables at the same time.
  next_round_ = now + Duration(state_.random.NextBelow(
                          static_cast<uint64_t>(state_.options.anti_entropy_interval.count())));
}

void TableExchange::Tick(TimePoint now, ControlOutput& output) {
  if (state_.local.state == wire::MemberState::kLeft) {
    return;  // a node that has left only replies, as its table becomes outdated
  }
  if (now >= next_round_) {
    next_round_ = now + state_.random.Jitter(state_.options.anti_entropy_interval, kIntervalJitter);
    SendDigests(output);
    ContactLostMembers(output);
  }
  if (follow_up_ && now >= follow_up_->due_at) {
    state_.SendDigest(follow_up_->peer, output);
    follow_up_.reset();
  }
}

void TableExchange::SendDigests(ControlOutput& output) {
  for (const Member* peer :
       PickRandom(state_.LiveLocalMembers(), 1, {state_.local.name}, state_.random)) {
    state_.SendDigest(MemberAddress(peer->record), output);
  }
  if (!state_.IsGateway()) {
    return;
  }
  const std::vector<std::string> data_centres = state_.ReachableDataCentres();
  if (data_centres.empty()) {
    return;
  }
  const Member* gateway =
      state_.NextGateway(data_centres[state_.random.NextBelow(data_centres.size())]);
  if (gateway != nullptr) {
    state_.SendDigest(MemberAddress(gateway->record), output);
  }
}

void TableExchange::ContactLostMembers(ControlOutput& output) {
  std::vector<const Member*> dead;
  for (const std::string& name : state_.table.tombstones()) {
    const Member* member = state_.table.Find(name);
    if (member->record.state == wire::MemberState::kDead &&
        state_.IsInLocalDataCentre(member->record)) {
      dead.push_back(member);
    }
  }
  for (const Member* member : PickRandom(dead, kDeadMembersPerRound, {}, state_.random)) {
    state_.SendPing(member->record, state_.NextNonce(), output);
  }
  std::vector<PeerAddress> unknown_seeds = state_.options.seeds;
  for (const auto& [name, member] : state_.table.members()) {
    if (IsLive(member.record)) {
      std::erase(unknown_seeds, MemberAddress(member.record));
    }
  }
  std::erase(unknown_seeds, MemberAddress(state_.local));
  if (!unknown_seeds.empty()) {
    // In turn, so that a restarted seed is contacted within as many rounds as there are seeds.
    state_.SendDigest(unknown_seeds[next_seed_++ % unknown_seeds.size()], output);
  }
}

void TableExchange::OnMessage(TimePoint now,
                              const wire::Envelope& envelope,
                              ControlOutput& output) {
  // A join request and its reply already exchange tables.
  if (!envelope.message.__isset.ping && !envelope.message.__isset.ack) {
    return;
  }
  const Member* sender = state_.table.Find(envelope.sender);
  const bool is_known =
      sender != nullptr && sender->record.incarnation == envelope.sender_incarnation;
  if (!is_known && now >= next_unknown_sender_digest_) {
    next_unknown_sender_digest_ = now + kUnknownSenderInterval;
    state_.SendDigest(SenderAddress(envelope), output);
  }
}

void TableExchange::OnDigest(const wire::Envelope& envelope, ControlOutput& output) {
  const wire::BucketDigest& digest = envelope.message.bucket_digest;
  const Member* sender = state_.table.Find(envelope.sender);
  const bool is_local = sender != nullptr && state_.IsInLocalDataCentre(sender->record);
  std::vector<wire::DataCentreStatus> statuses = state_.statuses.All();
  if (is_local && !statuses.empty()) {
    wire::Message message;
    message.__isset.gossip = true;
    message.gossip.data_centres = std::move(statuses);
    state_.Send(SenderAddress(envelope), std::move(message), output);
  }
  const std::vector<int> buckets =
      SelectBuckets(state_.table.digest().DifferingBuckets(digest.hashes));
  if (buckets.empty()) {
    return;
  }
  wire::Message message = MakeBucketContent(buckets, CollectRecords(buckets));
  message.bucket_content.reply_wanted = digest.reply_wanted;
  state_.Send(SenderAddress(envelope), std::move(message), output);
}

void TableExchange::OnContent(TimePoint now,
                              const wire::Envelope& envelope,
                              ControlOutput& output) {
  const wire::BucketContent& content = envelope.message.bucket_content;
  std::vector<wire::MemberRecord> newer;
  if (content.reply_wanted) {
    newer = CollectNewerRecords(content);
  }
  for (const wire::MemberRecord& record : content.members) {
    state_.MergeRecord(now, record, UpdateSource::kExchange, output);
  }
  if (!newer.empty()) {
    const std::vector<int> buckets(content.buckets.begin(), content.buckets.end());
    state_.Send(SenderAddress(envelope), MakeBucketContent(buckets, std::move(newer)), output);
  }
  if (content.reply_wanted && content.buckets.size() >= kMaxBucketsPerMessage) {
    follow_up_ = {SenderAddress(envelope), now + kFollowUpDelay};
  }
}

std::vector<wire::MemberRecord> TableExchange::CollectRecords(
    const std::vector<int>& buckets) const {
  std::bitset<BucketDigest::kBuckets> wanted;
  for (const int bucket : buckets) {
    if (bucket >= 0 && bucket < BucketDigest::kBuckets) {
      wanted.set(static_cast<std::size_t>(bucket));
    }
  }
  std::vector<wire::MemberRecord> records;
  for (const auto& [name, member] : state_.table.members()) {
    if (wanted.test(static_cast<std::size_t>(BucketDigest::BucketIndex(name)))) {
      records.push_back(member.record);
    }
  }
  return records;
}

std::vector<wire::MemberRecord> TableExchange::CollectNewerRecords(
    const wire::BucketContent& content) const {
  std::unordered_map<std::string_view, const wire::MemberRecord*> received;
  for (const wire::MemberRecord& record : content.members) {
    received[record.name] = &record;
  }
  std::vector<wire::MemberRecord> records =
      CollectRecords({content.buckets.begin(), content.buckets.end()});
  std::erase_if(records, [&](const wire::MemberRecord& record) {
    const auto it = received.find(record.name);
    return it == received.end() ? !IsLive(record) : !IsNewer(record, *it->second);
  });
  return records;
}

std::vector<int> TableExchange::SelectBuckets(std::vector<int> buckets) {
  for (std::size_t i = 0; i < buckets.size() && i < kMaxBucketsPerMessage; ++i) {
    std::swap(buckets[i], buckets[i + state_.random.NextBelow(buckets.size() - i)]);
  }
  if (buckets.size() > kMaxBucketsPerMessage) {
    buckets.resize(kMaxBucketsPerMessage);
  }
  return buckets;
}

}  // namespace limpet
