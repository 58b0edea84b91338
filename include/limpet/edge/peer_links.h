#ifndef LIMPET_EDGE_PEER_LINKS_H_
#define LIMPET_EDGE_PEER_LINKS_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "limpet/core/counters.h"
#include "limpet/core/random.h"
#include "limpet/edge/inbound_proxy.h"
#include "limpet/edge/link.h"

namespace limpet::edge {

/// Why a call over a link ended without a reply.
enum class LinkFailure {
  kNotSent,  // nothing was sent to the node
  kLost,     // the node may have run the call
};

/// Events of the links that this node opened.
class PeerLinksObserver {
 public:
  virtual ~PeerLinksObserver() = default;
  virtual void OnPeerStatus(const wire::NodeAddress& node, const wire::TargetStatus& status) = 0;
  virtual void OnPeerReachable(const std::string& node, bool reachable) = 0;
  /// Nothing was received from the node within the limit. Called on each tick until the node sends
  /// something or its link is closed.
  virtual void OnPeerUnresponsive(const std::string& node) = 0;
  /// The node replied to a probe or completed the handshake.
  virtual void OnPeerVersion(const wire::NodeAddress& node,
                             int64_t version,
                             bool store_unreachable) = 0;
  virtual void OnPeerConfig(const std::string& node, const wire::LinkConfig& change) = 0;
  virtual void OnPeerAddresses(const std::vector<wire::NodeAddress>& nodes) = 0;
  /// A probe is about to be sent to the node. Returns the nonce, which the reply repeats.
  virtual int64_t OnProbe(const std::string& /*node*/) { return 0; }
  virtual void OnProbeReply(const std::string& /*node*/, const wire::LinkProbe& /*reply*/) {}
};

struct PeerLinksOptions {
  wire::NodeAddress self;
  /// Random id of this process start.
  int64_t incarnation = 0;
  VmLink vm_link;
};

/// A request body, shared by the attempts of its request.
using SharedBody = std::shared_ptr<const std::string>;

/// The links that this node opens to other nodes: one each, opened when the node becomes known and
/// reopened when it is lost. Pending calls survive a lost link if the same process of the peer is
/// reached again in time: they are sent again with the same key, and the peer runs each of them
/// only once.
class PeerLinks {
 public:
  /// Exactly one of `on_reply` and `on_failure` is called, unless `Cancel` is called first.
  struct CallHandlers {
    std::function<void(wire::LinkReply, std::string body)> on_reply;
    std::function<void(LinkFailure)> on_failure;
    /// The target has responded and the transfer of its large response has started.
    std::function<void()> on_transfer;
  };

  PeerLinks(const Executor& executor,
            PeerLinksOptions options,
            PeerLinksObserver& observer,
            Counters& counters,
            Random random);
  ~PeerLinks();

  /// Whether handshakes ask for the addresses of other nodes; true at first.
  void set_wants_nodes(bool wants_nodes) { wants_nodes_ = wants_nodes; }
  /// Opens a link to this node and keeps it open.
  void Add(const wire::NodeAddress& node);
  /// A process of this node with this id is running. Replaces a link to an earlier process, on
  /// which calls would be lost.
  void OnIncarnation(const std::string& node, int64_t incarnation);
  /// Another node reports that it receives nothing from `node`. Checks the own link with a probe.
  void OnSilenceReport(const std::string& node);
  /// Sends a call. The handlers are never called from within `Call`. Returns the id of the call.
  int64_t Call(const std::string& node,
               wire::LinkCall call,
               SharedBody body,
               CallHandlers handlers);
  void Cancel(const std::string& node, int64_t call_id);
  /// Ends a call if it has not been sent to the target yet. It then gets a reply with the outcome
  /// `kNotRun`; otherwise it goes on. Does nothing if the node is not reachable.
  void Withdraw(const std::string& node, int64_t call_id);
  void RequestConfig(const std::string& node, int64_t have);
  /// Sends a message that needs no reply on its link. Returns false if the node is not reachable.
  bool Send(const std::string& node, const wire::LinkMessage& message);
  /// Sends a message to all reachable nodes of a data centre; to all if `data_centre` is empty.
  void Broadcast(const wire::LinkMessage& message, const std::string& data_centre);
  /// Asks a node for its configuration version; the reply also shows that it responds.
  void Probe(const std::string& node, int64_t config_version);
  void ProbeRandomPeers(int count, int64_t config_version);
  /// Detects unresponsive peers and ends calls whose peer stays disconnected. Call it about every
  /// 100 ms.
  void Tick();

  /// Returns up to `count` random reachable nodes.
  std::vector<wire::NodeAddress> SampleNodes(int count);
  /// Returns all nodes that were added, whether they are reachable or not.
  std::vector<wire::NodeAddress> KnownNodes() const;
  int CountReachable() const;
  /// Number of nodes that were added, whether they are reachable or not.
  int CountKnown() const { return static_cast<int>(peers_.size()); }
  /// True while the first connection attempt to any known node has not finished.
  bool IsConnecting() const;

 private:
  struct PendingCall {
    wire::LinkCall call;
    SharedBody body;
    CallHandlers handlers;
    /// Bytes of `body` that were sent because the peer asked for them.
    std::size_t body_sent = 0;
    /// Number of links on which the call was sent.
    int copies = 0;
  };
  struct Peer {
    wire::NodeAddress address;
    std::shared_ptr<TcpSocket> connecting;
    LinkPtr link;
    int64_t link_number = 0;
    bool ready = false;
    bool connect_attempted = false;
    int64_t incarnation = 0;
    /// Large request bodies are sent when the peer asks for them, otherwise with their call.
    bool requests_body_parts = false;
    /// The peer can withdraw a call; an earlier version would cancel it without a reply.
    bool withdraws_calls = false;
    /// A refusal by the peer holds for all copies of a call. An earlier version may still run one
    /// that was sent on an earlier link.
    bool drops_earlier_links = false;
    Duration backoff{0};
    std::unique_ptr<Timer> retry_timer;
    TimePoint lost_at{};
    TimePoint handshake_sent_at{};
    TimePoint probed_at{};
    /// Time since which a message from the peer is expected: its first pending call was sent, or it
    /// promised keepalives.
    TimePoint expecting_since{};
    /// The peer has promised to send keepalives on this link.
    bool sends_keepalives = false;
    /// Maximum time without a message from a peer that sends keepalives.
    Duration keepalive_limit{0};
    /// The silence of the peer was reported to or by other nodes since its last message.
    bool silence_reported = false;
    std::map<int64_t, PendingCall> calls;
  };

  void Connect(const std::string& name);
  void OnConnected(const std::string& name,
                   const std::shared_ptr<TcpSocket>& socket,
                   ErrorCode error);
  void ScheduleReconnect(const std::string& name);
  void OnMessage(const std::string& name, wire::LinkMessage message, std::string body);
  void OnHello(Peer& peer, const wire::LinkHello& hello);
  void OnReply(Peer& peer, wire::LinkReply reply, std::string body);
  /// Whether the peer may still run a copy of the call that it has refused.
  static bool MayRunAfterRefusal(const Peer& peer, const PendingCall& call);
  void OnTransfer(const std::string& name, int64_t call_id);
  void OnBodyRequest(Peer& peer, const wire::LinkBodyRequest& request);
  void OnClosed(const std::string& name, ErrorCode error);
  void FailCalls(Peer& peer, bool idempotent_only);
  void SendCall(Peer& peer, PendingCall& call);
  std::vector<Peer*> SampleReadyPeers(int count);
  void CheckHandshake(const std::string& name, Peer& peer, TimePoint now);
  void CheckResponsiveness(const std::string& name, Peer& peer, TimePoint now);
  void SendProbe(Peer& peer);
  /// Reports the peer to the observer and, if it is the first to notice, to all other nodes.
  void OnUnresponsive(const std::string& name, Peer& peer);

  Executor executor_;
  PeerLinksOptions options_;
  PeerLinksObserver& observer_;
  Counters& counters_;
  Random random_;
  std::map<std::string, Peer> peers_;
  int64_t next_call_id_ = 1;
  int64_t last_link_number_ = 0;
  bool wants_nodes_ = true;
  /// False after destruction; callbacks of timers and sockets that run later check it.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_PEER_LINKS_H_
