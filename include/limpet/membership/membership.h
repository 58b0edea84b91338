#ifndef LIMPET_MEMBERSHIP_MEMBERSHIP_H_
#define LIMPET_MEMBERSHIP_MEMBERSHIP_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "limpet/control/control_output.h"
#include "limpet/core/counters.h"
#include "limpet/core/random.h"
#include "limpet/core/time.h"
#include "limpet/membership/endpoint_view.h"
#include "limpet_types.h"

namespace limpet {

/// Identity of a node and the timings of the membership protocol.
struct MembershipOptions {
  std::string name;
  std::string data_centre;
  std::string service;
  std::string host;
  int port = 0;
  /// Identifies this process start; later starts of the same name should have higher values.
  int64_t incarnation = 0;
  std::vector<PeerAddress> seeds;

  Duration probe_interval = std::chrono::seconds(1);
  /// Without an ack for this long the probe continues through `indirect_probes` other members.
  Duration ack_timeout = std::chrono::milliseconds(300);
  /// Without an ack for this long after the probe began the member becomes suspect.
  Duration probe_timeout = std::chrono::seconds(1);
  int indirect_probes = 3;
  /// A member that stays suspect for this long is declared dead.
  Duration suspicion_timeout = std::chrono::seconds(4);

  Duration gossip_interval = std::chrono::milliseconds(200);
  int gossip_fanout = 3;
  /// An update is sent this many times ceil(log2(n + 1)) by each member of a data centre of n.
  int retransmit_factor = 3;
  int max_datagram_bytes = 1200;
  Duration anti_entropy_interval = std::chrono::seconds(10);

  Duration gateway_probe_interval = std::chrono::seconds(1);
  /// Without an answer from any of its gateways for this long a data centre is unreachable.
  Duration data_centre_timeout = std::chrono::seconds(5);

  Duration join_backoff_min = std::chrono::milliseconds(100);
  Duration join_backoff_max = std::chrono::seconds(5);
  /// Without an answer from any seed for this long the node starts alone.
  Duration join_timeout = std::chrono::seconds(2);
  /// Full tables sent to joining members in one second; further requests get a short list of
  /// other members to ask.
  int full_join_replies_per_second = 4;

  /// Records of dead and left members are kept for this long, so that an old update which is
  /// still in transit is recognised as old. Must far exceed the time that gossip takes.
  Duration tombstone_lifetime = std::chrono::minutes(10);
};

/// A configuration version that a ping, an ack or a join reply carried.
struct ReportedVersion {
  std::string name;
  PeerAddress address;
  int64_t version = 0;
  /// Unset if the message did not say.
  std::optional<bool> ready;
};

/// Envelope with the sender fields of the local record.
wire::Envelope MakeEnvelope(const wire::MemberRecord& local, wire::Message message);

/// Membership of one node: member table, failure detection, dissemination, join and leave. Free of
/// I/O: a driver supplies time and messages and sends the output. Not safe for concurrent use.
class Membership {
 public:
  Membership(MembershipOptions options, Random random, Counters& counters);
  ~Membership();
  Membership(Membership&&) noexcept;
  Membership& operator=(Membership&&) noexcept;

  /// Joins through the seeds. Called once, before anything else.
  void Start(TimePoint now, ControlOutput& output);
  /// Called every 50 ms.
  void Tick(TimePoint now, ControlOutput& output);
  /// Returns true if the envelope held a membership message.
  bool OnMessage(TimePoint now, const wire::Envelope& envelope, ControlOutput& output);

  /// Announces the state of this node's target to all members.
  void SetTargetState(TimePoint now, wire::TargetState::type state, ControlOutput& output);
  /// Announces that this node leaves. From then on it only answers: others send it no updates, so
  /// its view of them gets stale.
  void Leave(TimePoint now, ControlOutput& output);

  /// The configuration version and readiness that pings, acks and join replies carry.
  void set_version(int64_t version);
  void set_ready(bool ready);
  /// Versions heard since the last call, at most one for each member.
  std::vector<ReportedVersion> TakeReportedVersions();

  /// All known members, also dead and left ones and this node, sorted by name.
  std::vector<wire::MemberRecord> Members() const;
  /// Null for an unknown member; valid until the next non-const call.
  const wire::MemberRecord* Find(std::string_view name) const;
  const wire::MemberRecord& local() const;
  /// Never null; the same object until a callable endpoint changes.
  EndpointViewPtr endpoints() const;

  /// Alive and suspect members of this node's data centre and this node unless it has left, sorted
  /// by name; valid until the next non-const call.
  const std::vector<wire::MemberRecord>& LiveInDataCentre() const;
  /// The `count` live members of a data centre with the highest rendezvous hash, highest first.
  std::vector<wire::MemberRecord> TopByRendezvous(int count, std::string_view data_centre) const;
  /// The members that exchange updates with other data centres.
  std::vector<wire::MemberRecord> Gateways(std::string_view data_centre) const;
  /// The members that poll the log.
  std::vector<wire::MemberRecord> Readers(std::string_view data_centre) const;
  /// Names of all data centres with a known member, sorted.
  std::vector<std::string> DataCentres() const;
  /// False for a data centre none of whose gateways answer.
  bool IsDataCentreReachable(std::string_view data_centre) const;

  /// True once a peer answered or no seed answered in time.
  bool joined() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limpet

#endif  // LIMPET_MEMBERSHIP_MEMBERSHIP_H_
