#ifndef LIMPET_EDGE_LINK_SERVER_H_
#define LIMPET_EDGE_LINK_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "limpet/core/random.h"
#include "limpet/edge/inbound_proxy.h"
#include "limpet/edge/link.h"
#include "limpet/traffic/call_history.h"

namespace limpet::edge {

/// Functions through which the link server reads and updates the state of its node.
struct LinkServerHooks {
  /// Makes the response to the handshake of a peer.
  std::function<wire::LinkHello(bool with_nodes)> make_hello;
  /// Called when another node has opened a link, with the address and the process id of that node.
  std::function<void(const wire::NodeAddress&, int64_t incarnation)> on_node;
  /// A peer receives nothing from this node.
  std::function<void(const std::string& node)> on_silence;
  std::function<void(const std::string& node, const std::string& data_centre, int64_t version)>
      on_peer_version;
  std::function<int64_t()> config_version;
  /// Longest time for which a message that is read now may have waited.
  std::function<Duration()> max_input_age;
  std::function<bool()> store_unreachable;
  /// Adds the freshness proof of this node to the reply to a probe.
  std::function<void(wire::LinkProbe&)> complete_probe_reply = [](wire::LinkProbe&) {};
  /// Receives the messages of a peer that belong to other parts of the node: shared state, quotas
  /// and roll-outs. Replies are sent with `PeerLinks::Send`.
  std::function<void(const std::string& node, const wire::LinkMessage& message)> on_message;
  /// The complete current configuration; no value if there is none.
  std::function<std::optional<wire::LinkConfig>()> full_config;
};

/// Serves the links that other nodes opened to this one: passes their calls to the local target and
/// pushes target status and configuration changes to them.
///
/// A process opens its links to this node one after the other, and sends its pending calls again on
/// each. Bytes that were held up on the way arrive on a link although its process has closed it and
/// opened another. What this node answers on the newer link must stay true, above all a refusal, so
/// nothing that arrives later on an earlier link counts: the first message after the handshake of a
/// link closes all links of its process whose handshakes came before. The handshakes of two links
/// that carry messages come in the order of the links, because a process sends no message on a link
/// before the handshake was answered, and opens no other link before it has closed this one. A
/// handshake alone closes nothing: it may come late, on a link that was given up before the answer.
class LinkServer {
 public:
  LinkServer(InboundProxy& inbound,
             LinkServerHooks hooks,
             std::string data_centre,
             VmLink vm_link,
             Random random);
  ~LinkServer();

  void Accept(TcpSocket socket);
  /// Sends the status to the linked nodes of one data centre; to all if `data_centre` is empty.
  void PushStatus(const wire::TargetStatus& status, const std::string& data_centre);
  /// Sends keepalives on the idle links of a few nodes, which report the failure of this node to
  /// the others. Call it about every 50 ms.
  void Tick(TimePoint now);
  /// Sends a change of the configuration to the linked nodes of one data centre.
  void PushConfig(const wire::LinkConfig& change, const std::string& data_centre);
  /// Number of linked nodes in the data centre of this node.
  int CountLocalLinks() const;

 private:
  class Session;

  void Remove(Session& session);
  /// The first message after the handshake has come on this link.
  void OnInUse(const Session& session);
  /// Closes the links that the process of `session` opened before this one.
  void CloseEarlierLinks(const Session& session);
  void Push(const wire::LinkMessage& message, const std::string& data_centre);
  /// Selects linked nodes that get keepalives until there are enough in this data centre
  /// (`remote` is false) or in the others.
  void SelectKeepaliveReceivers(bool remote);

  InboundProxy& inbound_;
  LinkServerHooks hooks_;
  std::string data_centre_;
  VmLink vm_link_;
  Random random_;
  CallHistory history_;
  std::map<Session*, std::shared_ptr<Session>> sessions_;
  /// Links of each calling process, in the order of their handshakes.
  std::unordered_map<std::string, std::vector<Session*>> links_of_processes_;
  TimePoint next_expiry_{};
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_LINK_SERVER_H_
