#ifndef LIMPET_EDGE_LINK_SERVER_H_
#define LIMPET_EDGE_LINK_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "limpet/edge/inbound_proxy.h"
#include "limpet/edge/link.h"

namespace limpet::edge {

/// What the server side of links needs from its node.
struct LinkServerHooks {
  /// The answer to a peer's hello.
  std::function<wire::LinkHello()> make_hello;
  /// Another node has opened a link, so it is known from now on.
  std::function<void(const wire::NodeAddress&)> on_node;
  std::function<void(const std::string& node, int64_t version)> on_peer_version;
  std::function<int64_t()> config_version;
  std::function<bool()> store_unreachable;
  /// The whole configuration in effect; nothing if there is none.
  std::function<std::optional<wire::LinkConfig>()> full_config;
};

/// The links that other nodes opened to this one: takes their calls to the target beside this node
/// and pushes status and configuration versions to them.
class LinkServer {
 public:
  /// `pacer` may be null.
  LinkServer(InboundProxy& inbound, LinkServerHooks hooks, std::shared_ptr<EgressPacer> pacer);
  ~LinkServer();

  void Accept(TcpSocket socket);
  /// To the linked nodes of one data centre, or to all if it is empty.
  void PushStatus(const wire::TargetStatus& status, const std::string& data_centre);
  /// Sends a sign of life on links that have been quiet; called every 50 ms or so.
  void Tick(TimePoint now);
  /// Sends a change of the configuration to the linked nodes of one data centre.
  void PushConfig(const wire::LinkConfig& change, const std::string& data_centre);
  int CountLinks() const { return static_cast<int>(sessions_.size()); }

 private:
  class Session;

  void Push(const wire::LinkMessage& message, const std::string& data_centre);

  InboundProxy& inbound_;
  LinkServerHooks hooks_;
  std::shared_ptr<EgressPacer> pacer_;
  std::map<Session*, std::shared_ptr<Session>> sessions_;
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_LINK_SERVER_H_
