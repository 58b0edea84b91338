#include "membership/table_exchange.h"

#include <algorithm>
#include <bitset>
#include <unordered_map>
#include <utility>

#include "membership/member_order.h"
#include "membership/probe_scheduler.h"

namespace limpet {
namespace {

// At 5,300 members 8 buckets hold about 50 KB. The rest follows a second later, so that the return
// of a data centre after many changes causes no burst.
constexpr int kMaxBucketsAtOnce = 8;
constexpr Duration kFollowUpDelay = std::chrono::seconds(1);
// Bounds the bytes when many members restart at once.
constexpr Duration kUnknownInterval = std::chrono::seconds(1);
constexpr double kIntervalSpread = 0.2;
constexpr int kDeadPingedAtOnce = 3;

wire::Message ContentOf(const std::vector<int>& buckets, std::vector<wire::MemberRecord> members) {
  wire::Message message;
  message.__isset.bucket_content = true;
  message.bucket_content.buckets.assign(buckets.begin(), buckets.end());
  message.bucket_content.members = std::move(members);
  return message;
}

}  // namespace

void TableExchange::Start(TimePoint now) {
  // A random phase keeps nodes that start together from comparing at the same moment.
  next_round_ = now + Duration(state_.random.NextBelow(
                          static_cast<uint64_t>(state_.options.anti_entropy_interval.count())));
}

void TableExchange::Tick(TimePoint now, ControlOutput& output) {
  if (state_.local.state == wire::MemberState::kLeft) {
    return;  // its view gets stale, and it only answers from now on
  }
  if (now >= next_round_) {
    next_round_ = now + state_.random.Jitter(state_.options.anti_entropy_interval, kIntervalSpread);
    SendDigests(output);
    SearchLost(output);
  }
  if (follow_up_ && now >= follow_up_->at) {
    state_.SendDigest(follow_up_->peer, output);
    follow_up_.reset();
  }
}

void TableExchange::SendDigests(ControlOutput& output) {
  for (const Member* peer : PickRandom(state_.Peers(), 1, {state_.local.name}, state_.random)) {
    state_.SendDigest(AddressOf(peer->record), output);
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
    state_.SendDigest(AddressOf(gateway->record), output);
  }
}

void TableExchange::SearchLost(ControlOutput& output) {
  std::vector<const Member*> dead;
  for (const std::string& name : state_.table.tombstones()) {
    const Member* member = state_.table.Find(name);
    if (member->record.state == wire::MemberState::kDead &&
        state_.IsLocalDataCentre(member->record)) {
      dead.push_back(member);
    }
  }
  for (const Member* member : PickRandom(dead, kDeadPingedAtOnce, {}, state_.random)) {
    state_.SendPing(member->record, state_.NextNonce(), output);
  }
  std::vector<PeerAddress> unknown = state_.options.seeds;
  for (const auto& [name, member] : state_.table.members()) {
    if (IsLive(member.record)) {
      std::erase(unknown, AddressOf(member.record));
    }
  }
  std::erase(unknown, AddressOf(state_.local));
  if (!unknown.empty()) {
    // In turn, so that a seed which is back is found within as many rounds as there are seeds.
    state_.SendDigest(unknown[next_seed_++ % unknown.size()], output);
  }
}

void TableExchange::OnContact(TimePoint now,
                              const wire::Envelope& envelope,
                              ControlOutput& output) {
  // A join request and its reply already exchange tables.
  if (!envelope.message.__isset.ping && !envelope.message.__isset.ack) {
    return;
  }
  const Member* sender = state_.table.Find(envelope.sender);
  const bool is_known =
      sender != nullptr && sender->record.incarnation == envelope.sender_incarnation;
  if (!is_known && now >= next_unknown_) {
    next_unknown_ = now + kUnknownInterval;
    state_.SendDigest(SenderOf(envelope), output);
  }
}

void TableExchange::OnDigest(const wire::Envelope& envelope, ControlOutput& output) {
  const wire::BucketDigest& digest = envelope.message.bucket_digest;
  const Member* sender = state_.table.Find(envelope.sender);
  const bool is_local = sender != nullptr && state_.IsLocalDataCentre(sender->record);
  std::vector<wire::DataCentreStatus> statuses = state_.statuses.All();
  if (is_local && !statuses.empty()) {
    wire::Message message;
    message.__isset.gossip = true;
    message.gossip.data_centres = std::move(statuses);
    state_.Send(SenderOf(envelope), std::move(message), output);
  }
  const std::vector<int> buckets = Choose(state_.table.digest().DifferingBuckets(digest.hashes));
  if (buckets.empty()) {
    return;
  }
  wire::Message message = ContentOf(buckets, RecordsIn(buckets));
  message.bucket_content.reply_wanted = digest.reply_wanted;
  state_.Send(SenderOf(envelope), std::move(message), output);
}

void TableExchange::OnContent(TimePoint now,
                              const wire::Envelope& envelope,
                              ControlOutput& output) {
  const wire::BucketContent& content = envelope.message.bucket_content;
  std::vector<wire::MemberRecord> newer;
  if (content.reply_wanted) {
    newer = NewerThan(content);
  }
  for (const wire::MemberRecord& record : content.members) {
    state_.MergeRecord(now, record, UpdateSource::kExchange, output);
  }
  if (!newer.empty()) {
    const std::vector<int> buckets(content.buckets.begin(), content.buckets.end());
    state_.Send(SenderOf(envelope), ContentOf(buckets, std::move(newer)), output);
  }
  if (content.reply_wanted && content.buckets.size() >= kMaxBucketsAtOnce) {
    follow_up_ = {SenderOf(envelope), now + kFollowUpDelay};
  }
}

std::vector<wire::MemberRecord> TableExchange::RecordsIn(const std::vector<int>& buckets) const {
  std::bitset<BucketDigest::kBuckets> wanted;
  for (const int bucket : buckets) {
    if (bucket >= 0 && bucket < BucketDigest::kBuckets) {
      wanted.set(static_cast<std::size_t>(bucket));
    }
  }
  std::vector<wire::MemberRecord> records;
  for (const auto& [name, member] : state_.table.members()) {
    if (wanted.test(static_cast<std::size_t>(BucketDigest::BucketOf(name)))) {
      records.push_back(member.record);
    }
  }
  return records;
}

std::vector<wire::MemberRecord> TableExchange::NewerThan(const wire::BucketContent& content) const {
  std::unordered_map<std::string_view, const wire::MemberRecord*> theirs;
  for (const wire::MemberRecord& record : content.members) {
    theirs[record.name] = &record;
  }
  std::vector<wire::MemberRecord> records =
      RecordsIn({content.buckets.begin(), content.buckets.end()});
  std::erase_if(records, [&](const wire::MemberRecord& record) {
    const auto it = theirs.find(record.name);
    return it == theirs.end() ? !IsLive(record) : !IsNewer(record, *it->second);
  });
  return records;
}

std::vector<int> TableExchange::Choose(std::vector<int> buckets) {
  for (std::size_t i = 0; i < buckets.size() && i < kMaxBucketsAtOnce; ++i) {
    std::swap(buckets[i], buckets[i + state_.random.NextBelow(buckets.size() - i)]);
  }
  if (buckets.size() > kMaxBucketsAtOnce) {
    buckets.resize(kMaxBucketsAtOnce);
  }
  return buckets;
}

}  // namespace limpet
