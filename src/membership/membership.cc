#include "limpet/membership/membership.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include <xxhash.h>

namespace limpet {
namespace {

using wire::MemberRecord;
using wire::MemberState;

bool IsLive(const MemberRecord& record) {
  return record.state == MemberState::kAlive || record.state == MemberState::kSuspect;
}

bool IsNewer(const MemberRecord& a, const MemberRecord& b) {
  return std::tie(a.incarnation, a.sequence, a.state) >
         std::tie(b.incarnation, b.sequence, b.state);
}

uint64_t RendezvousHash(const MemberRecord& member) {
  const std::string key = member.name + '\n' + member.data_centre;
  return XXH3_64bits(key.data(), key.size());
}

}  // namespace

wire::Envelope MakeEnvelope(const MemberRecord& local, wire::Message message) {
  wire::Envelope envelope;
  envelope.sender = local.name;
  envelope.sender_incarnation = local.incarnation;
  envelope.sender_host = local.host;
  envelope.sender_port = local.port;
  envelope.message = std::move(message);
  return envelope;
}

class Membership::Impl {
 public:
  explicit Impl(MembershipOptions options) : options_(std::move(options)) {
    local_.name = options_.name;
    local_.incarnation = options_.incarnation;
    local_.data_centre = options_.data_centre;
    local_.service_name = options_.service;
    local_.host = options_.host;
    local_.port = options_.port;
    local_.target_state = wire::TargetState::kStarting;
    table_[local_.name] = local_;
  }

  void Join(TimePoint now, ControlOutput& output) {
    next_join_ = now + options_.probe_interval;
    wire::Message message;
    message.join_request.member = local_;
    message.__isset.join_request = true;
    for (const PeerAddress& seed : options_.seeds) {
      output.messages.push_back({seed, MakeEnvelope(local_, message)});
    }
  }

  void OnJoinRequest(const wire::Envelope& envelope, ControlOutput& output) {
    Apply(envelope.message.join_request.member);
    wire::Message message;
    for (const auto& [name, record] : table_) {
      message.join_reply.members.push_back(record);
    }
    message.join_reply.version = version_;
    message.join_reply.ready = ready_;
    message.__isset.join_reply = true;
    output.messages.push_back(
        {{envelope.sender_host, envelope.sender_port}, MakeEnvelope(local_, message)});
  }

  void OnJoinReply(const wire::Envelope& envelope) {
    joined_ = true;
    const wire::JoinReply& reply = envelope.message.join_reply;
    for (const MemberRecord& record : reply.members) {
      Apply(record);
    }
    heard_.push_back({envelope.sender,
                      {envelope.sender_host, envelope.sender_port},
                      reply.version,
                      reply.ready});
  }

  void Apply(const MemberRecord& record) {
    auto [it, inserted] = table_.try_emplace(record.name, record);
    if (inserted || IsNewer(record, it->second)) {
      it->second = record;
      Changed();
    }
  }

  void SetLocal() {
    ++local_.sequence;
    Apply(local_);
  }

  void Changed() {
    live_.clear();
    std::map<std::string, std::vector<Endpoint>, std::less<>> services;
    for (const auto& [name, record] : table_) {
      if (!IsLive(record)) {
        continue;
      }
      if (record.data_centre == local_.data_centre) {
        live_.push_back(record);
      }
      if (record.target_state == wire::TargetState::kUp) {
        services[record.service_name].push_back({name, record.incarnation, record.data_centre,
                                                 record.host, record.port,
                                                 record.state == MemberState::kAlive});
      }
    }
    endpoints_ = std::make_shared<const EndpointView>(std::move(services));
  }

  MembershipOptions options_;
  MemberRecord local_;
  std::map<std::string, MemberRecord, std::less<>> table_;
  std::vector<MemberRecord> live_;
  EndpointViewPtr endpoints_ = std::make_shared<const EndpointView>();
  std::vector<HeardVersion> heard_;
  TimePoint start_;
  TimePoint next_join_;
  int64_t version_ = 0;
  bool ready_ = false;
  bool joined_ = false;
};

Membership::Membership(MembershipOptions options, Random /*random*/, Counters& /*counters*/)
    : impl_(std::make_unique<Impl>(std::move(options))) {
  impl_->Changed();
}
Membership::~Membership() = default;
Membership::Membership(Membership&&) noexcept = default;
Membership& Membership::operator=(Membership&&) noexcept = default;

void Membership::Start(TimePoint now, ControlOutput& output) {
  impl_->start_ = now;
  impl_->Join(now, output);
}

void Membership::Tick(TimePoint now, ControlOutput& output) {
  if (now - impl_->start_ >= impl_->options_.join_timeout) {
    impl_->joined_ = true;
  }
  if (now >= impl_->next_join_) {
    impl_->Join(now, output);
  }
}

bool Membership::OnMessage(TimePoint /*now*/,
                           const wire::Envelope& envelope,
                           ControlOutput& output) {
  if (envelope.message.__isset.join_request) {
    impl_->OnJoinRequest(envelope, output);
    return true;
  }
  if (envelope.message.__isset.join_reply) {
    impl_->OnJoinReply(envelope);
    return true;
  }
  return false;
}

void Membership::SetTargetState(TimePoint now,
                                wire::TargetState::type state,
                                ControlOutput& output) {
  impl_->local_.target_state = state;
  impl_->SetLocal();
  impl_->Join(now, output);
}

void Membership::Leave(TimePoint now, ControlOutput& output) {
  impl_->local_.state = MemberState::kLeft;
  impl_->SetLocal();
  impl_->Join(now, output);
}

void Membership::set_version(int64_t version) {
  impl_->version_ = version;
}

void Membership::set_ready(bool ready) {
  impl_->ready_ = ready;
}

std::vector<HeardVersion> Membership::TakeHeardVersions() {
  return std::exchange(impl_->heard_, {});
}

std::vector<MemberRecord> Membership::Members() const {
  std::vector<MemberRecord> members;
  for (const auto& [name, record] : impl_->table_) {
    members.push_back(record);
  }
  return members;
}

const MemberRecord* Membership::Find(std::string_view name) const {
  const auto it = impl_->table_.find(name);
  return it == impl_->table_.end() ? nullptr : &it->second;
}

const MemberRecord& Membership::local() const {
  return impl_->local_;
}

EndpointViewPtr Membership::endpoints() const {
  return impl_->endpoints_;
}

const std::vector<MemberRecord>& Membership::LiveInDataCentre() const {
  return impl_->live_;
}

std::vector<MemberRecord> Membership::TopByRendezvous(int count,
                                                      std::string_view data_centre) const {
  std::vector<MemberRecord> members = Members();
  std::erase_if(members, [&](const MemberRecord& member) {
    return !IsLive(member) || member.data_centre != data_centre;
  });
  std::ranges::sort(members, std::greater<>(), RendezvousHash);
  members.resize(std::min(members.size(), static_cast<std::size_t>(count)));
  return members;
}

std::vector<MemberRecord> Membership::Gateways(std::string_view data_centre) const {
  return TopByRendezvous(2, data_centre);
}

std::vector<MemberRecord> Membership::Readers(std::string_view data_centre) const {
  return TopByRendezvous(2, data_centre);
}

std::vector<std::string> Membership::DataCentres() const {
  std::set<std::string> names;
  for (const auto& [name, record] : impl_->table_) {
    names.insert(record.data_centre);
  }
  return {names.begin(), names.end()};
}

bool Membership::IsDataCentreReachable(std::string_view /*data_centre*/) const {
  return true;
}

bool Membership::joined() const {
  return impl_->joined_;
}

}  // namespace limpet
