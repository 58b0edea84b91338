#ifndef LIMPET_MEMBERSHIP_GATEWAY_MONITOR_H_
#define LIMPET_MEMBERSHIP_GATEWAY_MONITOR_H_

#include <map>
#include <string>

#include "membership/node_state.h"

namespace limpet {

/// On a gateway, watches the gateways of the other data centres and announces each data centre as
/// a unit unreachable or reachable. Idle on other nodes.
class GatewayMonitor {
 public:
  explicit GatewayMonitor(NodeState& state) : state_(state) {}

  void Tick(TimePoint now, ControlOutput& output);
  /// Any message from a member of another data centre shows that the data centre is reachable.
  void OnContact(TimePoint now, const wire::Envelope& envelope, ControlOutput& output);

 private:
  struct Link {
    TimePoint last_contact;
    TimePoint last_ping;
    TimePoint next_digest;
    bool is_lost = false;
    /// When the loss was last announced.
    TimePoint announced;
  };

  void Watch(TimePoint now, const std::string& data_centre, Link& link, ControlOutput& output);
  void SendPings(const std::string& data_centre, Duration silence, ControlOutput& output);
  Link MakeLink(TimePoint now);

  NodeState& state_;
  std::map<std::string, Link, std::less<>> links_;
};

}  // namespace limpet

#endif  // LIMPET_MEMBERSHIP_GATEWAY_MONITOR_H_
