#ifndef LIMPET_MEMBERSHIP_FAILURE_DETECTOR_H_
#define LIMPET_MEMBERSHIP_FAILURE_DETECTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "membership/node_state.h"
#include "membership/probe_scheduler.h"

namespace limpet {

/// Probes the members of the local data centre, directly and through other members. Declares a
/// member that does not reply suspect and later dead.
class FailureDetector {
 public:
  explicit FailureDetector(NodeState& state) : state_(state) {}

  void Start(TimePoint now);
  void Tick(TimePoint now, ControlOutput& output);
  void OnPing(const wire::Envelope& envelope, ControlOutput& output);
  void OnAck(const wire::Envelope& envelope, ControlOutput& output);
  void OnPingRequest(TimePoint now, const wire::Envelope& envelope, ControlOutput& output);

 private:
  struct Probe {
    std::string name;
    int64_t nonce = 0;
    TimePoint started;
    bool is_indirect = false;
  };
  /// A ping sent on behalf of another member, the requester, which gets an ack in return.
  struct RelayedPing {
    int64_t nonce = 0;
    PeerAddress requester;
    TimePoint deadline;
  };

  void StartProbe(TimePoint now, ControlOutput& output);
  void ContinueProbe(TimePoint now, ControlOutput& output);
  void SendPingRequests(ControlOutput& output);
  void Suspect(TimePoint now, const std::string& name, ControlOutput& output);
  void DeclareDead(TimePoint now, ControlOutput& output);

  NodeState& state_;
  ProbeScheduler scheduler_;
  std::optional<Probe> probe_;
  std::map<int64_t, RelayedPing> relayed_pings_;
  /// Members that became suspect because a probe of this node failed.
  std::set<std::string> local_suspicions_;
  TimePoint next_probe_;
  TimePoint last_tick_;
};

}  // namespace limpet

#endif  // LIMPET_MEMBERSHIP_FAILURE_DETECTOR_H_
