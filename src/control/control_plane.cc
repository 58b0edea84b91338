#include "limpet/control/control_plane.h"

#include <algorithm>
#include <utility>

#include "control/config_log_reader.h"
#include "control/message_counters.h"
#include "control/status_reporter.h"
#include "control/system_log_reader.h"
#include "control/system_log_writer.h"
#include "limpet/core/error.h"
#include "limpet/distribution/reader_selection.h"
#include "limpet/distribution/readiness.h"
#include "limpet/membership/membership.h"

namespace limpet {
namespace {

/// While records that the store needs are no longer retained, a peer is asked for its position at
/// this interval.
constexpr Duration kGapRequestInterval = std::chrono::seconds(2);

MembershipOptions ToMembershipOptions(const ControlOptions& options) {
  MembershipOptions result;
  result.name = options.name;
  result.data_centre = options.data_centre;
  result.service = options.service;
  result.host = options.host;
  result.port = options.port;
  result.incarnation = options.incarnation;
  result.seeds = options.seeds;
  return result;
}

bool HasReplyAddress(const wire::Envelope& envelope) {
  constexpr int kMaxPort = 65535;
  return !envelope.sender.empty() && !envelope.sender_host.empty() && envelope.sender_port > 0 &&
         envelope.sender_port <= kMaxPort;
}

}  // namespace

class ControlPlane::Impl {
 public:
  Impl(ControlOptions options, Random random, Counters& counters)
      : options_(std::move(options)),
        random_(random.Next()),
        message_counters_(counters),
        malformed_(counters.Get("control_messages_malformed")),
        applied_(counters.Get("config_versions_applied")),
        refused_(counters.Get("config_versions_refused")),
        membership_(ToMembershipOptions(options_), Random(random.Next()), counters),
        distributor_(options_.distribution, membership_, store_, Random(random.Next()), counters),
        readiness_(Random(random.Next())),
        config_log_(Random(random.Next()), counters),
        system_log_(Random(random.Next()), counters),
        writer_({membership_, store_, readers_, config_log_, system_log_, status_},
                Random(random.Next()),
                counters),
        reporter_(Random(random.Next())) {}

  ControlOutput Start(TimePoint now) {
    ControlOutput output;
    membership_.Start(now, output);
    return FinishStep(std::move(output));
  }

  ControlOutput Tick(TimePoint now) {
    ControlOutput output;
    membership_.Tick(now, output);
    readers_.Refresh(now, membership_);
    distributor_.OnReportedVersions(now, membership_.TakeReportedVersions(), !readiness_.ready());
    TickReadiness(now, output);
    TickReplayGap(now, output);
    TickLog(now, output);
    distributor_.Tick(now, output);
    if (membership_.joined()) {
      reporter_.Tick(now, store_, membership_, readers_.readers(), status_, output);
    }
    return FinishStep(std::move(output));
  }

  ControlOutput OnMessage(TimePoint now, const wire::Envelope& envelope) {
    ControlOutput output;
    if (!HasReplyAddress(envelope)) {
      malformed_.Add();
      return output;
    }
    try {
      if (!membership_.OnMessage(now, envelope, output) &&
          !distributor_.OnMessage(now, envelope, output) && !OnStatusReport(envelope)) {
        malformed_.Add();
      }
    } catch (const Error&) {
      malformed_.Add();
    }
    return FinishStep(std::move(output));
  }

  ControlOutput OnLogResult(TimePoint now, const LogResult& result) {
    ControlOutput output;
    bool is_related = false;
    const std::vector<wire::AcceptedChange> changes =
        config_log_.OnResult(now, result, store_, is_related);
    if (!is_related && system_log_.OnResult(now, result)) {
      InstallCheckpoint();
    } else if (!is_related) {
      writer_.OnResult(now, result);
    }
    // Only readers push changes. A node that reads the log only while it starts has no changes that
    // its peers lack.
    if (readiness_.ready() && readers_.is_reader()) {
      distributor_.PushFromLog(changes, output);
    }
    TickLog(now, output);
    return FinishStep(std::move(output));
  }

  ControlOutput SetTargetState(TimePoint now, wire::TargetState::type state) {
    ControlOutput output;
    membership_.SetTargetState(now, state, output);
    return FinishStep(std::move(output));
  }

  ControlOutput Leave(TimePoint now) {
    ControlOutput output;
    membership_.Leave(now, output);
    return FinishStep(std::move(output));
  }

  const ConfigStore& store() const { return store_; }
  const Membership& membership() const { return membership_; }
  bool ready() const { return readiness_.ready(); }
  bool is_reader() const { return readers_.is_reader(); }
  std::vector<std::string> HeldLeases() const { return writer_.HeldLeases(); }

 private:
  ControlOutput FinishStep(ControlOutput output) {
    membership_.set_version(store_.version());
    membership_.set_ready(readiness_.ready());
    distributor_.set_ready(readiness_.ready());
    message_counters_.Count(output);
    return output;
  }

  void TickReadiness(TimePoint now, ControlOutput& output) {
    ApplyVersionReports();
    if (readiness_.ready()) {
      return;
    }
    Readiness::Input input;
    input.joined = membership_.joined();
    input.behind = distributor_.IsBehind() || store_.refusal().has_value();
    input.log_configured = options_.log_configured;
    input.log_responded_at = config_log_.cursor().responded_at();
    input.log_caught_up = config_log_.cursor().caught_up_at().has_value();
    input.sample_peers = [this] { return SamplePeers(); };
    for (const std::string& peer : readiness_.Tick(now, input)) {
      distributor_.SendDeltaRequest(*membership_.Find(peer), true, output);
    }
  }

  void ApplyVersionReports() {
    for (const ConfigDistributor::PeerVersionReport& report : distributor_.TakeVersionReports()) {
      readiness_.OnReply(report.peer, report.ready);
      // The peer has the same version and has replayed further, so the records between the two
      // positions were rejected and can be skipped.
      if (config_log_.has_gap() && report.version == store_.version() &&
          report.next_offset > store_.position() &&
          report.next_offset <= config_log_.cursor().end_offset()) {
        store_.SetPosition(report.next_offset);
      }
    }
  }

  /// Returns a random sample of at most `kPeersAsked` live members. At least one is in another data
  /// centre, if there is any: all members of this data centre may be starting at the same time
  /// while the log is unavailable.
  std::vector<std::string> SamplePeers() {
    std::vector<std::string> local;
    std::vector<std::string> remote;
    for (const wire::MemberRecord& member : membership_.Members()) {
      const bool is_live =
          member.state == wire::MemberState::kAlive || member.state == wire::MemberState::kSuspect;
      if (is_live && member.name != options_.name) {
        (member.data_centre == options_.data_centre ? local : remote).push_back(member.name);
      }
    }
    std::vector<std::string> peers = SampleNames(std::move(local), Readiness::kPeersAsked - 1);
    const std::vector<std::string> remote_sample =
        SampleNames(std::move(remote), Readiness::kPeersAsked - peers.size());
    peers.insert(peers.end(), remote_sample.begin(), remote_sample.end());
    return peers;
  }

  std::vector<std::string> SampleNames(std::vector<std::string> names, std::size_t count) {
    count = std::min(count, names.size());
    for (std::size_t i = 0; i < count; ++i) {
      std::swap(names[i], names[i + random_.NextBelow(names.size() - i)]);
    }
    names.resize(count);
    return names;
  }

  void TickReplayGap(TimePoint now, ControlOutput& output) {
    if (!config_log_.has_gap() || now < next_gap_request_) {
      return;
    }
    next_gap_request_ = now + random_.Jitter(kGapRequestInterval, 0.5);
    const std::vector<std::string> peers = SamplePeers();
    if (!peers.empty()) {
      distributor_.SendDeltaRequest(*membership_.Find(peers[random_.NextBelow(peers.size())]),
                                    false, output);
    }
  }

  /// Installs the newest checkpoint if the log no longer retains the records that the replay needs.
  void InstallCheckpoint() {
    const std::optional<wire::FullConfig>& checkpoint = system_log_.replay().checkpoint();
    if (!config_log_.has_gap() || !checkpoint || !system_log_.synced_since()) {
      return;
    }
    if (checkpoint->version > store_.version()) {
      const bool is_applied = store_.Install(*checkpoint) == ApplyResult::kApplied;
      (is_applied ? applied_ : refused_).Add();
    } else if (checkpoint->version == store_.version() &&
               checkpoint->next_offset > store_.position()) {
      store_.SetPosition(checkpoint->next_offset);
    }
  }

  void TickLog(TimePoint now, ControlOutput& output) {
    if (!options_.log_configured || !membership_.joined()) {
      return;
    }
    // A node that is not ready gets its configuration from peers first and claims no leases.
    const bool is_reader = readiness_.ready() && readers_.is_reader();
    const bool should_poll =
        is_reader || (readiness_.ready() && options_.distribution == DistributionMode::kPollLog);
    if (should_poll || readiness_.ShouldReadLog(now) || config_log_.has_gap()) {
      if (auto read = config_log_.Tick(now, store_, ids_)) {
        output.log_requests.emplace_back(std::move(*read));
      }
    }
    if (is_reader || config_log_.has_gap()) {
      if (auto read = system_log_.Tick(now, config_log_.has_gap(), ids_)) {
        output.log_requests.emplace_back(std::move(*read));
      }
      status_.Retain(membership_.LiveInDataCentre());
      if (auto append = writer_.Tick(now, ids_)) {
        output.log_requests.emplace_back(std::move(*append));
      }
    }
  }

  bool OnStatusReport(const wire::Envelope& envelope) {
    if (!envelope.message.__isset.status_report) {
      return false;
    }
    if (membership_.Find(envelope.sender) != nullptr) {
      status_.Report(envelope.sender, envelope.message.status_report);
    }
    return true;
  }

  ControlOptions options_;
  Random random_;
  RequestIds ids_;
  MessageCounters message_counters_;
  Counter& malformed_;
  Counter& applied_;
  Counter& refused_;
  Membership membership_;
  ConfigStore store_;
  ReaderSelection readers_;
  StatusAggregator status_;
  ConfigDistributor distributor_;
  Readiness readiness_;
  ConfigLogReader config_log_;
  SystemLogReader system_log_;
  SystemLogWriter writer_;
  StatusReporter reporter_;
  TimePoint next_gap_request_;
};

ControlPlane::ControlPlane(ControlOptions options, Random random, Counters& counters)
    : impl_(std::make_unique<Impl>(std::move(options), random, counters)) {}

ControlPlane::~ControlPlane() = default;

ControlOutput ControlPlane::Start(TimePoint now) {
  return impl_->Start(now);
}

ControlOutput ControlPlane::Tick(TimePoint now) {
  return impl_->Tick(now);
}

ControlOutput ControlPlane::OnMessage(TimePoint now, const wire::Envelope& envelope) {
  return impl_->OnMessage(now, envelope);
}

ControlOutput ControlPlane::OnLogResult(TimePoint now, const LogResult& result) {
  return impl_->OnLogResult(now, result);
}

ControlOutput ControlPlane::SetTargetState(TimePoint now, wire::TargetState::type state) {
  return impl_->SetTargetState(now, state);
}

ControlOutput ControlPlane::Leave(TimePoint now) {
  return impl_->Leave(now);
}

bool ControlPlane::IsReady() const {
  return impl_->ready();
}

ConfigSnapshotPtr ControlPlane::snapshot() const {
  return impl_->store().snapshot();
}

EndpointViewPtr ControlPlane::endpoints() const {
  return impl_->membership().endpoints();
}

std::vector<wire::MemberRecord> ControlPlane::Members() const {
  return impl_->membership().Members();
}

std::optional<ConfigRefusal> ControlPlane::refusal() const {
  return impl_->store().refusal();
}

bool ControlPlane::IsReader() const {
  return impl_->is_reader();
}

std::vector<std::string> ControlPlane::HeldLeases() const {
  return impl_->HeldLeases();
}

int64_t ControlPlane::incarnation() const {
  return impl_->membership().local().incarnation;
}

}  // namespace limpet
