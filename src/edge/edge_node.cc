#include "limpet/edge/edge_node.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

#include "limpet/core/fault.h"
#include "limpet/edge/event_log.h"
#include "limpet/edge/guard.h"
#include "limpet/net/clock.h"

namespace limpet::edge {

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(50);
/// Load changes are pushed to other nodes, because a node that sends few calls here gets few
/// replies and would otherwise use old load values. Limits the messages per second that this node
/// pushes to the linked nodes of its data centre together.
constexpr int kPushesPerSecond = 60;
/// Other data centres get the load only this often, because few requests go to them and traffic
/// between data centres is charged.
constexpr Duration kMaxRemoteStatusAge = std::chrono::seconds(8);
/// They are told earlier, but not more often than this, if the target has become considerably
/// faster or slower, or fails considerably more or less.
constexpr Duration kMinRemotePushInterval = std::chrono::seconds(1);
constexpr double kConsiderableSlowdownRatio = 1.5;
constexpr int kConsiderableFailurePermille = 150;
/// Interval of the log line with the bytes sent on links since the start of the node.
constexpr Duration kTrafficLogInterval = std::chrono::seconds(10);
constexpr Duration kMinPushInterval = std::chrono::milliseconds(100);
/// Minimum time between requests for a full configuration.
constexpr Duration kConfigRequestInterval = std::chrono::milliseconds(200);
/// A newer configuration is requested from another data centre only if none has arrived within this
/// time: the readers of the own data centre usually push it, and traffic between data centres is
/// charged.
constexpr Duration kRemoteConfigDelay = std::chrono::milliseconds(700);
/// Number of other nodes whose addresses a handshake contains, for a node that cannot read them
/// from the store.
constexpr int kNodesPerHandshake = 5;
/// How long readiness waits for the list of nodes from the store, and then again for the first
/// connections to peers, before the node serves with what it has.
constexpr Duration kJoinTimeout = std::chrono::seconds(2);
/// Requests of callers are accepted for this long after the stop signal: readiness is checked once
/// per second, and two failed checks take the node out of service. Later requests are refused
/// immediately, because they might not end before the process is killed.
constexpr Duration kAcceptCallersAfterStop = std::chrono::milliseconds(2800);
/// Limits `kAcceptCallersAfterStop` to this share of the grace period, for short grace periods.
constexpr double kAcceptCallersGraceShare = 0.5;
/// Calls from other nodes to the local target are accepted for this long after the stop signal,
/// because the node keeps serving its own callers anyway. Requests started by these calls end well
/// before the process is killed.
constexpr Duration kAcceptInboundAfterStop = std::chrono::milliseconds(1800);
/// Limits `kAcceptInboundAfterStop` to this share of the grace period, for short grace periods.
constexpr double kAcceptInboundGraceShare = 0.3;
constexpr Duration kRetryAfterStopping = std::chrono::milliseconds(200);
/// The node stops this long before the grace period ends, even if responses are still being sent.
constexpr Duration kStopMargin = std::chrono::milliseconds(300);
/// Time between the last responses and the end of the process, in which they are sent.
constexpr Duration kLastResponsesTime = std::chrono::milliseconds(200);

uint64_t GenerateSeed() {
  std::random_device device;
  return (uint64_t{device()} << 32) | device();
}

/// Returns a random id of this process start; ids are only compared for equality.
int64_t MakeIncarnation() {
  return static_cast<int64_t>(GenerateSeed() >> 1);
}

std::string FormatAddress(const PeerAddress& address) {
  return address.host + ":" + std::to_string(address.port);
}

wire::NodeAddress MakeNodeAddress(const NodeSettings& settings) {
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

Duration AcceptCallersAfterStop(Duration grace) {
  if (IsFaultActive(Fault::kAcceptUntilGraceEnds)) {
    return kAcceptCallersAfterStop;
  }
  return std::min(kAcceptCallersAfterStop, Scale(grace, kAcceptCallersGraceShare));
}

/// Links of at least this rate are not paced: sending a large response takes less time than a timer
/// may be late.
constexpr double kMinUnpacedMbps = 200;

std::shared_ptr<LinkPacer> MakePacer(const Executor& executor, const NodeSettings& settings) {
  return settings.link_mbps < kMinUnpacedMbps
             ? std::make_shared<LinkPacer>(executor, settings.link_mbps)
             : nullptr;
}

Duration GracePeriod(const NodeSettings& settings) {
  return Duration(std::llround(settings.grace_period_ms * 1000));
}

/// Whether `status` is worth a message to other data centres that have `reported`.
bool DiffersConsiderably(const wire::TargetStatus& status, const wire::TargetStatus& reported) {
  const auto [low, high] = std::minmax(status.slowdown_permille, reported.slowdown_permille);
  const int failure_change = std::abs(status.failure_permille - reported.failure_permille);
  return high > low * kConsiderableSlowdownRatio || failure_change >= kConsiderableFailurePermille;
}

/// Requests of one caller connection that run side by side.
constexpr std::size_t kMaxPipelinedRequests = 8;

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
      gate_(TargetGateOptions{}),
      placement_(PlacementOptions{},
                 settings_.data_centre,
                 Random(GenerateSeed()),
                 &rollout_table_),
      budget_(MakeBudgetOptions(settings_)),
      tick_timer_(executor) {
  PeerLinksObserver& observer = *this;
  traffic_ = std::make_shared<LinkTraffic>();
  const VmLink vm_link{MakePacer(executor_, settings_), MakePacer(executor_, settings_), traffic_};
  links_ = std::make_unique<PeerLinks>(
      executor_, PeerLinksOptions{MakeNodeAddress(settings_), incarnation_, vm_link}, observer,
      counters_, Random(GenerateSeed()));
  shared_state_ = std::make_unique<SharedStateAgent>(*links_, counters_);
  leases_ = std::make_unique<LeaseAgent>(
      DecisionLeaseOptions{.self = settings_.name, .partitions = settings_.store_partitions},
      coordination_, *shared_state_, *links_, counters_);
  quota_ = std::make_unique<QuotaAgent>(
      executor_, settings_.name, MakeQuotaOptions(settings_), [this] { return config_.routes(); },
      leases_->lease(), *links_, counters_);
  freshness_ =
      std::make_unique<FreshnessAgent>(settings_, header_names_, config_, readers_, *links_);
  inbound_ = std::make_unique<InboundProxy>(executor_, header_names_, gate_, counters_, vm_link,
                                            [this] { OnStatusChanged(); });
  local_target_ = std::make_unique<LocalTarget>(executor_, settings_, header_names_, codec_,
                                                config_, placement_, *inbound_, counters_);
  freshness_->set_operator_digest([this] { return shared_state_->state().OperatorDigest(); });
  if (settings_.hold_new_versions) {
    rollout_table_ = RolloutTable([this] { return freshness_->clock().proven(); });
  }
  rollouts_ = std::make_unique<RolloutAgent>(
      settings_.name, RolloutOptions{settings_.exposure_share, settings_.exposure_slack},
      RolloutAgentDependencies{rollout_table_, gate_, *inbound_, *shared_state_, *links_,
                               coordination_, leases_->lease(), counters_});
  outbound_ = std::make_unique<OutboundProxy>(
      executor_,
      OutboundProxyOptions{settings_.name, settings_.data_centre, settings_.service,
                           [this] { return pause_monitor_.MaxInputAge(MonotonicNow()); }},
      header_names_, [this] { return config_.routes(); }, placement_, budget_, *links_, *inbound_,
      *quota_, counters_, freshness_->policy(), Random(GenerateSeed()));
  link_server_ = std::make_unique<LinkServer>(*inbound_, MakeLinkHooks(), settings_.data_centre,
                                              vm_link, Random(GenerateSeed()));
}

EdgeNode::~EdgeNode() = default;

LinkServerHooks EdgeNode::MakeLinkHooks() {
  LinkServerHooks hooks;
  hooks.make_hello = [this](bool with_nodes) {
    wire::LinkHello hello;
    hello.node = MakeNodeAddress(settings_);
    hello.incarnation = incarnation_;
    hello.config_version = config_.version();
    hello.target = inbound_->Status();
    if (with_nodes) {
      hello.known_nodes = links_->SampleNodes(kNodesPerHandshake);
    }
    hello.requests_body_parts = true;
    hello.withdraws_calls = true;
    hello.drops_earlier_links = true;
    return hello;
  };
  hooks.on_node = [this](const wire::NodeAddress& node, int64_t incarnation) {
    links_->OnIncarnation(node.name, incarnation);
    links_->Add(node);
  };
  hooks.on_silence = [this](const std::string& node) { links_->OnSilenceReport(node); };
  hooks.on_peer_version = [this](const std::string& node, const std::string& data_centre,
                                 int64_t version) {
    RequestNewerConfig(node, data_centre, version);
  };
  hooks.config_version = [this] { return config_.version(); };
  hooks.max_input_age = [this] { return pause_monitor_.MaxInputAge(MonotonicNow()); };
  hooks.store_unreachable = [this] { return coordination_.IsStoreUnreachable(); };
  hooks.complete_probe_reply = [this](wire::LinkProbe& reply) { freshness_->CompleteReply(reply); };
  hooks.full_config = [this] { return config_.FullUpdate(); };
  hooks.on_message = [this](const std::string& node, const wire::LinkMessage& message) {
    OnPeerMessage(node, message);
  };
  return hooks;
}

void EdgeNode::OnPeerMessage(const std::string& node, const wire::LinkMessage& message) {
  if (message.__isset.shared_state) {
    shared_state_->OnMessage(MonotonicNow(), node, message.shared_state);
  }
  leases_->OnMessage(MonotonicNow(), node, message);
  quota_->OnMessage(node, message);
  if (message.__isset.rollout_report) {
    rollouts_->OnReport(MonotonicNow(), node, message.rollout_report);
  }
}

bool EdgeNode::WantsDecisions() const {
  const bool has_order = shared_state_->state().OperatorDigest() != 0;
  const bool has_limits = config_.routes() && HasAccountLimits(config_.routes()->config());
  return !stopping_ && coordination_.role() != ReaderRole::kNone && (has_limits || has_order);
}

void EdgeNode::Start() {
  started_ = MonotonicNow();
  const auto is_closing = [this] { return stopping_; };
  const auto never_closing = [] { return false; };
  const auto memory = std::make_shared<CallerMemory>(
      MakeCallerMemoryLimits(settings_.memory_mb, MaxDescriptors(), 1));
  memory_report_ = std::make_unique<CallerMemoryReport>(executor_, memory);
  caller_sessions_ = {
      [this](const HttpSessionPtr& session) { OnCallerRequest(session); },
      [this] { return config_.routes() ? config_.routes()->config().limits : CallerLimits{}; },
      is_closing};
  caller_sessions_.max_pipelined = kMaxPipelinedRequests;
  readiness_sessions_ = {[this](const HttpSessionPtr& session) { OnReadiness(session); },
                         AdminLimits, never_closing};
  announcement_sessions_ = {
      [this](const HttpSessionPtr& session) { local_target_->OnAnnouncement(session); },
      AdminLimits, never_closing};
  metrics_sessions_ = {[this](const HttpSessionPtr& session) { OnMetrics(session); }, AdminLimits,
                       never_closing};
  const auto serve = [this, &memory](const PeerAddress& address, HttpSessionOptions& options) {
    options.memory = memory;
    listeners_.push_back(std::make_unique<Listener>(
        executor_, address,
        [&options](TcpSocket socket) { HttpSession::Accept(std::move(socket), options); }));
  };
  serve(settings_.readiness, readiness_sessions_);
  serve(settings_.announcements, announcement_sessions_);
  serve({settings_.host, settings_.metrics_port}, metrics_sessions_);
  listeners_.push_back(std::make_unique<Listener>(
      executor_, PeerAddress{settings_.host, LinkListenPort(settings_)},
      [this](TcpSocket socket) { link_server_->Accept(std::move(socket)); }));
  serve(settings_.outbound, caller_sessions_);
  coordination_.WatchFreshness([this](TimePoint proven) { freshness_->clock().OnProof(proven); });
  coordination_.WatchRestores([this] {
    std::vector<wire::NodeAddress> nodes = links_->KnownNodes();
    nodes.push_back(MakeNodeAddress(settings_));
    coordination_.StoreMissingNodes(std::move(nodes));
  });
  rollouts_->Start();
  coordination_.WatchConfig(
      [this](MeshConfig config) { OnStoreConfig(std::move(config)); },
      [this](const std::string& /*problem*/) { counters_.Get("config_malformed").Add(); });
  coordination_.RegisterNode(MakeNodeAddress(settings_),
                             [this](const std::vector<wire::NodeAddress>& nodes) {
                               joined_ = true;
                               links_->set_wants_nodes(false);
                               joined_at_ = MonotonicNow();
                               OnPeerAddresses(nodes);
                             });
  LogEvent("started")
      .Add("service", settings_.service)
      .Add("data_centre", settings_.data_centre)
      .Add("outbound", FormatAddress(settings_.outbound))
      .Add("store", FormatAddress(settings_.store));
  Tick();
}

void EdgeNode::Reload(const NodeSettings& settings) {
  settings_.service = settings.service;
  settings_.retry_ratio = settings.retry_ratio;
  settings_.retry_extra = settings.retry_extra;
  settings_.retry_window_ms = settings.retry_window_ms;
  settings_.grace_period_ms = settings.grace_period_ms;
  settings_.strict_revocation = settings.strict_revocation;
  settings_.revoke_ms = settings.revoke_ms;
  budget_.set_options(MakeBudgetOptions(settings_));
  freshness_->Reload(settings_);
  outbound_->set_service(settings_.service);
  settings_.target = settings.target;
  local_target_->OnSettings();
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
  if (result == ConfigUpdateResult::kApplied) {
    behind_since_ = {};
  }
  if (result == ConfigUpdateResult::kNotNewer) {
    return;
  }
  LogEvent("config_offered")
      .Add("source", source)
      .Add("result", EnumName(kConfigUpdateResultNames, result))
      .Add("version", config_.version())
      .Add("problem", config_.problem());
  counters_.Get("config_" + std::string(EnumName(kConfigUpdateResultNames, result))).Add();
  counters_.Get("config_version").Set(config_.version());
}

void EdgeNode::OnPeerStatus(const wire::NodeAddress& node, const wire::TargetStatus& status) {
  placement_.Update(MonotonicNow(), node.name, node.data_centre, status);
}

void EdgeNode::OnPeerReachable(const std::string& node, bool reachable) {
  placement_.SetReachable(node, reachable);
  if (reachable) {
    shared_state_->OnPeerReachable(node);
  } else {
    readers_.Remove(node);
    freshness_->OnUnreachable(node);
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
  RequestNewerConfig(node.name, node.data_centre, version);
}

void EdgeNode::RequestNewerConfig(const std::string& node,
                                  const std::string& data_centre,
                                  int64_t version) {
  if (version <= config_.version()) {
    return;
  }
  const TimePoint now = MonotonicNow();
  if (behind_since_ == TimePoint{}) {
    behind_since_ = now;
    LogEvent("config_behind")
        .Add("version", config_.version())
        .Add("reported", version)
        .Add("reported_by", node);
  }
  const bool must_wait =
      data_centre != settings_.data_centre && now - behind_since_ < kRemoteConfigDelay;
  if (!must_wait && now - config_requested_ >= kConfigRequestInterval) {
    config_requested_ = now;
    links_->RequestConfig(node, config_.version());
  }
}

void EdgeNode::OnPeerConfig(const std::string& node, const wire::LinkConfig& change) {
  const ConfigUpdateResult result = config_.Update(change);
  RecordConfigUpdate(result, node);
  if (result == ConfigUpdateResult::kWrongBase) {
    // Changes are pushed within a data centre only.
    RequestNewerConfig(node, settings_.data_centre, change.version);
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
  if (inbound_->Status().state != last_pushed_status_.state) {
    PushStatus(MonotonicNow());
  }
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
  if (stopping_ &&
      MonotonicNow() - stopping_since_ >= AcceptCallersAfterStop(GracePeriod(settings_))) {
    outbound_->Refuse(session, "stopping", kRetryAfterStopping);
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
  memory_report_->SetCounters(counters_);
  counters_.Get("log_lines_dropped").Set(DroppedLogLines());
  counters_.Get("unexpected_errors").Set(UnexpectedErrors());
  counters_.Get("inbound_running").Set(gate_.running());
  counters_.Get("inbound_queued").Set(static_cast<int64_t>(gate_.queued()));
  counters_.Get("peers_reachable").Set(links_->CountReachable());
  counters_.Get("store_reading").Set(coordination_.role() == ReaderRole::kNone ? 0 : 1);
  counters_.Get("store_silence_ms")
      .Set(std::chrono::duration_cast<std::chrono::milliseconds>(
               coordination_.StoreSilence(MonotonicNow()))
               .count());
  freshness_->Report(counters_);
  for (const auto& [kind, name] : kFrameKindNames) {
    counters_.Get("link_sent_bytes_" + std::string(name)).Set(traffic_->bytes(kind, false));
    counters_.Get("link_sent_remote_bytes_" + std::string(name)).Set(traffic_->bytes(kind, true));
  }
  session->Respond(TextResponse(200, counters_.Render() +
                                         outbound_->latency().Render("outbound_call_seconds") +
                                         inbound_->latency().Render("inbound_call_seconds")));
}

void EdgeNode::PushStatus(TimePoint now) {
  const wire::TargetStatus status = inbound_->Status();
  const bool state_changed =
      status.state != last_pushed_status_.state || status.instance != last_pushed_status_.instance;
  const Duration interval =
      std::max(kMinPushInterval,
               Duration(std::chrono::seconds(link_server_->CountLocalLinks())) / kPushesPerSecond);
  if (!state_changed && (!push_due_ || now - last_push_ < interval)) {
    return;
  }
  push_due_ = false;
  last_push_ = now;
  last_pushed_status_ = status;
  const Duration remote_age = now - last_remote_push_;
  const bool to_all_data_centres =
      state_changed || remote_age >= kMaxRemoteStatusAge ||
      (remote_age >= kMinRemotePushInterval && DiffersConsiderably(status, last_remote_status_));
  if (to_all_data_centres) {
    last_remote_push_ = now;
    last_remote_status_ = status;
  }
  link_server_->PushStatus(status, to_all_data_centres ? "" : settings_.data_centre);
}

void EdgeNode::Tick() {
  RunGuarded("tick", [this] { RunTick(MonotonicNow()); });
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](ErrorCode error) {
    if (!error) {
      Tick();
    }
  });
}

void EdgeNode::LogTraffic(TimePoint now) {
  if (now - last_traffic_log_ < kTrafficLogInterval) {
    return;
  }
  last_traffic_log_ = now;
  LogEvent event("link_traffic");
  for (const auto& [kind, name] : kFrameKindNames) {
    event.Add(std::string(name) + "_bytes", traffic_->bytes(kind, false));
    event.Add(std::string(name) + "_remote_bytes", traffic_->bytes(kind, true));
  }
}

void EdgeNode::RunTick(TimePoint now) {
  pause_monitor_.OnTick(now);
  LogTraffic(now);
  inbound_->Tick();
  links_->Tick();
  link_server_->Tick(now);
  shared_state_->Tick(now);
  rollouts_->Tick(now);
  leases_->Tick(now, WantsDecisions());
  quota_->Tick(now, links_->CountKnown() + 1);
  local_target_->Check(now);
  PushStatus(now);
  freshness_->Tick(now);
  coordination_.SetRole(readers_.Role(now, config_.version() > 0));
  FlushEventLog();
  if (stopping_) {
    CheckStopped();
  }
}

void EdgeNode::Stop(std::function<void()> on_stopped) {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  // The signal may have been sent at the start of a pause of this process.
  const TimePoint now = MonotonicNow();
  const Duration signal_age = pause_monitor_.MaxInputAge(now);
  stopping_since_ = now - signal_age;
  if (!IsFaultActive(Fault::kCutInFlightOnStop)) {
    outbound_->StartStopping(stopping_since_ + GracePeriod(settings_) - kStopMargin -
                             kLastResponsesTime);
  }
  LogEvent("stopping").Add("grace_ms", GracePeriod(settings_)).Add("signal_age_ms", signal_age);
  on_stopped_ = std::move(on_stopped);
}

void EdgeNode::CheckStopped() {
  if (!on_stopped_) {
    return;
  }
  const TimePoint now = MonotonicNow();
  const Duration elapsed = now - stopping_since_;
  const Duration grace = GracePeriod(settings_);
  if (!inbound_stopped_ &&
      elapsed >= std::min(kAcceptInboundAfterStop, Scale(grace, kAcceptInboundGraceShare))) {
    inbound_stopped_ = true;
    inbound_->StartDraining();
    PushStatus(now);
  }
  outbound_->TickStopping(now);
  const bool idle =
      inbound_->idle() && outbound_->idle() && *caller_sessions_.pending_requests == 0;
  const bool out_of_time = elapsed >= grace - kStopMargin;
  if ((idle && elapsed >= AcceptCallersAfterStop(grace)) || out_of_time) {
    LogEvent("stopped").Add("idle", int{idle}).Add("after_ms", elapsed);
    FlushEventLog();
    std::exchange(on_stopped_, nullptr)();
  }
}

}  // namespace limpet::edge
