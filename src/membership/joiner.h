#ifndef LIMPET_MEMBERSHIP_JOINER_H_
#define LIMPET_MEMBERSHIP_JOINER_H_

#include <map>
#include <string>
#include <vector>

#include "membership/node_state.h"

namespace limpet {

/// Joins through the seeds, again whenever this node knows no other live member, and answers the
/// join requests of others.
class Joiner {
 public:
  explicit Joiner(NodeState& state) : state_(state) {}

  void Start(TimePoint now, ControlOutput& output);
  void Tick(TimePoint now, ControlOutput& output);
  void OnRequest(TimePoint now, const wire::Envelope& envelope, ControlOutput& output);
  void OnReply(TimePoint now, const wire::Envelope& envelope, ControlOutput& output);

  bool has_joined() const { return has_joined_; }

 private:
  bool IsJoinWanted() const;
  void SendRequest(TimePoint now, ControlOutput& output);
  /// A member known from a partial reply or a seed.
  PeerAddress PickPeer();
  bool TakeFullReply(TimePoint now, const std::string& joining_member);
  std::vector<wire::MemberRecord> FullTable(TimePoint now) const;
  std::vector<wire::MemberRecord> ShortList(const wire::MemberRecord& joining_member);
  void PingSome(ControlOutput& output);

  NodeState& state_;
  std::vector<PeerAddress> seeds_;
  std::size_t next_seed_ = 0;
  Duration backoff_{0};
  TimePoint started_;
  TimePoint next_attempt_;
  bool has_joined_ = false;
  /// Full replies of the current second by member.
  std::map<std::string, TimePoint> full_replies_;
};

}  // namespace limpet

#endif  // LIMPET_MEMBERSHIP_JOINER_H_
