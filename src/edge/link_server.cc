#include "limpet/edge/link_server.h"

#include <utility>
#include <vector>

#include "limpet/net/clock.h"

namespace limpet::edge {

namespace {

/// Less than half of the time after which a peer without pending calls counts as unresponsive.
constexpr Duration kKeepaliveInterval = std::chrono::milliseconds(400);

}  // namespace

/// A link that was accepted from another node.
class LinkServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(LinkServer& server, TcpSocket socket)
      : server_(server), link_(std::make_shared<Link>(std::move(socket), server.pacer_)) {}

  void Start() {
    link_->Start({[self = weak_from_this()](wire::LinkMessage message, std::string body) {
                    if (const auto session = self.lock()) {
                      session->OnMessage(std::move(message), std::move(body));
                    }
                  },
                  [self = weak_from_this()](ErrorCode) {
                    if (const auto session = self.lock()) {
                      session->server_.sessions_.erase(session.get());
                    }
                  },
                  nullptr});
  }
  void Send(const wire::LinkMessage& message, std::string body = {}) {
    link_->Send(message, std::move(body));
  }
  TimePoint last_sent() const { return link_->last_sent(); }
  const std::string& data_centre() const { return data_centre_; }
  bool HasHandshake() const { return !key_prefix_.empty(); }
  void Close() { link_->Close(); }

 private:
  class LinkReplySink final : public ReplySink {
   public:
    /// `due` is the latency target of the call, by which the response should be sent.
    LinkReplySink(std::weak_ptr<Link> link, TimePoint due) : link_(std::move(link)), due_(due) {}
    bool IsOpen() const override {
      const auto link = link_.lock();
      return link && !link->closed();
    }
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
    if (message.__isset.hello) {
      OnHello(message.hello);
    }
    if (!HasHandshake()) {
      return;
    }
    if (message.__isset.call) {
      const std::string key = MakeCallKey(message.call.call_id);
      const TimePoint due =
          MonotonicNow() + std::chrono::milliseconds(message.call.latency_target_ms);
      server_.inbound_.Call(key, std::move(message.call), std::move(body),
                            std::make_shared<LinkReplySink>(link_, due));
    }
    if (message.__isset.cancel) {
      server_.inbound_.Cancel(MakeCallKey(message.cancel.call_id));
      link_->DropReply(message.cancel.call_id);
    }
    if (message.__isset.probe) {
      OnProbe(message.probe);
    }
    if (message.__isset.config_request) {
      OnConfigRequest(message.config_request);
    }
  }

  void OnHello(const wire::LinkHello& hello) {
    name_ = hello.node.name;
    data_centre_ = hello.node.data_centre;
    key_prefix_ = name_ + "/" + std::to_string(hello.incarnation) + "/";
    wire::LinkMessage message;
    message.__isset.hello = true;
    message.hello = server_.hooks_.make_hello();
    link_->Send(message);
    server_.hooks_.on_node(hello.node);
  }

  void OnProbe(const wire::LinkProbe& probe) {
    wire::LinkMessage message;
    message.__isset.probe = true;
    message.probe.answer = true;
    message.probe.config_version = server_.hooks_.config_version();
    message.probe.store_fails = server_.hooks_.store_unreachable();
    link_->Send(message);
    server_.hooks_.on_peer_version(name_, probe.config_version);
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
};

LinkServer::LinkServer(InboundProxy& inbound,
                       LinkServerHooks hooks,
                       std::shared_ptr<EgressPacer> pacer)
    : inbound_(inbound), hooks_(std::move(hooks)), pacer_(std::move(pacer)) {}

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

void LinkServer::Tick(TimePoint now) {
  for (const auto& [key, session] : sessions_) {
    if (session->HasHandshake() && now - session->last_sent() >= kKeepaliveInterval) {
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
