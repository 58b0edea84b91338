#ifndef LIMPET_MEMBERSHIP_NODE_STATE_H_
#define LIMPET_MEMBERSHIP_NODE_STATE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "limpet/membership/membership.h"
#include "membership/data_centre_status.h"
#include "membership/gossip_queue.h"
#include "membership/member_table.h"

namespace limpet {

/// How a record reached this node.
enum class UpdateSource {
  kLocal,     // the own failure detector
  kGossip,    // gossip, a relayed update or a join request
  kExchange,  // anti-entropy, a ping or an ack
  kJoin,      // a join reply
};

/// Tables of one node that the systems of the membership protocol share.
class NodeState {
 public:
  NodeState(MembershipOptions node_options, Random random_source, Counters& counters);

  void Send(const PeerAddress& to, wire::Message message, ControlOutput& output);
  void SendPing(const wire::MemberRecord& to, int64_t nonce, ControlOutput& output);
  void SendDigest(const PeerAddress& to, ControlOutput& output);
  /// Sends a record at once to the gateways of the own data centre.
  void SendToGateways(const wire::MemberRecord& record, ControlOutput& output);

  /// Merges a record and queues it for dissemination if it is news. A record that supersedes the
  /// local one is refuted. Returns true if it was news.
  bool MergeRecord(TimePoint now,
                   const wire::MemberRecord& record,
                   UpdateSource source,
                   ControlOutput& output);
  void LearnStatus(const wire::DataCentreStatus& status);
  void SetStatus(std::string_view data_centre, bool is_reachable);
  /// Applies a changed local record and announces it.
  void AnnounceLocal(TimePoint now, ControlOutput& output);

  bool IsGateway() const;
  bool IsLocalDataCentre(const wire::MemberRecord& record) const;
  /// Live members of the own data centre, with this node.
  const std::vector<const Member*>& Peers() const;
  /// Alternates between the gateways of another data centre; null if it has none.
  const Member* NextGateway(const std::string& data_centre);
  /// Reachable data centres other than the own one.
  std::vector<std::string> ReachableDataCentres() const;
  /// Bytes that updates may take in one datagram.
  int UpdateBudget() const;
  int64_t NextNonce() { return next_nonce_++; }

  void RecordVersion(const wire::Envelope& envelope, int64_t version, bool ready);

  const MembershipOptions options;
  Random random;
  MemberTable table;
  DataCentreStatusTable statuses;
  /// Updates for members of the own data centre.
  GossipQueue gossip;
  GossipQueue status_gossip;
  /// Updates about the own data centre for the gateways of others.
  GossipQueue relay;
  wire::MemberRecord local;
  int64_t version = 0;
  bool is_ready = false;
  /// False until the whole table has been received or nobody was there to send it.
  bool is_table_complete = false;
  std::map<std::string, ReportedVersion> reported_versions;

 private:
  void Refute(TimePoint now, const wire::MemberRecord& record, ControlOutput& output);
  void Queue(const wire::MemberRecord& record);

  int64_t next_nonce_;
  std::map<std::string, uint64_t, std::less<>> gateway_turns_;
  Counter& messages_sent_;
  Counter& bytes_sent_;
  Counter& refutations_;
};

wire::Message GossipOf(const wire::MemberRecord& record);
PeerAddress AddressOf(const wire::MemberRecord& record);
PeerAddress SenderOf(const wire::Envelope& envelope);

}  // namespace limpet

#endif  // LIMPET_MEMBERSHIP_NODE_STATE_H_
