#ifndef LIMPET_CONTROL_CONTROL_PLANE_H_
#define LIMPET_CONTROL_CONTROL_PLANE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "limpet/config/snapshot.h"
#include "limpet/control/control_output.h"
#include "limpet/core/counters.h"
#include "limpet/core/random.h"
#include "limpet/core/time.h"
#include "limpet/distribution/config_distributor.h"
#include "limpet/membership/endpoint_view.h"
#include "limpet_types.h"

namespace limpet {

/// Identity of a node, addresses of the peers that it joins through, and options of its control
/// plane.
struct ControlOptions {
  std::string name;
  std::string data_centre;
  std::string service;
  std::string host;
  /// UDP port for datagrams and TCP port of the Thrift peer service.
  int port = 0;
  /// Identifies this process start. A later start of a node with the same name should have a higher
  /// value.
  int64_t incarnation = 0;
  std::vector<PeerAddress> seeds;
  bool log_configured = true;
  DistributionMode distribution = DistributionMode::kTree;
};

/// The control state of one node. Performs no I/O: a driver passes in the time, messages and
/// results of log requests, and sends the messages and log requests that each call returns.
/// Malformed or hostile messages and log responses are ignored and counted. Not thread-safe.
class ControlPlane {
 public:
  ControlPlane(ControlOptions options, Random random, Counters& counters);
  ~ControlPlane();
  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;

  /// Joins the mesh through the seeds. Must be called once, before all other functions.
  ControlOutput Start(TimePoint now);
  /// Runs everything that depends on time. The driver calls it every 50 ms.
  ControlOutput Tick(TimePoint now);
  ControlOutput OnMessage(TimePoint now, const wire::Envelope& envelope);
  ControlOutput OnLogResult(TimePoint now, const LogResult& result);
  /// Announces the state of this node's target to the other nodes.
  ControlOutput SetTargetState(TimePoint now, wire::TargetState::type state);
  /// Announces that this node leaves.
  ControlOutput Leave(TimePoint now);

  /// Becomes true once this node has at least the highest version that reachable peers or the log
  /// had reported. Stays true from then on.
  bool IsReady() const;
  /// Never null; version 0 before the first configuration arrives.
  ConfigSnapshotPtr snapshot() const;
  /// Never null.
  EndpointViewPtr endpoints() const;
  std::vector<wire::MemberRecord> Members() const;
  /// Set while a version newer than the one in effect has failed validation on this node.
  std::optional<ConfigRefusal> refusal() const;
  /// True while this node reads the log on behalf of its data centre.
  bool IsReader() const;
  /// Names of the leases that this node holds according to the part of the log that it has read.
  std::vector<std::string> HeldLeases() const;
  /// Is higher than the option's value if an earlier start of this node had a higher one.
  int64_t incarnation() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limpet

#endif  // LIMPET_CONTROL_CONTROL_PLANE_H_
