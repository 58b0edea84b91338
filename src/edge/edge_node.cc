#include "limpet/edge/edge_node.h"

#include <algorithm>
#include <random>
#include <utility>

#include "limpet/edge/event_log.h"
#include "limpet/net/clock.h"

namespace limpet::edge {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(50);
/// Load changes are pushed to other nodes, because replies alone leave a node that gets few calls
/// with an old view. All pushes of a node together stay below this rate, whatever their number.
constexpr int kPushesPerSecond = 100;
/// Other data centres get one of so many pushes of load: they get few of the requests, and bytes
/// between data centres are paid for.
constexpr int kRemotePushShare = 4;
constexpr Duration kMinPushInterval = std::chrono::milliseconds(100);
/// A random peer is asked for its configuration version this often, which repairs a node whose
/// readers have lost the store.
constexpr Duration kProbeInterval = std::chrono::milliseconds(500);
constexpr int kProbedPeers = 1;
/// Twice within the silence after which a reader no longer counts.
constexpr Duration kReaderProbeInterval = std::chrono::milliseconds(400);
/// A whole configuration is asked for at most this often.
constexpr Duration kConfigRequestInterval = std::chrono::milliseconds(200);
/// Other nodes that a hello names, for a node that cannot read them from the store.
constexpr int kIntroducedNodes = 5;
/// A node that knows no peer after this long serves with what it has.
constexpr Duration kJoinTimeout = std::chrono::seconds(2);
/// Requests go on being taken for this long after the request to stop: readiness is asked for once
/// a second, and two misses take a node out. Later requests are refused at once, because they might
/// not end before the kill.
constexpr Duration kStopNotice = std::chrono::milliseconds(2800);
/// Calls of other nodes to the target are taken for this long after the request to stop, because
/// the node has to stay for its own callers anyway; what they start ends well before the kill.
constexpr Duration kInboundNotice = std::chrono::milliseconds(1800);
/// The same as a share of the grace period, for short ones.
constexpr double kInboundShare = 0.3;
constexpr Duration kStoppingRetry = std::chrono::milliseconds(200);
/// What is still open this long before the kill is given up in an orderly way.
constexpr Duration kStopMargin = std::chrono::milliseconds(300);

/// A target is looked for during its first heartbeat intervals; then only heartbeats name it.
constexpr Duration kDiscoveryTime = std::chrono::seconds(2);
constexpr Duration kDiscoveryInterval = std::chrono::milliseconds(250);
/// Slots of a discovered target if no other one of its service is known; few, until its heartbeat
/// says how many it has.
constexpr int kAssumedSlots = 4;

uint64_t DrawSeed() {
  std::random_device device;
  return (uint64_t{device()} << 32) | device();
}

/// Distinguishes this start from earlier ones; only equality matters.
int64_t MakeIncarnation() {
  return static_cast<int64_t>(DrawSeed() >> 1);
}

std::string AddressText(const PeerAddress& address) {
  return address.host + ":" + std::to_string(address.port);
}

wire::NodeAddress AddressOf(const NodeSettings& settings) {
  wire::NodeAddress address;
  address.name = settings.name;
  address.data_centre = settings.data_centre;
  address.host = settings.host;
  address.port = settings.link_port;
  address.link_mbps = static_cast<int32_t>(settings.link_mbps);
  return address;
}

int LinkListenPort(const NodeSettings& settings) {
  return settings.link_listen_port == 0 ? settings.link_port : settings.link_listen_port;
}

RetryBudgetOptions MakeBudgetOptions(const NodeSettings& settings) {
  RetryBudgetOptions options;
  options.ratio = settings.retry_ratio;
  options.extra = settings.retry_extra;
  options.window = std::chrono::milliseconds(settings.retry_window_ms);
  return options;
}

/// A fast link needs no pacing: a large response takes less than the lateness of a timer.
constexpr double kPacedBelowMbps = 200;

std::shared_ptr<EgressPacer> MakePacer(const Executor& executor, const NodeSettings& settings) {
  return settings.link_mbps < kPacedBelowMbps
             ? std::make_shared<EgressPacer>(executor, settings.link_mbps)
             : nullptr;
}

CallerLimits AdminLimits() {
  return {};
}

}  // namespace

EdgeNode::EdgeNode(const Executor& executor,
                   NodeSettings settings,
                   HttpHeaderNames header_names,
                   AnnouncementCodec& codec,
                   Coordination& coordination)
    : executor_(executor),
      settings_(std::move(settings)),
      incarnation_(MakeIncarnation()),
      header_names_(std::move(header_names)),
      codec_(codec),
      coordination_(coordination),
      readers_({}, settings_.name, static_cast<int>(settings_.link_mbps)),
      registry_(AddressText(settings_.target)),
      gate_(TargetGateOptions{}),
      placement_(PlacementOptions{}, settings_.data_centre, Random(DrawSeed())),
      budget_(MakeBudgetOptions(settings_)),
      tick_timer_(executor),
      target_probe_(executor, header_names_) {
  PeerLinksObserver& observer = *this;
  links_ =
      std::make_unique<PeerLinks>(executor_, PeerLinksOptions{AddressOf(settings_), incarnation_},
                                  observer, counters_, Random(DrawSeed()));
  const auto pacer = MakePacer(executor_, settings_);
  inbound_ = std::make_unique<InboundProxy>(executor_, header_names_, gate_, counters_, pacer,
                                            [this] { OnStatusChanged(); });
  outbound_ = std::make_unique<OutboundProxy>(
      executor_, OutboundProxyOptions{settings_.name, settings_.data_centre, settings_.service},
      header_names_, [this] { return config_.routes(); }, placement_, budget_, *links_, *inbound_,
      counters_, Random(DrawSeed()));
  link_server_ = std::make_unique<LinkServer>(*inbound_, MakeLinkHooks(), pacer);
}

EdgeNode::~EdgeNode() = default;

LinkServerHooks EdgeNode::MakeLinkHooks() {
  LinkServerHooks hooks;
  hooks.make_hello = [this] {
    wire::LinkHello hello;
    hello.node = AddressOf(settings_);
    hello.incarnation = incarnation_;
    hello.config_version = config_.version();
    hello.target = inbound_->Status();
    hello.known_nodes = links_->SampleNodes(kIntroducedNodes);
    return hello;
  };
  hooks.on_node = [this](const wire::NodeAddress& node) { links_->Add(node); };
  hooks.on_peer_version = [this](const std::string& node, int64_t version) {
    RequestNewer(node, version);
  };
  hooks.config_version = [this] { return config_.version(); };
  hooks.store_unreachable = [this] { return coordination_.IsStoreUnreachable(); };
  hooks.full_config = [this] { return config_.FullUpdate(); };
  return hooks;
}

void EdgeNode::Start() {
  started_ = MonotonicNow();
  const auto closing = [this] { return stopping_; };
  const auto never_closing = [] { return false; };
  caller_sessions_ = {
      [this](const HttpSessionPtr& session) { OnCallerRequest(session); },
      [this] { return config_.routes() ? config_.routes()->config().limits : CallerLimits{}; },
      closing};
  readiness_sessions_ = {[this](const HttpSessionPtr& session) { OnReadiness(session); },
                         AdminLimits, never_closing};
  announcement_sessions_ = {[this](const HttpSessionPtr& session) { OnAnnouncement(session); },
                            AdminLimits, never_closing};
  metrics_sessions_ = {[this](const HttpSessionPtr& session) { OnMetrics(session); }, AdminLimits,
                       never_closing};
  const auto serve = [this](const PeerAddress& address, const HttpSessionOptions& options) {
    listeners_.push_back(
        std::make_unique<Listener>(executor_, address, [&options](TcpSocket socket) {
          std::make_shared<HttpSession>(std::move(socket), options)->Start();
        }));
  };
  serve(settings_.readiness, readiness_sessions_);
  serve(settings_.announcements, announcement_sessions_);
  serve({settings_.host, settings_.metrics_port}, metrics_sessions_);
  listeners_.push_back(std::make_unique<Listener>(
      executor_, PeerAddress{settings_.host, LinkListenPort(settings_)},
      [this](TcpSocket socket) { link_server_->Accept(std::move(socket)); }));
  serve(settings_.outbound, caller_sessions_);
  coordination_.WatchConfig([this](MeshConfig config) { OnStoreConfig(std::move(config)); });
  coordination_.RegisterNode(AddressOf(settings_),
                             [this](const std::vector<wire::NodeAddress>& nodes) {
                               joined_ = true;
                               joined_at_ = MonotonicNow();
                               OnPeerAddresses(nodes);
                             });
  LogEvent("started")
      .Add("service", settings_.service)
      .Add("data_centre", settings_.data_centre)
      .Add("outbound", AddressText(settings_.outbound))
      .Add("store", AddressText(settings_.store));
  Tick();
}

void EdgeNode::Reload(const NodeSettings& settings) {
  settings_.service = settings.service;
  settings_.retry_ratio = settings.retry_ratio;
  settings_.retry_extra = settings.retry_extra;
  settings_.retry_window_ms = settings.retry_window_ms;
  settings_.grace_period_ms = settings.grace_period_ms;
  budget_.set_options(MakeBudgetOptions(settings_));
  outbound_->set_service(settings_.service);
  registry_.set_address(AddressText(settings.target));
  LogEvent("reloaded").Add("service", settings_.service);
}

void EdgeNode::OnStoreConfig(MeshConfig config) {
  const ConfigUpdateResult result = config_.Update(std::move(config));
  RecordConfigUpdate(result, "store");
  if (result == ConfigUpdateResult::kApplied) {
    link_server_->PushConfig(*config_.LastChange(), settings_.data_centre);
  }
}

void EdgeNode::RecordConfigUpdate(ConfigUpdateResult result, std::string_view source) {
  if (result == ConfigUpdateResult::kNotNewer) {
    return;
  }
  LogEvent("config_offered")
      .Add("source", source)
      .Add("result", NameOf(kConfigUpdateResultNames, result))
      .Add("version", config_.version())
      .Add("problem", config_.problem());
  counters_.Get("config_" + std::string(NameOf(kConfigUpdateResultNames, result))).Add();
  counters_.Get("config_version").Set(config_.version());
}

void EdgeNode::OnPeerStatus(const wire::NodeAddress& node, const wire::TargetStatus& status) {
  placement_.Update(MonotonicNow(), node.name, node.data_centre, status);
}

void EdgeNode::OnPeerReachable(const std::string& node, bool reachable) {
  placement_.SetReachable(node, reachable);
  if (!reachable) {
    readers_.Remove(node);
  }
  budget_.set_nodes(links_->CountReachable() + 1);
}

void EdgeNode::OnPeerUnresponsive(const std::string& node) {
  placement_.OnUnresponsive(MonotonicNow(), node);
}

void EdgeNode::OnPeerVersion(const wire::NodeAddress& node,
                             int64_t version,
                             bool store_unreachable) {
  if (node.data_centre == settings_.data_centre) {
    readers_.OnNodeReport(MonotonicNow(), node.name, node.link_mbps, store_unreachable);
  }
  RequestNewer(node.name, version);
}

void EdgeNode::RequestNewer(const std::string& node, int64_t version) {
  const TimePoint now = MonotonicNow();
  if (version > config_.version() && now - config_requested_ >= kConfigRequestInterval) {
    config_requested_ = now;
    links_->RequestConfig(node, config_.version());
  }
}

void EdgeNode::OnPeerConfig(const std::string& node, const wire::LinkConfig& change) {
  const ConfigUpdateResult result = config_.Update(change);
  RecordConfigUpdate(result, node);
  if (result == ConfigUpdateResult::kWrongBase) {
    RequestNewer(node, change.version);
  }
}

void EdgeNode::ProbeReaders(TimePoint now) {
  if (now - last_reader_probe_ < kReaderProbeInterval) {
    return;
  }
  last_reader_probe_ = now;
  for (const std::string& node : readers_.NodesToProbe()) {
    links_->Probe(node, config_.version());
  }
}

void EdgeNode::OnPeerAddresses(const std::vector<wire::NodeAddress>& nodes) {
  for (const wire::NodeAddress& node : nodes) {
    links_->Add(node);
  }
}

void EdgeNode::OnStatusChanged() {
  placement_.Update(MonotonicNow(), settings_.name, settings_.data_centre, inbound_->Status());
  placement_.SetReachable(settings_.name, true);
  push_due_ = true;
  if (inbound_->Status().state != pushed_.state) {
    PushStatus(MonotonicNow());
  }
}

void EdgeNode::OnAnnouncement(const HttpSessionPtr& session) {
  try {
    const AnnouncementCodec::Message message = codec_.Decode(session->request());
    target_announced_ = true;
    if (message.announcement) {
      ApplyAnnouncement(*message.announcement);
    } else if (message.leave) {
      registry_.OnLeave(MonotonicNow(), UnixMs(), message.leave->instance,
                        message.leave->start_time_ms);
      inbound_->SetTarget(registry_.current());
      LogEvent("target_left").Add("instance", message.leave->instance);
    }
  } catch (const DecodeError& error) {
    counters_.Get("announcements_malformed").Add();
    LogEvent("announcement_malformed").Add("problem", error.what());
    session->Respond(TextResponse(400, std::string(error.what()) + "\n"));
    return;
  }
  session->Respond(codec_.Acknowledge());
}

void EdgeNode::ApplyAnnouncement(const TargetAnnouncement& announcement) {
  const bool known_service = announcement.service == settings_.service || !config_.routes() ||
                             config_.routes()->FindService(announcement.service) != nullptr;
  if (!known_service) {
    throw DecodeError("service " + announcement.service + " is not in the configuration");
  }
  const TargetAnnouncement* before = registry_.current();
  const std::string instance = before == nullptr ? "" : before->instance;
  const bool was_draining = before != nullptr && before->draining;
  const AnnouncementResult result = registry_.OnAnnouncement(MonotonicNow(), announcement);
  const bool changed = result == AnnouncementResult::kLate ||
                       result == AnnouncementResult::kWrongPlace ||
                       instance != announcement.instance ||
                       was_draining != (result == AnnouncementResult::kDraining);
  if (changed) {
    LogEvent("target_announced")
        .Add("instance", announcement.instance)
        .Add("result", NameOf(kAnnouncementResultNames, result))
        .Add("sequence", announcement.sequence)
        .Add("address", announcement.address)
        .Add("slots", announcement.slots);
  }
  if (result == AnnouncementResult::kCurrent || result == AnnouncementResult::kDraining) {
    inbound_->SetTarget(registry_.current());
  }
}

void EdgeNode::DiscoverTarget(TimePoint now) {
  const bool wanted = !target_announced_ && registry_.current() == nullptr && config_.routes() &&
                      now - started_ <= kDiscoveryTime;
  if (!wanted || target_probe_.pending() || now - last_discovery_ < kDiscoveryInterval) {
    return;
  }
  const MeshService* service = config_.routes()->FindService(settings_.service);
  if (service == nullptr || service->health_path.empty()) {
    return;
  }
  last_discovery_ = now;
  target_probe_.Send(settings_.target, service->health_path, [this](const std::string& instance) {
    const int known_slots = placement_.MinSlots(settings_.service);
    const int slots = known_slots > 0 ? known_slots : kAssumedSlots;
    if (!target_announced_ && registry_.OnDiscovered(instance, settings_.service, slots)) {
      LogEvent("target_discovered").Add("instance", instance).Add("slots", slots);
      inbound_->SetTarget(registry_.current());
    }
  });
}

bool EdgeNode::IsReady() const {
  if (stopping_ || !config_.routes()) {
    return false;
  }
  const TimePoint now = MonotonicNow();
  if (!joined_) {
    return now - started_ > kJoinTimeout && links_->CountReachable() > 0;
  }
  return !links_->IsConnecting() || now - joined_at_ > kJoinTimeout;
}

void EdgeNode::OnCallerRequest(const HttpSessionPtr& session) {
  if (stopping_ && MonotonicNow() - stop_begun_ >= kStopNotice) {
    outbound_->Refuse(session, "stopping", kStoppingRetry);
    return;
  }
  outbound_->Handle(session);
}

void EdgeNode::OnReadiness(const HttpSessionPtr& session) {
  if (!codec_.IsReadinessRequest(session->request())) {
    session->Respond(TextResponse(404, "unknown path\n"));
    return;
  }
  const bool ready = IsReady();
  counters_.Get("ready").Set(ready ? 1 : 0);
  session->Respond(TextResponse(ready ? 200 : 503, ready ? "ready\n" : "not ready\n"));
}

void EdgeNode::OnMetrics(const HttpSessionPtr& session) {
  if (session->request().path != "/metrics") {
    session->Respond(TextResponse(404, "unknown path\n"));
    return;
  }
  counters_.Get("log_lines_dropped").Set(DroppedLogLines());
  counters_.Get("inbound_running").Set(gate_.running());
  counters_.Get("inbound_queued").Set(static_cast<int64_t>(gate_.queued()));
  counters_.Get("peers_reachable").Set(links_->CountReachable());
  session->Respond(TextResponse(200, counters_.Render() +
                                         outbound_->latency().Render("outbound_call_seconds") +
                                         inbound_->latency().Render("inbound_call_seconds")));
}

void EdgeNode::PushStatus(TimePoint now) {
  const wire::TargetStatus status = inbound_->Status();
  const bool state_changed = status.state != pushed_.state || status.instance != pushed_.instance;
  const Duration interval =
      std::max(kMinPushInterval,
               Duration(std::chrono::seconds(link_server_->CountLinks())) / kPushesPerSecond);
  if (!state_changed && (!push_due_ || now - last_push_ < interval)) {
    return;
  }
  push_due_ = false;
  last_push_ = now;
  pushed_ = status;
  const bool everywhere = state_changed || ++local_pushes_ % kRemotePushShare == 0;
  link_server_->PushStatus(status, everywhere ? "" : settings_.data_centre);
}

void EdgeNode::Tick() {
  const TimePoint now = MonotonicNow();
  inbound_->Tick();
  links_->Tick();
  link_server_->Tick(now);
  DiscoverTarget(now);
  PushStatus(now);
  if (now - last_probe_ >= kProbeInterval) {
    last_probe_ = now;
    links_->ProbeRandomPeers(kProbedPeers, config_.version());
  }
  ProbeReaders(now);
  coordination_.SetPolling(readers_.ShouldRead(now, config_.version() > 0));
  FlushEventLog();
  if (stopping_) {
    CheckStopped();
  }
  tick_timer_.expires_after(kTick);
  tick_timer_.async_wait([this](ErrorCode error) {
    if (!error) {
      Tick();
    }
  });
}

void EdgeNode::Stop(std::function<void()> on_stopped) {
  if (stopping_) {
    return;
  }
  LogEvent("stopping").Add("grace_ms", settings_.grace_period_ms);
  stopping_ = true;
  stop_begun_ = MonotonicNow();
  on_stopped_ = std::move(on_stopped);
}

void EdgeNode::CheckStopped() {
  if (!on_stopped_) {
    return;
  }
  const TimePoint now = MonotonicNow();
  const Duration elapsed = now - stop_begun_;
  const Duration grace = std::chrono::milliseconds(settings_.grace_period_ms);
  if (!inbound_stopped_ && elapsed >= std::min(kInboundNotice, Scale(grace, kInboundShare))) {
    inbound_stopped_ = true;
    inbound_->StartDraining();
    PushStatus(now);
  }
  const bool idle = inbound_->idle() && outbound_->idle() && *caller_sessions_.open_requests == 0;
  const bool out_of_time = elapsed >= grace - kStopMargin;
  if ((idle && elapsed >= kStopNotice) || out_of_time) {
    LogEvent("stopped").Add("idle", int{idle}).Add("after_ms", elapsed);
    FlushEventLog();
    std::exchange(on_stopped_, nullptr)();
  }
}

}  // namespace limpet::edge
