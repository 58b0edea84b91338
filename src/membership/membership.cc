#include "limpet/membership/membership.h"

#include <algorithm>
#include <map>
#include <utility>

#include "limpet/core/fault.h"
#include "limpet/wire/codec.h"
#include "membership/disseminator.h"
#include "membership/failure_detector.h"
#include "membership/gateway_monitor.h"
#include "membership/joiner.h"
#include "membership/member_order.h"
#include "membership/node_state.h"
#include "membership/rendezvous.h"
#include "membership/table_exchange.h"

namespace limpet {
namespace {

using wire::MemberRecord;

constexpr int kReaderCount = 2;

std::vector<MemberRecord> CopyRecords(const std::vector<const Member*>& members) {
  std::vector<MemberRecord> records;
  records.reserve(members.size());
  for (const Member* member : members) {
    records.push_back(member->record);
  }
  return records;
}

}  // namespace

class Membership::Impl {
 public:
  Impl(MembershipOptions options, Random random, Counters& counters)
      : state_(std::move(options), random, counters),
        messages_received_(counters.Get("membership_messages_received")),
        bytes_received_(counters.Get("membership_bytes_received")),
        member_count_(counters.Get("membership_members")) {
    state_.table.Apply(TimePoint(), state_.local);
  }

  void Start(TimePoint now, ControlOutput& output);
  void Tick(TimePoint now, ControlOutput& output);
  bool OnMessage(TimePoint now, const wire::Envelope& envelope, ControlOutput& output);
  void SetTargetState(TimePoint now, wire::TargetState::type target, ControlOutput& output);
  void Leave(TimePoint now, ControlOutput& output);

  EndpointViewPtr endpoints();
  const std::vector<MemberRecord>& LiveInDataCentre();

  NodeState& state() { return state_; }
  const Joiner& joiner() const { return joiner_; }

 private:
  struct Generation {
    uint64_t table = 0;
    uint64_t statuses = 0;

    bool operator==(const Generation&) const = default;
  };

  void Dispatch(TimePoint now, const wire::Envelope& envelope, ControlOutput& output);
  void MergeRecords(TimePoint now, const std::vector<MemberRecord>& updates, ControlOutput& output);
  std::map<std::string, std::vector<Endpoint>, std::less<>> CollectCallableEndpoints() const;

  NodeState state_;
  FailureDetector detector_{state_};
  Disseminator disseminator_{state_};
  GatewayMonitor gateway_monitor_{state_};
  TableExchange table_exchange_{state_};
  Joiner joiner_{state_};
  TimePoint next_expiry_;

  Counter& messages_received_;
  Counter& bytes_received_;
  Counter& member_count_;

  EndpointViewPtr endpoints_ = std::make_shared<const EndpointView>();
  Generation endpoints_generation_;
  std::vector<MemberRecord> live_members_;
  uint64_t live_generation_ = 0;
};

void Membership::Impl::Start(TimePoint now, ControlOutput& output) {
  detector_.Start(now);
  table_exchange_.Start(now);
  joiner_.Start(now, output);
}

void Membership::Impl::Tick(TimePoint now, ControlOutput& output) {
  joiner_.Tick(now, output);
  detector_.Tick(now, output);
  gateway_monitor_.Tick(now, output);
  table_exchange_.Tick(now, output);
  disseminator_.Tick(now, output);
  if (now >= next_expiry_) {
    next_expiry_ = now + std::chrono::seconds(1);
    state_.table.ExpireTombstones(now - state_.options.tombstone_lifetime);
    member_count_.Set(state_.table.live_count());
  }
}

bool Membership::Impl::OnMessage(TimePoint now,
                                 const wire::Envelope& envelope,
                                 ControlOutput& output) {
  const auto& has = envelope.message.__isset;
  if (!has.ping && !has.ack && !has.ping_request && !has.gossip && !has.join_request &&
      !has.join_reply && !has.bucket_digest && !has.bucket_content) {
    return false;
  }
  messages_received_.Add();
  bytes_received_.Add(static_cast<int64_t>(wire::Encode(envelope).size()));
  if (envelope.sender != state_.local.name) {
    Dispatch(now, envelope, output);
    gateway_monitor_.OnMessage(now, envelope, output);
    table_exchange_.OnMessage(now, envelope, output);
  }
  return true;
}

void Membership::Impl::Dispatch(TimePoint now,
                                const wire::Envelope& envelope,
                                ControlOutput& output) {
  const wire::Message& message = envelope.message;
  if (message.__isset.ping) {
    state_.RecordVersion(envelope, message.ping.version, message.ping.ready);
    MergeRecords(now, message.ping.updates, output);
    detector_.OnPing(envelope, output);
  }
  if (message.__isset.ack) {
    state_.RecordVersion(envelope, message.ack.version, message.ack.ready);
    MergeRecords(now, message.ack.updates, output);
    detector_.OnAck(envelope, output);
  }
  if (message.__isset.ping_request) {
    detector_.OnPingRequest(now, envelope, output);
  }
  if (message.__isset.gossip) {
    disseminator_.OnGossip(now, envelope, output);
  }
  if (message.__isset.join_request) {
    joiner_.OnRequest(now, envelope, output);
  }
  if (message.__isset.join_reply) {
    state_.RecordVersion(envelope, message.join_reply.version, message.join_reply.ready);
    joiner_.OnReply(now, envelope, output);
  }
  if (message.__isset.bucket_digest) {
    table_exchange_.OnDigest(envelope, output);
  }
  if (message.__isset.bucket_content) {
    table_exchange_.OnContent(now, envelope, output);
  }
}

void Membership::Impl::MergeRecords(TimePoint now,
                                    const std::vector<MemberRecord>& updates,
                                    ControlOutput& output) {
  for (const MemberRecord& record : updates) {
    state_.MergeRecord(now, record, UpdateSource::kExchange, output);
  }
}

void Membership::Impl::SetTargetState(TimePoint now,
                                      wire::TargetState::type target,
                                      ControlOutput& output) {
  if (target == state_.local.target_state) {
    return;
  }
  state_.local.target_state = target;
  ++state_.local.sequence;
  state_.AnnounceLocal(now, output);
}

void Membership::Impl::Leave(TimePoint now, ControlOutput& output) {
  if (state_.local.state == wire::MemberState::kLeft || IsFaultActive(Fault::kForgetLeaving)) {
    return;
  }
  state_.local.state = wire::MemberState::kLeft;
  ++state_.local.sequence;
  state_.AnnounceLocal(now, output);
}

EndpointViewPtr Membership::Impl::endpoints() {
  const Generation current{state_.table.generation(), state_.statuses.generation()};
  if (current != endpoints_generation_) {
    endpoints_generation_ = current;
    auto services = CollectCallableEndpoints();
    if (services != endpoints_->services()) {
      endpoints_ = std::make_shared<const EndpointView>(std::move(services));
    }
  }
  return endpoints_;
}

std::map<std::string, std::vector<Endpoint>, std::less<>>
Membership::Impl::CollectCallableEndpoints() const {
  std::map<std::string, std::vector<Endpoint>, std::less<>> services;
  for (const auto& [name, member] : state_.table.members()) {
    const MemberRecord& record = member.record;
    if (!IsLive(record) || record.target_state != wire::TargetState::kUp) {
      continue;
    }
    const bool is_reachable = record.state == wire::MemberState::kAlive &&
                              state_.statuses.IsReachable(record.data_centre);
    services[record.service_name].push_back(
        {name, record.incarnation, record.data_centre, record.host, record.port, is_reachable});
  }
  return services;
}

const std::vector<MemberRecord>& Membership::Impl::LiveInDataCentre() {
  if (live_generation_ != state_.table.generation()) {
    live_generation_ = state_.table.generation();
    live_members_ = CopyRecords(state_.LiveLocalMembers());
  }
  return live_members_;
}

Membership::Membership(MembershipOptions options, Random random, Counters& counters)
    : impl_(std::make_unique<Impl>(std::move(options), random, counters)) {}
Membership::~Membership() = default;
Membership::Membership(Membership&&) noexcept = default;
Membership& Membership::operator=(Membership&&) noexcept = default;

void Membership::Start(TimePoint now, ControlOutput& output) {
  impl_->Start(now, output);
}

void Membership::Tick(TimePoint now, ControlOutput& output) {
  impl_->Tick(now, output);
}

bool Membership::OnMessage(TimePoint now, const wire::Envelope& envelope, ControlOutput& output) {
  return impl_->OnMessage(now, envelope, output);
}

void Membership::SetTargetState(TimePoint now,
                                wire::TargetState::type state,
                                ControlOutput& output) {
  impl_->SetTargetState(now, state, output);
}

void Membership::Leave(TimePoint now, ControlOutput& output) {
  impl_->Leave(now, output);
}

void Membership::set_version(int64_t version) {
  impl_->state().version = version;
}

void Membership::set_ready(bool ready) {
  impl_->state().is_ready = ready;
}

std::vector<ReportedVersion> Membership::TakeReportedVersions() {
  std::vector<ReportedVersion> versions;
  for (auto& [name, reported] : std::exchange(impl_->state().reported_versions, {})) {
    versions.push_back(std::move(reported));
  }
  return versions;
}

std::vector<MemberRecord> Membership::Members() const {
  std::vector<MemberRecord> members;
  members.reserve(impl_->state().table.members().size());
  for (const auto& [name, member] : impl_->state().table.members()) {
    members.push_back(member.record);
  }
  return members;
}

const MemberRecord* Membership::Find(std::string_view name) const {
  const Member* member = impl_->state().table.Find(name);
  return member == nullptr ? nullptr : &member->record;
}

const MemberRecord& Membership::local() const {
  return impl_->state().local;
}

EndpointViewPtr Membership::endpoints() const {
  return impl_->endpoints();
}

const std::vector<MemberRecord>& Membership::LiveInDataCentre() const {
  return impl_->LiveInDataCentre();
}

std::vector<MemberRecord> Membership::TopByRendezvous(int count,
                                                      std::string_view data_centre) const {
  return CopyRecords(TopByHash(impl_->state().table.Live(data_centre), count));
}

std::vector<MemberRecord> Membership::Gateways(std::string_view data_centre) const {
  return CopyRecords(impl_->state().table.Gateways(data_centre));
}

std::vector<MemberRecord> Membership::Readers(std::string_view data_centre) const {
  return TopByRendezvous(kReaderCount, data_centre);
}

std::vector<std::string> Membership::DataCentres() const {
  return impl_->state().table.DataCentres();
}

bool Membership::IsDataCentreReachable(std::string_view data_centre) const {
  return impl_->state().statuses.IsReachable(data_centre);
}

bool Membership::joined() const {
  return impl_->joiner().has_joined();
}

}  // namespace limpet
