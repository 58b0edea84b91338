#include "limpet/edge/peer_links.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "limpet/core/fault.h"
#include "limpet/edge/event_log.h"
#include "limpet/net/clock.h"
#include "limpet/wire/names.h"

namespace limpet::edge {

namespace {

/// Round trips between data centres take a few milliseconds.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(1000);
constexpr Duration kMinBackoff = std::chrono::milliseconds(50);
/// Entries of nodes that have left stay in the store, and are tried with this interval. A node that
/// returns opens a link itself, which ends the backoff of the others.
constexpr Duration kMaxBackoff = std::chrono::milliseconds(8000);
constexpr double kBackoffJitter = 0.5;
/// How long an idempotent call waits for its node to reconnect. Short, because a retry at another
/// node is better than waiting for one that may have failed.
constexpr Duration kMaxIdempotentResumeDelay = std::chrono::milliseconds(150);
/// How long a non-idempotent call, which must not run twice, waits for its node to reconnect.
constexpr Duration kMaxResumeDelay = std::chrono::milliseconds(1200);
/// A peer with pending calls is probed if nothing was received from it for this long.
constexpr Duration kProbeWithCallsAfter = std::chrono::milliseconds(250);
/// A node replies to a probe immediately from its event loop, so a missing reply after this time
/// shows a broken network path or a paused process.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(400);
/// Each peer sends keepalives every 400 ms to a few other nodes. If one of these receives nothing
/// for this long, the network path is broken or the process is paused. The peer is probed then, and
/// all nodes are told, so that the failure is detected before calls to the peer are lost.
constexpr Duration kMaxKeepaliveGap = std::chrono::milliseconds(1000);
/// Added at random, so that one node reports the silence of a peer before the others notice it.
constexpr Duration kMaxKeepaliveGapSpread = std::chrono::milliseconds(200);
/// After a pause of this node, no peer seems to have sent anything; a peer is reported as
/// unresponsive only if it has not replied to a probe within this time.
constexpr Duration kProbeRoundTrip = std::chrono::milliseconds(100);
/// A link is closed and reopened if its peer has not replied to a probe or handshake for this long.
constexpr Duration kReopenAfter = std::chrono::milliseconds(1200);

}  // namespace

PeerLinks::PeerLinks(const Executor& executor,
                     PeerLinksOptions options,
                     PeerLinksObserver& observer,
                     Counters& counters,
                     Random random)
    : executor_(executor),
      options_(std::move(options)),
      observer_(observer),
      counters_(counters),
      random_(random) {}

PeerLinks::~PeerLinks() {
  *alive_ = false;
  for (auto& [name, peer] : peers_) {
    if (peer.link) {
      peer.link->Close();
    }
  }
}

void PeerLinks::Add(const wire::NodeAddress& node) {
  if (node.name == options_.self.name || node.port <= 0) {
    return;
  }
  const auto [entry, is_new] = peers_.try_emplace(node.name);
  Peer& peer = entry->second;
  const bool address_changed = peer.address.host != node.host || peer.address.port != node.port;
  if (!is_new && !address_changed) {
    return;
  }
  peer.address = node;
  if (peer.link) {
    peer.link->Close();
    OnClosed(node.name, {});
  }
  Connect(node.name);
}

void PeerLinks::OnIncarnation(const std::string& node, int64_t incarnation) {
  const auto found = peers_.find(node);
  if (found == peers_.end()) {
    return;
  }
  Peer& peer = found->second;
  if (peer.ready && peer.incarnation != incarnation) {
    peer.link->Close();
    OnClosed(node, asio::error::connection_reset);
  }
  const bool waits_for_backoff = !peer.link && !peer.connecting;
  if (waits_for_backoff) {
    peer.retry_timer.reset();
    peer.backoff = Duration(0);
    Connect(node);
  }
}

void PeerLinks::OnSilenceReport(const std::string& node) {
  const auto found = peers_.find(node);
  if (found == peers_.end() || !found->second.ready) {
    return;
  }
  Peer& peer = found->second;
  if (!peer.silence_reported && peer.probed_at == TimePoint{}) {
    peer.silence_reported = true;
    SendProbe(peer);
  }
}

void PeerLinks::Connect(const std::string& name) {
  Peer& peer = peers_.at(name);
  // A timer of an earlier attempt would open a second link.
  peer.retry_timer.reset();
  ErrorCode error;
  const auto address = asio::ip::make_address(peer.address.host, error);
  if (error) {
    LogEvent("peer_address_invalid").Add("peer", name).Add("host", peer.address.host);
    return;
  }
  auto socket = std::make_shared<TcpSocket>(executor_);
  peer.connecting = socket;
  auto timer = std::make_shared<Timer>(executor_, kConnectTimeout);
  timer->async_wait([socket](ErrorCode result) {
    if (!result) {
      ErrorCode ignored;
      socket->close(ignored);
    }
  });
  socket->async_connect({address, static_cast<uint16_t>(peer.address.port)},
                        [this, alive = alive_, name, socket, timer](ErrorCode result) {
                          timer->cancel();
                          if (*alive) {
                            OnConnected(name, socket, result);
                          }
                        });
}

void PeerLinks::OnConnected(const std::string& name,
                            const std::shared_ptr<TcpSocket>& socket,
                            ErrorCode error) {
  Peer& peer = peers_.at(name);
  if (peer.connecting != socket) {
    return;
  }
  peer.connecting.reset();
  peer.connect_attempted = true;
  if (error) {
    ScheduleReconnect(name);
    return;
  }
  peer.link = std::make_shared<Link>(std::move(*socket), options_.vm_link);
  peer.link_number = ++last_link_number_;
  peer.link->set_remote(peer.address.data_centre != options_.self.data_centre);
  peer.link->Start({[this, alive = alive_, name](wire::LinkMessage message, std::string body) {
                      if (*alive) {
                        OnMessage(name, std::move(message), std::move(body));
                      }
                    },
                    [this, alive = alive_, name](ErrorCode closed) {
                      if (*alive) {
                        OnClosed(name, closed);
                      }
                    },
                    [this, alive = alive_, name](int64_t call_id) {
                      if (*alive) {
                        OnTransfer(name, call_id);
                      }
                    }});
  wire::LinkMessage message;
  message.__isset.hello = true;
  message.hello.node = options_.self;
  message.hello.incarnation = options_.incarnation;
  message.hello.wants_nodes = wants_nodes_;
  message.hello.link_number = peer.link_number;
  message.hello.next_call_id = next_call_id_;
  peer.handshake_sent_at = MonotonicNow();
  peer.link->Send(message);
}

void PeerLinks::ScheduleReconnect(const std::string& name) {
  Peer& peer = peers_.at(name);
  peer.backoff = std::clamp(peer.backoff * 2, kMinBackoff, kMaxBackoff);
  peer.retry_timer =
      std::make_unique<Timer>(executor_, random_.Jitter(peer.backoff, kBackoffJitter));
  peer.retry_timer->async_wait([this, alive = alive_, name](ErrorCode error) {
    if (!error && *alive) {
      Connect(name);
    }
  });
}

void PeerLinks::OnMessage(const std::string& name, wire::LinkMessage message, std::string body) {
  Peer& peer = peers_.at(name);
  if (message.__isset.hello) {
    OnHello(peer, message.hello);
  }
  if (message.__isset.status) {
    observer_.OnPeerStatus(peer.address, message.status);
  }
  if (message.__isset.reply) {
    OnReply(peer, std::move(message.reply), std::move(body));
  }
  if (message.__isset.probe) {
    observer_.OnPeerVersion(peer.address, message.probe.config_version, message.probe.store_fails);
    observer_.OnProbeReply(name, message.probe);
  }
  if (message.__isset.config) {
    observer_.OnPeerConfig(name, message.config);
  }
  if (message.__isset.keepalive) {
    peer.sends_keepalives = message.keepalive.interval_ms > 0;
    peer.expecting_since = MonotonicNow();
    peer.keepalive_limit =
        kMaxKeepaliveGap +
        Duration(static_cast<int64_t>(random_.NextBelow(kMaxKeepaliveGapSpread.count())));
  }
  if (message.__isset.body_request) {
    OnBodyRequest(peer, message.body_request);
  }
}

void PeerLinks::OnHello(Peer& peer, const wire::LinkHello& hello) {
  peer.address.link_mbps = hello.node.link_mbps;
  if (hello.node.name != peer.address.name) {
    // Another node uses this address now.
    const std::string name = peer.address.name;
    peer.link->Close();
    OnClosed(name, {});
    observer_.OnPeerAddresses({hello.node});
    return;
  }
  const bool same_process = peer.incarnation == hello.incarnation;
  if (!same_process) {
    FailCalls(peer, false);
  }
  peer.incarnation = hello.incarnation;
  peer.requests_body_parts = hello.requests_body_parts;
  peer.withdraws_calls = hello.withdraws_calls;
  peer.drops_earlier_links = hello.drops_earlier_links;
  peer.ready = true;
  peer.backoff = Duration(0);
  peer.probed_at = {};
  peer.expecting_since = MonotonicNow();
  peer.sends_keepalives = false;
  peer.silence_reported = false;
  LogEvent("peer_reached")
      .Add("peer", peer.address.name)
      .Add("link", peer.link_number)
      .Add("same_process", int{same_process});
  for (auto& [id, call] : peer.calls) {
    LogEvent("call_sent_again")
        .Add("request", call.call.request_id)
        .Add("peer", peer.address.name)
        .Add("link", peer.link_number);
    SendCall(peer, call);
  }
  if (peer.calls.empty()) {
    // Any message makes the peer drop what is still on its way on earlier links.
    peer.link->Send({});
  }
  observer_.OnPeerStatus(peer.address, hello.target);
  observer_.OnPeerReachable(peer.address.name, true);
  observer_.OnPeerVersion(peer.address, hello.config_version, false);
  observer_.OnPeerAddresses(hello.known_nodes);
}

void PeerLinks::OnReply(Peer& peer, wire::LinkReply reply, std::string body) {
  observer_.OnPeerStatus(peer.address, reply.target);
  if (options_.vm_link.ingress) {
    options_.vm_link.ingress->OnSent(body.size());
  }
  const auto found = peer.calls.find(reply.call_id);
  if (found == peer.calls.end()) {
    return;
  }
  const bool refused = reply.outcome == wire::Outcome::kNotRun;
  const bool may_run = refused && MayRunAfterRefusal(peer, found->second);
  if (refused && found->second.copies > 1) {
    LogEvent("resent_call_refused")
        .Add("request", found->second.call.request_id)
        .Add("peer", peer.address.name)
        .Add("link", peer.link_number)
        .Add("copies", int64_t{found->second.copies})
        .Add("reason", EnumName(kRefusalReasonNames, reply.reason))
        .Add("may_run", int64_t{may_run});
  }
  const CallHandlers handlers = std::move(found->second.handlers);
  peer.calls.erase(found);
  if (may_run) {
    handlers.on_failure(LinkFailure::kLost);
  } else {
    handlers.on_reply(std::move(reply), std::move(body));
  }
}

bool PeerLinks::MayRunAfterRefusal(const Peer& peer, const PendingCall& call) {
  return call.copies > 1 && !call.call.idempotent && !peer.drops_earlier_links;
}

void PeerLinks::OnTransfer(const std::string& name, int64_t call_id) {
  const Peer& peer = peers_.at(name);
  const auto found = peer.calls.find(call_id);
  if (found != peer.calls.end()) {
    const auto on_transfer = found->second.handlers.on_transfer;
    on_transfer();
  }
}

void PeerLinks::OnClosed(const std::string& name, ErrorCode error) {
  Peer& peer = peers_.at(name);
  peer.link.reset();
  if (peer.ready) {
    peer.ready = false;
    peer.lost_at = MonotonicNow();
    counters_.Get("links_lost").Add();
    LogEvent("peer_lost")
        .Add("peer", name)
        .Add("error", error.message())
        .Add("open_calls", static_cast<int64_t>(peer.calls.size()));
    observer_.OnPeerReachable(name, false);
  }
  ScheduleReconnect(name);
}

void PeerLinks::FailCalls(Peer& peer, bool idempotent_only) {
  std::vector<std::function<void(LinkFailure)>> failure_handlers;
  for (auto it = peer.calls.begin(); it != peer.calls.end();) {
    if (idempotent_only && !it->second.call.idempotent) {
      ++it;
      continue;
    }
    failure_handlers.push_back(std::move(it->second.handlers.on_failure));
    it = peer.calls.erase(it);
  }
  for (const auto& on_failure : failure_handlers) {
    on_failure(LinkFailure::kLost);
  }
}

void PeerLinks::SendCall(Peer& peer, PendingCall& call) {
  const bool body_on_request = peer.requests_body_parts && call.body->size() > kLargeBodyBytes;
  call.body_sent = 0;
  ++call.copies;
  call.call.body_bytes = body_on_request ? static_cast<int32_t>(call.body->size()) : 0;
  wire::LinkMessage message;
  message.__isset.call = true;
  message.call = call.call;
  peer.link->Send(message, body_on_request ? std::string() : *call.body);
}

void PeerLinks::OnBodyRequest(Peer& peer, const wire::LinkBodyRequest& request) {
  const auto found = peer.calls.find(request.call_id);
  if (found == peer.calls.end() || request.bytes <= 0) {
    // The call was cancelled while the request was on its way.
    return;
  }
  PendingCall& call = found->second;
  std::size_t remaining =
      std::min(static_cast<std::size_t>(request.bytes), call.body->size() - call.body_sent);
  while (remaining > 0) {
    const std::size_t bytes = std::min(remaining, kLargeBodyBytes);
    wire::LinkMessage message;
    message.__isset.body_part = true;
    message.body_part.call_id = request.call_id;
    message.body_part.offset = static_cast<int64_t>(call.body_sent);
    peer.link->Send(message, call.body->substr(call.body_sent, bytes));
    call.body_sent += bytes;
    remaining -= bytes;
  }
}

int64_t PeerLinks::Call(const std::string& node,
                        wire::LinkCall call,
                        SharedBody body,
                        CallHandlers handlers) {
  call.call_id = next_call_id_++;
  const int64_t id = call.call_id;
  const auto found = peers_.find(node);
  if (found == peers_.end() || !found->second.ready) {
    asio::post(executor_, [on_failure = std::move(handlers.on_failure)] {
      on_failure(LinkFailure::kNotSent);
    });
    return id;
  }
  Peer& peer = found->second;
  if (peer.calls.empty()) {
    peer.expecting_since = MonotonicNow();
  }
  PendingCall& pending =
      peer.calls.emplace(id, PendingCall{std::move(call), std::move(body), std::move(handlers)})
          .first->second;
  SendCall(peer, pending);
  return id;
}

void PeerLinks::Cancel(const std::string& node, int64_t call_id) {
  const auto found = peers_.find(node);
  if (found == peers_.end() || found->second.calls.erase(call_id) == 0 || !found->second.ready) {
    return;
  }
  wire::LinkMessage message;
  message.__isset.cancel = true;
  message.cancel.call_id = call_id;
  found->second.link->Send(message);
}

void PeerLinks::Withdraw(const std::string& node, int64_t call_id) {
  const auto found = peers_.find(node);
  if (found == peers_.end() || !found->second.calls.contains(call_id) || !found->second.ready ||
      !found->second.withdraws_calls) {
    return;
  }
  wire::LinkMessage message;
  message.__isset.cancel = true;
  message.cancel.call_id = call_id;
  message.cancel.only_if_queued = true;
  found->second.link->Send(message);
}

void PeerLinks::RequestConfig(const std::string& node, int64_t have) {
  const auto found = peers_.find(node);
  if (found == peers_.end() || !found->second.ready) {
    return;
  }
  wire::LinkMessage message;
  message.__isset.config_request = true;
  message.config_request.have = have;
  found->second.link->Send(message);
}

bool PeerLinks::Send(const std::string& node, const wire::LinkMessage& message) {
  const auto found = peers_.find(node);
  if (found == peers_.end() || !found->second.ready) {
    return false;
  }
  found->second.link->Send(message);
  return true;
}

void PeerLinks::Broadcast(const wire::LinkMessage& message, const std::string& data_centre) {
  for (const auto& [name, peer] : peers_) {
    if (peer.ready && (data_centre.empty() || peer.address.data_centre == data_centre)) {
      peer.link->Send(message);
    }
  }
}

std::vector<PeerLinks::Peer*> PeerLinks::SampleReadyPeers(int count) {
  std::vector<Peer*> ready;
  for (auto& [name, peer] : peers_) {
    if (peer.ready) {
      ready.push_back(&peer);
    }
  }
  std::vector<Peer*> sample;
  while (static_cast<int>(sample.size()) < count && !ready.empty()) {
    const std::size_t index = random_.NextBelow(ready.size());
    sample.push_back(ready[index]);
    ready.erase(ready.begin() + static_cast<std::ptrdiff_t>(index));
  }
  return sample;
}

void PeerLinks::Probe(const std::string& node, int64_t config_version) {
  const auto found = peers_.find(node);
  if (found == peers_.end() || !found->second.ready) {
    return;
  }
  wire::LinkMessage message;
  message.__isset.probe = true;
  message.probe.nonce = observer_.OnProbe(node);
  message.probe.config_version = config_version;
  found->second.link->Send(message);
}

void PeerLinks::ProbeRandomPeers(int count, int64_t config_version) {
  for (const Peer* peer : SampleReadyPeers(count)) {
    Probe(peer->address.name, config_version);
  }
}

void PeerLinks::SendProbe(Peer& peer) {
  peer.probed_at = MonotonicNow();
  wire::LinkMessage message;
  message.__isset.probe = true;
  peer.link->Send(message);
}

void PeerLinks::OnUnresponsive(const std::string& name, Peer& peer) {
  observer_.OnPeerUnresponsive(name);
  if (!peer.sends_keepalives || peer.silence_reported) {
    return;
  }
  peer.silence_reported = true;
  LogEvent("peer_silence_reported").Add("peer", name);
  wire::LinkMessage message;
  message.__isset.silence = true;
  message.silence.node = name;
  for (const auto& [other_name, other] : peers_) {
    if (other.ready && other_name != name) {
      other.link->Send(message);
    }
  }
}

void PeerLinks::CheckHandshake(const std::string& name, Peer& peer, TimePoint now) {
  const Duration waited = now - peer.handshake_sent_at;
  if (peer.link && !peer.ready && waited >= kReopenAfter &&
      !IsFaultActive(Fault::kWaitForHandshake)) {
    LogEvent("peer_silent").Add("peer", name).Add("silence_ms", waited);
    peer.link->Close();
    OnClosed(name, asio::error::timed_out);
  }
}

void PeerLinks::CheckResponsiveness(const std::string& name, Peer& peer, TimePoint now) {
  if (!peer.ready) {
    peer.probed_at = {};
    return;
  }
  const TimePoint last_received = peer.link->last_received();
  if (peer.probed_at != TimePoint{} && last_received >= peer.probed_at) {
    peer.probed_at = {};
    peer.silence_reported = false;
  }
  const Duration silence = now - std::max(last_received, peer.expecting_since);
  if (peer.probed_at == TimePoint{}) {
    const bool call_overdue = !peer.calls.empty() && silence >= kProbeWithCallsAfter;
    const bool keepalive_overdue = peer.sends_keepalives && silence >= peer.keepalive_limit;
    if (!call_overdue && !keepalive_overdue) {
      return;
    }
    SendProbe(peer);
  }
  const Duration since_probe = now - peer.probed_at;
  // Without a pending call, the peer was probed because it had been silent for long.
  const bool silent_for_long = silence >= kMaxKeepaliveGap || peer.silence_reported;
  if (since_probe >= kReopenAfter) {
    LogEvent("peer_silent").Add("peer", name).Add("silence_ms", silence);
    peer.link->Close();
    OnClosed(name, asio::error::timed_out);
  } else if (since_probe >= kProbeTimeout) {
    OnUnresponsive(name, peer);
    FailCalls(peer, true);
  } else if (silent_for_long && since_probe >= kProbeRoundTrip) {
    OnUnresponsive(name, peer);
  }
}

void PeerLinks::Tick() {
  const TimePoint now = MonotonicNow();
  for (auto& [name, peer] : peers_) {
    CheckHandshake(name, peer, now);
    CheckResponsiveness(name, peer, now);
    if (!peer.ready && !peer.calls.empty()) {
      const Duration disconnected_for = now - peer.lost_at;
      if (disconnected_for > kMaxIdempotentResumeDelay) {
        FailCalls(peer, disconnected_for <= kMaxResumeDelay);
      }
    }
  }
}

std::vector<wire::NodeAddress> PeerLinks::SampleNodes(int count) {
  std::vector<wire::NodeAddress> nodes;
  for (const Peer* peer : SampleReadyPeers(count)) {
    nodes.push_back(peer->address);
  }
  return nodes;
}

std::vector<wire::NodeAddress> PeerLinks::KnownNodes() const {
  std::vector<wire::NodeAddress> nodes;
  for (const auto& [name, peer] : peers_) {
    nodes.push_back(peer.address);
  }
  return nodes;
}

int PeerLinks::CountReachable() const {
  return static_cast<int>(
      std::ranges::count_if(peers_, [](const auto& entry) { return entry.second.ready; }));
}

bool PeerLinks::IsConnecting() const {
  return std::ranges::any_of(peers_, [](const auto& entry) {
    return !entry.second.connect_attempted && !entry.second.ready;
  });
}

}  // namespace limpet::edge
