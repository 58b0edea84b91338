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
  kLocal,     // failure detector of this node
  kGossip,    // gossip, a relayed update or a join request
  kExchange,  // anti-entropy, a ping or an ack
  kJoin,      // a join reply
};

/// State of one node that the components of the membership protocol share.
class NodeState {
 public:
  NodeState(MembershipOptions node_options, Random random_source, Counters& counters);

  void Send(const PeerAddress& to, wire::Message message, ControlOutput& output);
  void SendPing(const wire::MemberRecord& to, int64_t nonce, ControlOutput& output);
  void SendDigest(const PeerAddress& to, ControlOutput& output);
  /// Sends a record immediately to the gateways of the local data centre.
  void SendToGateways(const wire::MemberRecord& record, ControlOutput& output);

  /// Merges a record into the table and queues it for dissemination unless other members already
  /// have it. Refutes a record of this node that supersedes the local one. Returns true if the
  /// table changed.
  bool MergeRecord(TimePoint now,
                   const wire::MemberRecord& record,
                   UpdateSource source,
                   ControlOutput& output);
  void MergeStatus(const wire::DataCentreStatus& status);
  void SetStatus(std::string_view data_centre, bool is_reachable);
  /// Stores the changed local record in the table and announces it.
  void AnnounceLocal(TimePoint now, ControlOutput& output);

  bool IsGateway() const;
  bool IsInLocalDataCentre(const wire::MemberRecord& record) const;
  /// Live members of the local data centre including this node.
  const std::vector<const Member*>& LiveLocalMembers() const;
  /// Returns the gateways of another data centre in turn; null if it has none.
  const Member* NextGateway(const std::string& data_centre);
  /// Reachable data centres other than the local one.
  std::vector<std::string> ReachableDataCentres() const;
  /// Bytes available for updates in one datagram.
  int MaxUpdateBytes() const;
  int64_t NextNonce() { return next_nonce_++; }

  void RecordVersion(const wire::Envelope& envelope, int64_t version, bool ready);

  const MembershipOptions options;
  Random random;
  MemberTable table;
  DataCentreStatusTable statuses;
  /// Updates for members of the local data centre.
  GossipQueue gossip;
  GossipQueue status_gossip;
  /// Updates about the local data centre for the gateways of the others.
  GossipQueue relay;
  wire::MemberRecord local;
  int64_t version = 0;
  bool is_ready = false;
  /// False until the full table has been received or the node has stopped waiting for it.
  bool is_table_complete = false;
  std::map<std::string, ReportedVersion> reported_versions;

 private:
  void Refute(TimePoint now, const wire::MemberRecord& record, ControlOutput& output);
  void Enqueue(const wire::MemberRecord& record);

  int64_t next_nonce_;
  std::map<std::string, uint64_t, std::less<>> next_gateway_indexes_;
  Counter& messages_sent_;
  Counter& bytes_sent_;
  Counter& refutations_;
};

wire::Message MakeGossip(const wire::MemberRecord& record);
PeerAddress MemberAddress(const wire::MemberRecord& record);
PeerAddress SenderAddress(const wire::Envelope& envelope);

}  // namespace limpet

#endif  // LIMPET_MEMBERSHIP_NODE_STATE_H_
