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

/// What a node knows about itself and its neighbours when it starts.
struct ControlOptions {
  std::string name;
  std::string data_centre;
  std::string service;
  std::string host;
  /// UDP port of datagrams and TCP port of the Thrift peer service.
  int port = 0;
  /// Identifies this process start; later starts of the same name should have higher values.
  int64_t incarnation = 0;
  std::vector<PeerAddress> seeds;
  bool log_configured = true;
  DistributionMode distribution = DistributionMode::kTree;
};

/// The control state of one node behind one step function. Free of I/O: a driver supplies time,
/// messages and results of log requests, and carries out the output. A malformed or hostile message
/// or log answer is ignored and counted. Not safe for concurrent use.
class ControlPlane {
 public:
  ControlPlane(ControlOptions options, Random random, Counters& counters);
  ~ControlPlane();
  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;

  /// Joins through the seeds. Called once, before anything else.
  ControlOutput Start(TimePoint now);
  /// Runs all systems over the tables; called every 50 ms.
  ControlOutput Tick(TimePoint now);
  ControlOutput OnMessage(TimePoint now, const wire::Envelope& envelope);
  ControlOutput OnLogResult(TimePoint now, const LogResult& result);
  /// Announces the state of this node's target.
  ControlOutput SetTargetState(TimePoint now, wire::TargetState::type state);
  /// Announces that this node leaves.
  ControlOutput Leave(TimePoint now);

  /// True when this node holds at least the highest version that reachable peers or the log had.
  /// Stays true from then on.
  bool IsReady() const;
  /// Never null; version 0 before the first configuration arrives.
  ConfigSnapshotPtr snapshot() const;
  /// Never null.
  EndpointViewPtr endpoints() const;
  std::vector<wire::MemberRecord> Members() const;
  /// Set while a version newer than the one in effect did not validate here.
  std::optional<ConfigRefusal> refusal() const;
  /// True while this node polls the log for its data centre.
  bool IsReader() const;
  /// Names of the leases that this node holds, according to the log as it has read it.
  std::vector<std::string> HeldLeases() const;
  /// May exceed the option's value, if an earlier start of this name had a higher one.
  int64_t incarnation() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limpet

#endif  // LIMPET_CONTROL_CONTROL_PLANE_H_
