#include "limpet/distribution/config_distributor.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "limpet/core/fault.h"
#include "limpet/distribution/push_tree.h"

namespace limpet {
namespace {

/// Limit on the reports that are kept between two ticks. Working peers do not send more.
constexpr std::size_t kMaxVersionReports = 256;

PeerAddress MemberAddress(const wire::MemberRecord& member) {
  return {member.host, member.port};
}

}  // namespace

ConfigDistributor::ConfigDistributor(DistributionMode mode,
                                     const Membership& membership,
                                     ConfigStore& store,
                                     Random random,
                                     Counters& counters)
    : mode_(mode),
      membership_(membership),
      store_(store),
      repair_(Random(random.Next())),
      transfers_(Random(random.Next())),
      applied_(counters.Get("config_versions_applied")),
      refused_(counters.Get("config_versions_refused")),
      repairs_(counters.Get("config_repairs")),
      transfers_served_(counters.Get("checkpoint_transfers_served")),
      transfers_refused_(counters.Get("checkpoint_transfers_refused")) {}

void ConfigDistributor::Tick(TimePoint now, ControlOutput& output) {
  const std::optional<Repair::Request> request = repair_.Tick(now, store_.version());
  if (!request) {
    return;
  }
  repairs_.Add();
  wire::Message message;
  message.delta_request.have = store_.version();
  message.__isset.delta_request = true;
  output.messages.push_back({request->to, MakeEnvelope(membership_.local(), std::move(message))});
}

void ConfigDistributor::OnReportedVersions(TimePoint now,
                                           const std::vector<ReportedVersion>& versions,
                                           bool urgent) {
  if (IsFaultActive(Fault::kSkipRepair)) {
    return;
  }
  for (const ReportedVersion& reported : versions) {
    if (reported.version > store_.version()) {
      repair_.OnPeerVersion(now, reported.name, reported.address, reported.version,
                            urgent ? Duration(0) : Repair::kPushGracePeriod);
    } else if (reported.version == store_.version()) {
      transfers_.Finish(reported.name);
    }
  }
}

bool ConfigDistributor::OnMessage(TimePoint now,
                                  const wire::Envelope& envelope,
                                  ControlOutput& output) {
  const wire::Message& message = envelope.message;
  if (message.__isset.delta_push) {
    OnDeltaPush(now, envelope, output);
  } else if (message.__isset.delta_request) {
    OnDeltaRequest(now, envelope, output);
  } else if (message.__isset.checkpoint_request) {
    ServeCheckpoint(now, envelope, output);
  } else if (message.__isset.checkpoint_reply) {
    OnCheckpointReply(now, envelope);
  } else if (message.__isset.checkpoint_refusal) {
    repair_.OnRefusal(now, envelope.sender,
                      std::chrono::milliseconds(message.checkpoint_refusal.retry_after_ms));
  } else {
    return false;
  }
  return true;
}

void ConfigDistributor::SendDeltaRequest(const wire::MemberRecord& peer,
                                         bool version_only,
                                         ControlOutput& output) const {
  wire::Message message;
  message.delta_request.have = store_.version();
  message.delta_request.version_only = version_only;
  message.__isset.delta_request = true;
  output.messages.push_back(
      {MemberAddress(peer), MakeEnvelope(membership_.local(), std::move(message))});
}

void ConfigDistributor::PushFromLog(const std::vector<wire::AcceptedChange>& changes,
                                    ControlOutput& output) {
  Forward(changes, Origin::kExternal, "", output);
}

std::vector<ConfigDistributor::PeerVersionReport> ConfigDistributor::TakeVersionReports() {
  return std::exchange(version_reports_, {});
}

void ConfigDistributor::OnDeltaPush(TimePoint now,
                                    const wire::Envelope& envelope,
                                    ControlOutput& output) {
  const wire::DeltaPush& push = envelope.message.delta_push;
  const std::vector<wire::AcceptedChange> applied = ApplyPush(now, envelope);
  if (version_reports_.size() < kMaxVersionReports) {
    version_reports_.push_back({envelope.sender, push.ready, push.version, push.next_offset});
  }
  repair_.OnReply(now, envelope.sender, !applied.empty());
  if (push.version > store_.version() && !IsFaultActive(Fault::kSkipRepair)) {
    repair_.OnPeerVersion(now, envelope.sender, {envelope.sender_host, envelope.sender_port},
                          push.version, ready_ ? Repair::kPushGracePeriod : Duration(0));
  }
  Forward(applied,
          IsFromOtherDataCentre(envelope.sender) ? Origin::kExternal : Origin::kSameDataCentre,
          envelope.sender, output);
}

std::vector<wire::AcceptedChange> ConfigDistributor::ApplyPush(TimePoint now,
                                                               const wire::Envelope& envelope) {
  std::vector<wire::AcceptedChange> applied;
  for (const wire::AcceptedChange& change : envelope.message.delta_push.changes) {
    const ApplyResult result = store_.Apply(change);
    CountResult(result);
    if (result == ApplyResult::kApplied) {
      applied.push_back(change);
    } else if (result != ApplyResult::kOld) {
      if (!IsFaultActive(Fault::kSkipRepair)) {
        repair_.OnPeerVersion(now, envelope.sender, {envelope.sender_host, envelope.sender_port},
                              change.version, Duration(0));
      }
      break;
    }
  }
  return applied;
}

void ConfigDistributor::OnDeltaRequest(TimePoint now,
                                       const wire::Envelope& envelope,
                                       ControlOutput& output) {
  const wire::DeltaRequest& request = envelope.message.delta_request;
  std::vector<wire::AcceptedChange> changes;
  if (!request.version_only && request.have < store_.version()) {
    std::optional<std::vector<wire::AcceptedChange>> missing = store_.history().Since(request.have);
    if (!missing) {
      ServeCheckpoint(now, envelope, output);
      return;
    }
    changes = std::move(*missing);
  }
  wire::Message message;
  message.delta_push = MakePush(std::move(changes));
  message.__isset.delta_push = true;
  Reply(envelope, std::move(message), output);
}

void ConfigDistributor::ServeCheckpoint(TimePoint now,
                                        const wire::Envelope& envelope,
                                        ControlOutput& output) {
  wire::Message message;
  if (const std::optional<Duration> wait = transfers_.Admit(now, envelope.sender)) {
    transfers_refused_.Add();
    message.checkpoint_refusal.retry_after_ms = static_cast<int32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(*wait).count() + 1);
    message.__isset.checkpoint_refusal = true;
  } else {
    transfers_served_.Add();
    message.checkpoint_reply.config = store_.FullConfig();
    message.__isset.checkpoint_reply = true;
  }
  Reply(envelope, std::move(message), output);
}

void ConfigDistributor::OnCheckpointReply(TimePoint now, const wire::Envelope& envelope) {
  const ApplyResult result = store_.Install(envelope.message.checkpoint_reply.config);
  CountResult(result);
  repair_.OnReply(now, envelope.sender, result == ApplyResult::kApplied);
}

void ConfigDistributor::Forward(const std::vector<wire::AcceptedChange>& changes,
                                Origin origin,
                                std::string_view sender,
                                ControlOutput& output) {
  if (changes.empty() || mode_ == DistributionMode::kPollLog) {
    return;
  }
  const wire::MemberRecord& local = membership_.local();
  const PushTree tree(membership_.LiveInDataCentre(), changes.back().version);
  std::vector<const wire::MemberRecord*> receivers = tree.Children(local.name);
  if (origin == Origin::kExternal) {
    std::ranges::copy(tree.Roots(), std::back_inserter(receivers));
  }
  std::set<std::string_view> sent_to = {local.name, sender};
  wire::Message message;
  message.delta_push = MakePush(changes);
  message.__isset.delta_push = true;
  const wire::Envelope envelope = MakeEnvelope(local, std::move(message));
  for (const wire::MemberRecord* receiver : receivers) {
    if (sent_to.insert(receiver->name).second) {
      output.messages.push_back({MemberAddress(*receiver), envelope});
    }
  }
}

bool ConfigDistributor::IsFromOtherDataCentre(std::string_view sender) const {
  const wire::MemberRecord* member = membership_.Find(sender);
  return member != nullptr && member->data_centre != membership_.local().data_centre;
}

wire::DeltaPush ConfigDistributor::MakePush(std::vector<wire::AcceptedChange> changes) const {
  wire::DeltaPush push;
  push.changes = std::move(changes);
  push.version = store_.version();
  push.next_offset = store_.position();
  push.ready = ready_;
  return push;
}

void ConfigDistributor::Reply(const wire::Envelope& to,
                              wire::Message message,
                              ControlOutput& output) const {
  output.messages.push_back(
      {{to.sender_host, to.sender_port}, MakeEnvelope(membership_.local(), std::move(message))});
}

void ConfigDistributor::CountResult(ApplyResult result) {
  if (result == ApplyResult::kApplied) {
    applied_.Add();
  } else if (result == ApplyResult::kRefused) {
    refused_.Add();
  }
}

}  // namespace limpet
