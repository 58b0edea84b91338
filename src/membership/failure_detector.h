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

/// Probes the members of the own data centre, directly and through others, and declares those that
/// do not answer suspect and later dead.
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
  /// A ping sent for another member, which is told about the ack.
  struct Errand {
    int64_t nonce = 0;
    PeerAddress requester;
    TimePoint deadline;
  };

  void StartProbe(TimePoint now, ControlOutput& output);
  void ContinueProbe(TimePoint now, ControlOutput& output);
  void SendIndirect(ControlOutput& output);
  void Suspect(TimePoint now, const std::string& name, ControlOutput& output);
  void DeclareDead(TimePoint now, ControlOutput& output);

  NodeState& state_;
  ProbeScheduler scheduler_;
  std::optional<Probe> probe_;
  std::map<int64_t, Errand> errands_;
  /// Members that this node was the one to suspect.
  std::set<std::string> own_suspicions_;
  TimePoint next_probe_;
  TimePoint last_tick_;
};

}  // namespace limpet

#endif  // LIMPET_MEMBERSHIP_FAILURE_DETECTOR_H_
