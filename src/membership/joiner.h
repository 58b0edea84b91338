#ifndef LIMPET_MEMBERSHIP_JOINER_H_
#define LIMPET_MEMBERSHIP_JOINER_H_

#include <map>
#include <string>
#include <vector>

#include "membership/node_state.h"

namespace limpet {

/// Joins through the seeds, and again whenever this node knows no other live member. Replies to the
/// join requests of other members.
class Joiner {
 public:
  explicit Joiner(NodeState& state) : state_(state) {}

  void Start(TimePoint now, ControlOutput& output);
  void Tick(TimePoint now, ControlOutput& output);
  void OnRequest(TimePoint now, const wire::Envelope& envelope, ControlOutput& output);
  void OnReply(TimePoint now, const wire::Envelope& envelope, ControlOutput& output);

  bool has_joined() const { return has_joined_; }

 private:
  bool ShouldJoin() const;
  void SendRequest(TimePoint now, ControlOutput& output);
  /// Returns the address of a live member, for example from a partial reply, or of a seed.
  PeerAddress SelectJoinAddress();
  /// Returns false if the limit for the current second is reached or the member got a full reply in
  /// this second already.
  bool TryReserveFullReply(TimePoint now, const std::string& joining_member);
  std::vector<wire::MemberRecord> MakeFullTable(TimePoint now) const;
  std::vector<wire::MemberRecord> MakePartialTable(const wire::MemberRecord& joining_member);
  void PingRandomPeers(ControlOutput& output);

  NodeState& state_;
  std::vector<PeerAddress> seeds_;
  std::size_t next_seed_ = 0;
  Duration backoff_{0};
  TimePoint started_;
  TimePoint next_attempt_;
  bool has_joined_ = false;
  /// Times of the full replies sent within the last second, by member.
  std::map<std::string, TimePoint> full_replies_;
};

}  // namespace limpet

#endif  // LIMPET_MEMBERSHIP_JOINER_H_
