#include "limpet/edge/link_server.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "limpet/core/fault.h"
#include "limpet/edge/event_log.h"
#include "limpet/net/clock.h"

namespace limpet::edge {

namespace {

/// Less than half of the time after which a peer without pending calls counts as unresponsive.
constexpr Duration kKeepaliveInterval = std::chrono::milliseconds(400);
/// Number of nodes in the own data centre, and again in the others together, that get keepalives.
/// Keepalives to all nodes would grow with the square of their number.
constexpr std::size_t kKeepaliveReceivers = 6;
/// What is known of the calls of a process is kept this long after its last link.
constexpr Duration kProcessLifetime = std::chrono::minutes(10);
constexpr Duration kExpiryInterval = std::chrono::seconds(10);

}  // namespace

/// A link that was accepted from another node. Asks for the request bodies of calls at the rate of
/// the VM's network link.
class LinkServer::Session : public PacedSender, public std::enable_shared_from_this<Session> {
 public:
  Session(LinkServer& server, TcpSocket socket)
      : server_(server), link_(std::make_shared<Link>(std::move(socket), server.vm_link_)) {}

  void Start() {
    link_->Start({[self = weak_from_this()](wire::LinkMessage message, std::string body) {
                    if (const auto session = self.lock()) {
                      session->OnMessage(std::move(message), std::move(body));
                    }
                  },
                  [self = weak_from_this()](ErrorCode) {
                    if (const auto session = self.lock()) {
                      session->server_.Remove(*session);
                    }
                  },
                  nullptr});
  }
  void Send(const wire::LinkMessage& message, std::string body = {}) {
    link_->Send(message, std::move(body));
  }
  TimePoint last_sent() const { return link_->last_sent(); }
  const std::string& data_centre() const { return data_centre_; }
  bool is_remote() const { return data_centre_ != server_.data_centre_; }
  bool gets_keepalives() const { return gets_keepalives_; }
  /// Promises keepalives on this link.
  void StartKeepalives() {
    gets_keepalives_ = true;
    wire::LinkMessage message;
    message.__isset.keepalive = true;
    message.keepalive.interval_ms = static_cast<int32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(kKeepaliveInterval).count());
    link_->Send(message);
  }
  bool HasHandshake() const { return !key_prefix_.empty(); }
  const std::string& name() const { return name_; }
  /// Identifies the process that opened the link; empty before the handshake.
  const std::string& process() const { return key_prefix_; }
  int64_t link_number() const { return link_number_; }
  int64_t next_call_id() const { return next_call_id_; }
  void Close() { link_->Close(); }

  std::size_t SendChunk(int64_t transfer) override {
    const auto found = body_transfers_.find(transfer);
    if (found == body_transfers_.end()) {
      return 0;
    }
    BodyTransfer& body = found->second;
    const int64_t call_id = body.call_id;
    if (!server_.inbound_.IsAwaitingBody(MakeCallKey(call_id))) {
      body_transfers_.erase(found);
      return 0;
    }
    const std::size_t bytes = std::min(body.not_requested, kLargeBodyBytes);
    body.not_requested -= bytes;
    if (body.not_requested == 0) {
      body_transfers_.erase(found);
    }
    RequestBody(call_id, bytes);
    return bytes;
  }

 private:
  /// The request body of a call, which the peer sends when this node asks for it.
  struct BodyTransfer {
    int64_t call_id = 0;
    std::size_t not_requested = 0;
  };
  class LinkReplySink final : public ReplySink {
   public:
    /// `due` is the latency target of the call, by which the response should be sent.
    LinkReplySink(std::weak_ptr<Link> link, TimePoint due) : link_(std::move(link)), due_(due) {}
    bool IsOpen() const override {
      const auto link = link_.lock();
      return link && !link->closed();
    }
    bool IsFor(const Link& link) const override { return link_.lock().get() == &link; }
    void Deliver(wire::LinkReply reply, std::string body) override {
      if (const auto link = link_.lock()) {
        wire::LinkMessage message;
        message.__isset.reply = true;
        message.reply = std::move(reply);
        link->Send(message, std::move(body), due_);
      }
    }

   private:
    std::weak_ptr<Link> link_;
    TimePoint due_;
  };

  void OnMessage(wire::LinkMessage message, std::string body) {
    if (message.__isset.hello && !HasHandshake()) {
      OnHello(message.hello);
      return;
    }
    if (!HasHandshake()) {
      return;
    }
    if (!std::exchange(in_use_, true)) {
      server_.OnInUse(*this);
    }
    if (message.__isset.call) {
      OnCall(std::move(message.call), std::move(body));
    } else if (message.__isset.body_part) {
      server_.inbound_.AddBody(MakeCallKey(message.body_part.call_id), *link_,
                               message.body_part.offset, body);
    }
    if (message.__isset.cancel && message.cancel.only_if_queued) {
      server_.inbound_.Withdraw(MakeCallKey(message.cancel.call_id));
    } else if (message.__isset.cancel) {
      server_.inbound_.Cancel(MakeCallKey(message.cancel.call_id));
      link_->DropReply(message.cancel.call_id);
    }
    if (message.__isset.probe) {
      OnProbe(message.probe);
    }
    if (message.__isset.silence) {
      server_.hooks_.on_silence(message.silence.node);
    }
    if (message.__isset.config_request) {
      OnConfigRequest(message.config_request);
    }
    const bool for_other_parts = message.__isset.shared_state || message.__isset.quota_request ||
                                 message.__isset.quota_reply || message.__isset.rollout_report ||
                                 message.__isset.partition_claim ||
                                 message.__isset.partition_claim_reply;
    if (for_other_parts && server_.hooks_.on_message) {
      server_.hooks_.on_message(name_, message);
    }
  }

  void OnCall(wire::LinkCall call, std::string body) {
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(server_.hooks_.max_input_age());
    call.deadline_ms -= static_cast<int32_t>(age.count());
    call.latency_target_ms -= static_cast<int32_t>(age.count());
    const int64_t call_id = call.call_id;
    const std::string key = MakeCallKey(call_id);
    const bool may_be_forgotten = server_.history_.OnCall(MonotonicNow(), process(), call_id);
    const auto body_bytes = static_cast<std::size_t>(std::max(0, call.body_bytes));
    const TimePoint due = MonotonicNow() + std::chrono::milliseconds(call.latency_target_ms);
    server_.inbound_.Call(key, std::move(call), std::move(body),
                          std::make_shared<LinkReplySink>(link_, due), may_be_forgotten);
    if (!server_.inbound_.IsAwaitingBody(key)) {
      return;
    }
    const auto& ingress = server_.vm_link_.ingress;
    if (!ingress) {
      RequestBody(call_id, body_bytes);
      return;
    }
    body_transfers_[ingress->Add(weak_from_this(), body_bytes, due)] = {call_id, body_bytes};
  }

  void RequestBody(int64_t call_id, std::size_t bytes) {
    wire::LinkMessage message;
    message.__isset.body_request = true;
    message.body_request.call_id = call_id;
    message.body_request.bytes = static_cast<int32_t>(bytes);
    link_->Send(message);
  }

  void OnHello(const wire::LinkHello& hello) {
    name_ = hello.node.name;
    data_centre_ = hello.node.data_centre;
    link_->set_remote(is_remote());
    key_prefix_ = name_ + "/" + std::to_string(hello.incarnation) + "/";
    link_number_ = hello.link_number;
    next_call_id_ = hello.next_call_id;
    server_.links_of_processes_[key_prefix_].push_back(this);
    wire::LinkMessage message;
    message.__isset.hello = true;
    message.hello = server_.hooks_.make_hello(hello.wants_nodes);
    link_->Send(message);
    server_.hooks_.on_node(hello.node, hello.incarnation);
  }

  void OnProbe(const wire::LinkProbe& probe) {
    wire::LinkMessage message;
    message.__isset.probe = true;
    message.probe.answer = true;
    message.probe.nonce = probe.nonce;
    message.probe.config_version = server_.hooks_.config_version();
    message.probe.store_fails = server_.hooks_.store_unreachable();
    server_.hooks_.complete_probe_reply(message.probe);
    link_->Send(message);
    server_.hooks_.on_peer_version(name_, data_centre_, probe.config_version);
  }

  void OnConfigRequest(const wire::LinkConfigRequest& request) {
    if (server_.hooks_.config_version() <= request.have) {
      return;
    }
    wire::LinkMessage message;
    message.__isset.config = true;
    message.config = *server_.hooks_.full_config();
    link_->Send(message);
  }

  std::string MakeCallKey(int64_t call_id) const { return key_prefix_ + std::to_string(call_id); }

  LinkServer& server_;
  LinkPtr link_;
  std::string name_;
  std::string data_centre_;
  std::string key_prefix_;
  int64_t link_number_ = 0;
  /// Calls with a lower id were sent on earlier links before.
  int64_t next_call_id_ = 0;
  /// A message has come after the handshake.
  bool in_use_ = false;
  bool gets_keepalives_ = false;
  /// By the id of the transfer that the ingress pacer returned.
  std::map<int64_t, BodyTransfer> body_transfers_;
};

LinkServer::LinkServer(InboundProxy& inbound,
                       LinkServerHooks hooks,
                       std::string data_centre,
                       VmLink vm_link,
                       Random random)
    : inbound_(inbound),
      hooks_(std::move(hooks)),
      data_centre_(std::move(data_centre)),
      vm_link_(std::move(vm_link)),
      random_(random),
      history_(inbound.id_retention(), kProcessLifetime) {}

LinkServer::~LinkServer() {
  for (const auto& [key, session] : sessions_) {
    session->Close();
  }
}

void LinkServer::Accept(TcpSocket socket) {
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  sessions_.emplace(session.get(), session);
  session->Start();
}

void LinkServer::Remove(Session& session) {
  if (const auto found = links_of_processes_.find(session.process());
      found != links_of_processes_.end()) {
    std::erase(found->second, &session);
    if (found->second.empty()) {
      links_of_processes_.erase(found);
    }
  }
  sessions_.erase(&session);
}

void LinkServer::OnInUse(const Session& session) {
  if (!IsFaultActive(Fault::kKeepEarlierLinks)) {
    CloseEarlierLinks(session);
  }
  history_.OnLink(MonotonicNow(), session.process(), session.next_call_id());
}

void LinkServer::CloseEarlierLinks(const Session& session) {
  // Links are in the order of their handshakes.
  std::vector<Session*>& links = links_of_processes_.at(session.process());
  const auto newest = std::ranges::find(links, &session);
  for (auto link = links.begin(); link != newest; ++link) {
    LogEvent("link_superseded")
        .Add("peer", (*link)->name())
        .Add("link", (*link)->link_number())
        .Add("newer_link", session.link_number());
    (*link)->Close();
    sessions_.erase(*link);
  }
  links.erase(links.begin(), newest);
}

int LinkServer::CountLocalLinks() const {
  return static_cast<int>(std::ranges::count_if(sessions_, [](const auto& entry) {
    return entry.second->HasHandshake() && !entry.second->is_remote();
  }));
}

void LinkServer::PushStatus(const wire::TargetStatus& status, const std::string& data_centre) {
  wire::LinkMessage message;
  message.__isset.status = true;
  message.status = status;
  Push(message, data_centre);
}

void LinkServer::Push(const wire::LinkMessage& message, const std::string& data_centre) {
  for (const auto& [key, session] : sessions_) {
    if (session->HasHandshake() && (data_centre.empty() || session->data_centre() == data_centre)) {
      session->Send(message);
    }
  }
}

void LinkServer::SelectKeepaliveReceivers(bool remote) {
  std::size_t receivers = 0;
  std::vector<Session*> others;
  for (const auto& [key, session] : sessions_) {
    if (!session->HasHandshake() || session->is_remote() != remote) {
      continue;
    }
    if (session->gets_keepalives()) {
      ++receivers;
    } else {
      others.push_back(key);
    }
  }
  while (receivers < kKeepaliveReceivers && !others.empty()) {
    const std::size_t index = random_.NextBelow(others.size());
    others[index]->StartKeepalives();
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
    ++receivers;
  }
}

void LinkServer::Tick(TimePoint now) {
  if (now >= next_expiry_) {
    next_expiry_ = now + kExpiryInterval;
    history_.Expire(
        now, [this](const std::string& process) { return links_of_processes_.contains(process); });
  }
  SelectKeepaliveReceivers(false);
  SelectKeepaliveReceivers(true);
  for (const auto& [key, session] : sessions_) {
    if (session->gets_keepalives() && now - session->last_sent() >= kKeepaliveInterval) {
      session->Send({});
    }
  }
}

void LinkServer::PushConfig(const wire::LinkConfig& change, const std::string& data_centre) {
  wire::LinkMessage message;
  message.__isset.config = true;
  message.config = change;
  Push(message, data_centre);
}

}  // namespace limpet::edge
