#ifndef LIMPET_MEMBERSHIP_GATEWAY_MONITOR_H_
#define LIMPET_MEMBERSHIP_GATEWAY_MONITOR_H_

#include <map>
#include <string>

#include "membership/node_state.h"

namespace limpet {

/// On a gateway, monitors the other data centres and announces each one as a whole as reachable or
/// unreachable. Does nothing on other nodes.
class GatewayMonitor {
 public:
  explicit GatewayMonitor(NodeState& state) : state_(state) {}

  void Tick(TimePoint now, ControlOutput& output);
  /// Any message from a member of another data centre shows that this data centre is reachable.
  void OnMessage(TimePoint now, const wire::Envelope& envelope, ControlOutput& output);

 private:
  struct RemoteDataCentre {
    TimePoint last_contact;
    TimePoint last_ping;
    TimePoint next_digest;
    bool is_unreachable = false;
    /// When the data centre was last announced as unreachable.
    TimePoint announced_at;
  };

  void CheckDataCentre(TimePoint now,
                       const std::string& data_centre,
                       RemoteDataCentre& remote,
                       ControlOutput& output);
  void SendPings(const std::string& data_centre,
                 Duration time_since_contact,
                 ControlOutput& output);
  RemoteDataCentre MakeRemoteDataCentre(TimePoint now);

  NodeState& state_;
  std::map<std::string, RemoteDataCentre, std::less<>> remotes_;
};

}  // namespace limpet

#endif  // LIMPET_MEMBERSHIP_GATEWAY_MONITOR_H_
