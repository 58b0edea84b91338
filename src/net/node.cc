#include "limpet/net/node.h"

#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>
#include <random>
#include <thread>
#include <utility>

#include "limpet/core/fault.h"
#include "limpet/edge/caller_memory_report.h"
#include "limpet/net/clock.h"

namespace limpet {

namespace {

/// All other nodes stop sending new work to a leaving node within 2 s (invariant I7 in
/// docs/INVARIANTS.md). Until then the node still accepts calls and refuses them with outcome
/// `not_run`, instead of closing connections on which calls are in progress.
constexpr Duration kLeavePropagationTime = std::chrono::seconds(2);
constexpr Duration kIdlePollInterval = std::chrono::milliseconds(10);
/// Threads for admin requests and target announcements, in addition to one per caller connection.
constexpr int kSpareHttpThreads = 8;

uint64_t GenerateSeed() {
  std::random_device device;
  return (uint64_t{device()} << 32) | device();
}

/// Returns the wall-clock time in milliseconds, so that a later start has a higher incarnation. If
/// the clock was set back, the node raises its incarnation when it receives a record of the earlier
/// one.
int64_t MakeIncarnation() {
  return UnixMs();
}

ControlLoopOptions MakeControlOptions(const NodeSettings& settings) {
  ControlLoopOptions options;
  options.control.name = settings.name;
  options.control.data_centre = settings.data_centre;
  options.control.service = settings.service;
  options.control.host = settings.host;
  options.control.port = settings.peer_port;
  options.control.incarnation = MakeIncarnation();
  options.control.seeds = settings.seeds;
  options.control.distribution = settings.distribution;
  options.control.log_configured = !settings.log_host.empty();
  options.seed = GenerateSeed();
  options.tick = std::chrono::milliseconds(settings.tick_ms);
  options.peer_timeout = std::chrono::milliseconds(settings.peer_timeout_ms);
  options.log = {settings.log_host, settings.log_port};
  options.log_timeout = std::chrono::milliseconds(settings.log_timeout_ms);
  return options;
}

InboundGate MakeGate(const NodeSettings& settings, int64_t incarnation) {
  GateOptions options;
  options.queue_length = static_cast<size_t>(settings.queue_length);
  return {options, incarnation, MakeLimitStrategy(settings.limit_policy, settings.slots)};
}

class InFlightCounter {
 public:
  explicit InFlightCounter(std::atomic<int>& count) : count_(count) { ++count_; }
  ~InFlightCounter() { --count_; }
  InFlightCounter(const InFlightCounter&) = delete;
  InFlightCounter& operator=(const InFlightCounter&) = delete;

 private:
  std::atomic<int>& count_;
};

}  // namespace

Node::Node(const NodeSettings& settings)
    : settings_(settings),
      exporter_("limpetd/" + settings.name, MakeSpanSink(settings), counters_),
      tracer_(settings.trace_sampling, Random(GenerateSeed()), exporter_),
      target_(settings.target_host, settings.target_port) {
  const ControlLoopOptions options = MakeControlOptions(settings);
  inbound_ = std::make_unique<InboundService>(MakeGate(settings, options.control.incarnation),
                                              target_, tracer_, counters_);
  control_ = std::make_unique<ControlLoop>(
      options, counters_, peers_, [this](const ControlState& state) { OnControlState(state); });
  outbound_ = std::make_unique<OutboundService>(
      settings.name, settings.data_centre, settings.selection_policy, Random(GenerateSeed()),
      peers_, [this] { return control_->state().snapshot; }, tracer_, counters_);
  peer_server_ = std::make_unique<PeerServer>(
      PeerServerOptions{settings.host, settings.peer_port, settings.connections},
      static_cast<PeerHandler&>(*this));
  monitor_ = std::make_unique<TargetMonitor>(
      TargetMonitorOptions{settings.target_health_path,
                           std::chrono::milliseconds(settings.target_health_interval_ms),
                           std::chrono::milliseconds(settings.target_health_timeout_ms)},
      target_, [this](wire::TargetState::type state) {
        inbound_->SetTargetState(state);
        control_->SetTargetState(state);
      });
  // Created after everything that its handler uses.
  HttpServerOptions http;
  http.host = settings.host;
  http.port = settings.http_port;
  http.max_threads = settings.connections + kSpareHttpThreads;
  http.max_body_bytes = static_cast<size_t>(settings.max_body_bytes);
  // A request takes a second descriptor, on which its handler sees that the caller disconnects.
  http.memory = edge::MakeCallerMemoryLimits(settings.memory_mb, edge::MaxDescriptors(), 2);
  http_server_ = std::make_unique<HttpServer>(
      http, [this](const HttpRequest& request, const ConnectionWatch& watch) {
        return OnHttp(request, watch);
      });
  // Started last, so that a node whose port is in use never joins.
  control_->Start();
}

Node::~Node() {
  monitor_->Stop();
  http_server_->Stop();
  peer_server_->Stop();
  control_->Stop();
}

bool Node::Stop() {
  spdlog::info("[node] leaving the mesh");
  StartDrain();
  if (IsFaultActive(Fault::kCutInFlightOnStop)) {
    return false;
  }
  std::this_thread::sleep_for(kLeavePropagationTime);
  const bool idle = WaitUntilIdle();
  if (!idle) {
    spdlog::warn("[node] drain timeout of {} ms passed; stopping with work in flight",
                 settings_.drain_timeout_ms);
  }
  return idle;
}

bool Node::WaitUntilIdle() {
  const TimePoint end = MonotonicNow() + std::chrono::milliseconds(settings_.drain_timeout_ms);
  while (callers_in_flight_ > 0 || inbound_->in_flight() > 0) {
    if (MonotonicNow() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kIdlePollInterval);
  }
  return true;
}

wire::CallReply Node::OnCall(const wire::CallRequest& request, const ConnectionWatch& watch) {
  return inbound_->OnCall(request, watch);
}

void Node::OnDeliver(const wire::Envelope& envelope) {
  control_->Deliver(envelope);
}

void Node::OnControlState(const ControlState& state) {
  inbound_->RaiseIncarnation(state.incarnation);
  outbound_->UpdateEndpoints(*state.endpoints);
  std::vector<PeerAddress> peers;
  for (const auto& [service, endpoints] : state.endpoints->services()) {
    for (const Endpoint& endpoint : endpoints) {
      peers.push_back({endpoint.host, endpoint.port});
    }
  }
  peers_.CloseAllExcept(std::move(peers));
}

HttpResponse Node::OnHttp(const HttpRequest& request, const ConnectionWatch& watch) {
  struct AdminPath {
    std::string_view path;
    HttpResponse (Node::*handler)();
  };
  static constexpr AdminPath kAdminPaths[] = {
      {"/metrics", &Node::HandleMetrics}, {"/health", &Node::HandleHealth},
      {"/ready", &Node::HandleReady},     {"/members", &Node::HandleMembers},
      {"/config", &Node::HandleConfig},
  };
  for (const AdminPath& admin : kAdminPaths) {
    if (request.path == admin.path) {
      return (this->*admin.handler)();
    }
  }
  if (request.path == "/drain" || request.path == "/target-state") {
    if (request.method != "POST") {
      return MakeNotAcceptedResponse(405, "use POST");
    }
    return request.path == "/drain" ? StartDrain() : ChangeTargetState(request.body);
  }
  return OnCallerRequest(request, watch);
}

HttpResponse Node::OnCallerRequest(const HttpRequest& request, const ConnectionWatch& watch) {
  const InFlightCounter in_flight(callers_in_flight_);
  if (draining_) {
    return MakeRefusal(wire::Outcome::kNotRun, wire::RefusalReason::kDraining);
  }
  // Until it is ready, a restarted node may have an older configuration than before the restart.
  if (!control_->state().ready) {
    return MakeRefusal(wire::Outcome::kNotRun, wire::RefusalReason::kNotReady);
  }
  if (request.method == "HEAD" || request.method == "CONNECT") {
    // The response to HEAD states the length of a body that is never sent; the HTTP client would
    // wait for it.
    return MakeNotAcceptedResponse(405, request.method + " is not supported");
  }
  return outbound_->Handle(request, watch);
}

HttpResponse Node::HandleMetrics() {
  counters_.Get("inbound_in_flight").Set(inbound_->in_flight());
  counters_.Get("callers_in_flight").Set(callers_in_flight_);
  counters_.Get("peer_connections").Set(peer_server_->connections());
  return TextResponse(200, counters_.Render());
}

HttpResponse Node::HandleHealth() {
  const nlohmann::json json = {{"node", settings_.name},
                               {"draining", draining_.load()},
                               {"target", EnumName(kTargetStateNames, monitor_->state())},
                               {"version", control_->state().snapshot->version()}};
  return JsonResponse(200, json.dump());
}

HttpResponse Node::HandleReady() {
  const bool ready = control_->state().ready && !draining_;
  return TextResponse(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
}

HttpResponse Node::HandleMembers() {
  constexpr EnumNames<wire::MemberState::type, 4> kMemberStateNames = {{
      {wire::MemberState::kAlive, "alive"},
      {wire::MemberState::kSuspect, "suspect"},
      {wire::MemberState::kLeft, "left"},
      {wire::MemberState::kDead, "dead"},
  }};
  nlohmann::json json = nlohmann::json::array();
  for (const auto& member : control_->Members()) {
    json.push_back({{"name", member.name},
                    {"incarnation", member.incarnation},
                    {"sequence", member.sequence},
                    {"state", EnumName(kMemberStateNames, member.state)},
                    {"target", EnumName(kTargetStateNames, member.target_state)},
                    {"data_centre", member.data_centre},
                    {"service", member.service_name},
                    {"host", member.host},
                    {"port", member.port}});
  }
  return JsonResponse(200, json.dump());
}

HttpResponse Node::HandleConfig() {
  const auto snapshot = control_->state().snapshot;
  const auto& config = snapshot->config();
  nlohmann::json json = {{"version", snapshot->version()},
                         {"services", nlohmann::json::array()},
                         {"targets", nlohmann::json::array()},
                         {"rules", nlohmann::json::array()},
                         {"routes", nlohmann::json::array()}};
  for (const auto& service : config.services) {
    json["services"].push_back({{"name", service.name},
                                {"timeout_ms", service.timeout_ms},
                                {"idempotent_methods", service.idempotent_methods},
                                {"slots", service.slots},
                                {"connections", service.connections}});
  }
  for (const auto& target : config.targets) {
    json["targets"].push_back({{"name", target.name},
                               {"service", target.service_name},
                               {"data_centre", target.data_centre},
                               {"address", target.address}});
  }
  for (const auto& rule : config.rules) {
    json["rules"].push_back({{"name", rule.name},
                             {"retry", rule.retry_enabled},
                             {"max_attempts", rule.max_attempts},
                             {"deadline_ms", rule.deadline_ms}});
  }
  for (const auto& route : config.routes) {
    json["routes"].push_back({{"name", route.name},
                              {"path_prefix", route.path_prefix},
                              {"service", route.service_name},
                              {"rule", route.rule},
                              {"callers", route.callers}});
  }
  return JsonResponse(200, json.dump());
}

HttpResponse Node::StartDrain() {
  draining_ = true;
  inbound_->StartDraining();
  control_->Leave();
  return JsonResponse(200, "{}");
}

HttpResponse Node::ChangeTargetState(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  const bool has_state = json.is_object() && json.contains("state") && json["state"].is_string();
  if (!has_state || !monitor_->Announce(json["state"].get<std::string>())) {
    return TextResponse(400, "expected {\"state\": \"starting\"|\"up\"|\"draining\"|\"down\"}\n");
  }
  return JsonResponse(200, "{}");
}

}  // namespace limpet
