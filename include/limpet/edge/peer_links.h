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
#include "limpet/edge/link.h"

namespace limpet::edge {

/// How a call over a link ended without a reply.
enum class LinkFailure {
  kNotSent,  // nothing was handed over
  kLost,     // the node may have run it
};

/// Events of the links that this node opened.
class PeerLinksObserver {
 public:
  virtual ~PeerLinksObserver() = default;
  virtual void OnPeerStatus(const wire::NodeAddress& node, const wire::TargetStatus& status) = 0;
  virtual void OnPeerReachable(const std::string& node, bool reachable) = 0;
  /// The node shows no sign of life although calls wait for it.
  virtual void OnPeerUnresponsive(const std::string& node) = 0;
  /// The node answered a probe or has just been reached.
  virtual void OnPeerVersion(const wire::NodeAddress& node,
                             int64_t version,
                             bool store_unreachable) = 0;
  virtual void OnPeerConfig(const std::string& node, const wire::LinkConfig& change) = 0;
  virtual void OnPeerAddresses(const std::vector<wire::NodeAddress>& nodes) = 0;
};

struct PeerLinksOptions {
  wire::NodeAddress self;
  /// Identifies this process start.
  int64_t incarnation = 0;
};

/// The links from this node to the nodes beside targets: one each, opened when the node becomes
/// known and opened again when it breaks. Calls survive a broken link if the same process of the
/// peer is reached again in time: they are sent again under their old key and the peer runs none
/// of them twice.
class PeerLinks {
 public:
  /// Events of one call. Exactly one of `on_reply` and `on_failure` comes, unless `Cancel` comes
  /// first.
  struct CallHandlers {
    std::function<void(wire::LinkReply, std::string body)> on_reply;
    std::function<void(LinkFailure)> on_failure;
    /// The target has answered; its large response is on its way.
    std::function<void()> on_transfer;
  };

  PeerLinks(const Executor& executor,
            PeerLinksOptions options,
            PeerLinksObserver& observer,
            Counters& counters,
            Random random);
  ~PeerLinks();

  /// Keeps a link to this node from now on.
  void Add(const wire::NodeAddress& node);
  /// The handlers are called later. Returns the id of the call.
  int64_t Call(const std::string& node,
               wire::LinkCall call,
               std::string body,
               CallHandlers handlers);
  void Cancel(const std::string& node, int64_t call_id);
  void RequestConfig(const std::string& node, int64_t have);
  /// Asks a node for a sign of life and its configuration version.
  void Probe(const std::string& node, int64_t config_version);
  void ProbeRandomPeers(int count, int64_t config_version);
  /// Looks for silent links; called every 100 ms or so.
  void Tick();

  /// At most `count` random reachable nodes.
  std::vector<wire::NodeAddress> SampleNodes(int count);
  int CountReachable() const;
  /// True while an attempt to reach a known node for the first time is under way.
  bool IsConnecting() const;

 private:
  struct OpenCall {
    wire::LinkCall call;
    std::string body;
    CallHandlers handlers;
  };
  struct Peer {
    wire::NodeAddress address;
    std::shared_ptr<TcpSocket> connecting;
    LinkPtr link;
    bool ready = false;
    bool tried = false;
    int64_t incarnation = 0;
    Duration backoff{0};
    std::unique_ptr<Timer> retry_timer;
    TimePoint lost_at{};
    TimePoint probed_at{};
    std::map<int64_t, OpenCall> calls;
  };

  void Connect(const std::string& name);
  void OnConnected(const std::string& name,
                   const std::shared_ptr<TcpSocket>& socket,
                   ErrorCode error);
  void ConnectLater(const std::string& name);
  void OnMessage(const std::string& name, wire::LinkMessage message, std::string body);
  void OnHello(Peer& peer, const wire::LinkHello& hello);
  void OnReply(Peer& peer, wire::LinkReply reply, std::string body);
  void OnTransfer(const std::string& name, int64_t call_id);
  void OnClosed(const std::string& name, ErrorCode error);
  void LoseCalls(Peer& peer, bool idempotent_only);
  void SendCall(Peer& peer, const OpenCall& call);
  std::vector<Peer*> DrawReady(int count);
  void CheckResponsiveness(const std::string& name, Peer& peer, TimePoint now);

  Executor executor_;
  PeerLinksOptions options_;
  PeerLinksObserver& observer_;
  Counters& counters_;
  Random random_;
  std::map<std::string, Peer> peers_;
  int64_t next_call_id_ = 1;
  /// Guards callbacks of timers and sockets that end after this object.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_PEER_LINKS_H_
