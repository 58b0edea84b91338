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
  /// Identifies this process start. Should be higher for each later start under the same name.
  int64_t incarnation = 0;
  std::vector<PeerAddress> seeds;

  Duration probe_interval = std::chrono::seconds(1);
  /// If no ack arrives within this time, `indirect_probes` other members are asked to ping too.
  Duration ack_timeout = std::chrono::milliseconds(300);
  /// If no ack arrives within this time after the start of the probe, the member becomes suspect.
  Duration probe_timeout = std::chrono::seconds(1);
  int indirect_probes = 3;
  /// A member that stays suspect for this long is declared dead.
  Duration suspicion_timeout = std::chrono::seconds(4);

  Duration gossip_interval = std::chrono::milliseconds(200);
  int gossip_fanout = 3;
  /// Each member of a data centre with n members sends an update
  /// `retransmit_factor` * ceil(log2(n + 1)) times.
  int retransmit_factor = 3;
  int max_datagram_bytes = 1200;
  Duration anti_entropy_interval = std::chrono::seconds(10);

  Duration gateway_probe_interval = std::chrono::seconds(1);
  /// A data centre from which no message arrives for this long is declared unreachable.
  Duration data_centre_timeout = std::chrono::seconds(5);

  Duration join_backoff_min = std::chrono::milliseconds(100);
  Duration join_backoff_max = std::chrono::seconds(5);
  /// If no seed replies within this time, the node starts alone.
  Duration join_timeout = std::chrono::seconds(2);
  /// Maximum number of full tables sent to joining members in one second. Further requests get a
  /// partial reply with a few members to ask instead.
  int full_join_replies_per_second = 4;

  /// Records of dead and left members are kept for this long, so that an old update that is still
  /// in transit is recognised as old. Must far exceed the time that gossip takes to reach all
  /// members.
  Duration tombstone_lifetime = std::chrono::minutes(10);
};

/// Configuration version of a peer, as received in a ping, an ack or a join reply.
struct ReportedVersion {
  std::string name;
  PeerAddress address;
  int64_t version = 0;
  /// Unset if the message did not carry the readiness.
  std::optional<bool> ready;
};

/// Wraps a message in an envelope with the sender fields of the local record.
wire::Envelope MakeEnvelope(const wire::MemberRecord& local, wire::Message message);

/// Membership protocol of one node: member table, failure detection, dissemination, join and leave.
/// Does no I/O: the owner passes in the time and the received messages and sends the output. Not
/// thread-safe.
class Membership {
 public:
  Membership(MembershipOptions options, Random random, Counters& counters);
  ~Membership();
  Membership(Membership&&) noexcept;
  Membership& operator=(Membership&&) noexcept;

  /// Joins through the seeds. Must be called once, before all other functions.
  void Start(TimePoint now, ControlOutput& output);
  /// Must be called every 50 ms.
  void Tick(TimePoint now, ControlOutput& output);
  /// Returns true if the envelope held a membership message.
  bool OnMessage(TimePoint now, const wire::Envelope& envelope, ControlOutput& output);

  /// Announces the state of this node's target to all members.
  void SetTargetState(TimePoint now, wire::TargetState::type state, ControlOutput& output);
  /// Announces that this node leaves. Afterwards it only replies to messages. Peers no longer send
  /// it updates, so its member table becomes outdated.
  void Leave(TimePoint now, ControlOutput& output);

  /// Set the configuration version and readiness that pings, acks and join replies carry.
  void set_version(int64_t version);
  void set_ready(bool ready);
  /// Returns the versions received since the last call, for each member only the latest.
  std::vector<ReportedVersion> TakeReportedVersions();

  /// All known members including dead and left ones and this node, sorted by name.
  std::vector<wire::MemberRecord> Members() const;
  /// Null for an unknown member; valid until the next non-const call.
  const wire::MemberRecord* Find(std::string_view name) const;
  const wire::MemberRecord& local() const;
  /// Never null. Returns the same object until a callable endpoint changes.
  EndpointViewPtr endpoints() const;

  /// Alive and suspect members of this node's data centre, sorted by name. Includes this node
  /// unless it has left. Valid until the next non-const call.
  const std::vector<wire::MemberRecord>& LiveInDataCentre() const;
  /// The `count` live members of a data centre with the highest rendezvous hash, highest first.
  std::vector<wire::MemberRecord> TopByRendezvous(int count, std::string_view data_centre) const;
  /// The members of a data centre that exchange updates with other data centres.
  std::vector<wire::MemberRecord> Gateways(std::string_view data_centre) const;
  /// The members of a data centre that poll the configuration log.
  std::vector<wire::MemberRecord> Readers(std::string_view data_centre) const;
  /// Names of all data centres with a known member, sorted.
  std::vector<std::string> DataCentres() const;
  /// False if the data centre was announced as unreachable; true if nothing was announced.
  bool IsDataCentreReachable(std::string_view data_centre) const;

  /// True once a peer has replied, no seed has replied within `join_timeout`, or if there are no
  /// seeds.
  bool joined() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace limpet

#endif  // LIMPET_MEMBERSHIP_MEMBERSHIP_H_
