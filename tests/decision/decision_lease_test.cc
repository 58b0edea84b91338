#include "limpet/decision/decision_lease.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "decision/group_model.h"
#include "limpet/core/random.h"

namespace limpet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kPartitions = 32;
const TimePoint kStart = TimePoint{} + std::chrono::hours(1);

DecisionLeaseOptions MakeOptions(const std::string& self) {
  DecisionLeaseOptions options;
  options.self = self;
  options.partitions = kPartitions;
  return options;
}

/// Joins with an immediate reply.
void Join(DecisionLease& lease, GroupModel& store, TimePoint now) {
  lease.OnJoinReply(now, now, store.Join(now, lease.OnJoinSent(now)));
}

/// Exchanges the claims and announcements of each node with the others, at once and without losses.
void ExchangeClaims(TimePoint now, const std::map<std::string, DecisionLease*>& nodes) {
  for (const auto& [name, lease] : nodes) {
    const auto claim = lease->TakeClaim(now);
    if (!claim) {
      continue;
    }
    for (const auto& [other_name, other] : nodes) {
      if (other != lease) {
        lease->OnClaimReply(now, other_name, other->OnClaim(now, name, *claim));
      }
    }
  }
  for (const auto& [name, lease] : nodes) {
    for (const int partition : lease->HeldPartitions(now)) {
      for (const auto& [other_name, other] : nodes) {
        other->OnHolderAnnounced(partition, name, *lease->Token(now, partition));
      }
    }
  }
}

struct Pair {
  GroupModel store{kPartitions};
  DecisionLease a{MakeOptions("a")};
  DecisionLease b{MakeOptions("b")};

  void Exchange(TimePoint now) { ExchangeClaims(now, {{"a", &a}, {"b", &b}}); }
  /// Both join until the partitions are distributed evenly.
  TimePoint Distribute(TimePoint now) {
    for (int i = 0; i < 8; ++i) {
      now += milliseconds(500);
      Join(a, store, now);
      Join(b, store, now);
      Exchange(now);
    }
    REQUIRE(a.HeldPartitions(now).size() == kPartitions / 2);
    REQUIRE(b.HeldPartitions(now).size() == kPartitions / 2);
    return now;
  }
};

TEST_CASE_FIXTURE(Pair, "the first member decides after the start delay, until its lease ends") {
  Join(a, store, kStart);
  CHECK_FALSE(a.Holds(kStart + milliseconds(999), 0));
  CHECK(a.Holds(kStart + milliseconds(1000), 0));
  CHECK(a.Token(kStart + milliseconds(1000), 0) == 1);
  CHECK(a.Holds(kStart + milliseconds(2799), 0));
  CHECK_FALSE(a.Holds(kStart + milliseconds(2800), 0));
  CHECK_FALSE(a.Token(kStart + milliseconds(2800), 0));
}

// Guards against two holders when the store reassigns a partition without any request: the earlier
// holder does not know it, and goes on until its lease ends by its own clock.
TEST_CASE_FIXTURE(Pair, "a reassigned partition has no second holder before the first has ended") {
  TimePoint now = Distribute(kStart);
  const int moved = a.HeldPartitions(now).front();
  store.ReassignAll();
  // The store refuses a, and b gets no reply from it.
  for (const TimePoint end = now + milliseconds(2800); now < end; now += milliseconds(100)) {
    CHECK(a.Holds(now, moved));
    if (b.IsJoinDue(now)) {
      Join(b, store, now);
    }
    CHECK_FALSE(b.Holds(now, moved));
  }
  CHECK_FALSE(a.Holds(now, moved));
  for (int i = 0; i < 13; ++i) {
    now += milliseconds(100);
    if (b.IsJoinDue(now)) {
      Join(b, store, now);
    }
  }
  CHECK(b.Holds(now, moved));
}

// Guards against seconds without a holder at each reassignment although all members are reachable.
TEST_CASE_FIXTURE(Pair, "a holder ends at the claim of its successor, which then decides at once") {
  const TimePoint now = Distribute(kStart);
  const int moved = a.HeldPartitions(now).front();
  const int64_t earlier = *a.Token(now, moved);
  store.ReassignAll();
  Join(b, store, now);
  CHECK_FALSE(b.Holds(now, moved));
  Exchange(now);
  CHECK_FALSE(a.Holds(now, moved));
  CHECK(b.Holds(now, moved));
  CHECK(*b.Token(now, moved) > earlier);
  CHECK(b.HeldSince(now, moved) == now);
}

// As before, with a second reassignment that the first successor did not learn of.
TEST_CASE("a successor decides at once also if it is not the first one") {
  GroupModel store(32);
  std::map<std::string, std::unique_ptr<DecisionLease>> leases;
  std::map<std::string, DecisionLease*> nodes;
  for (const char* name : {"a", "b", "c"}) {
    DecisionLeaseOptions options = MakeOptions(name);
    options.partitions = 32;
    leases[name] = std::make_unique<DecisionLease>(options);
    nodes[name] = leases[name].get();
  }
  TimePoint now = kStart;
  for (int i = 0; i < 10; ++i) {
    now += milliseconds(500);
    for (const auto& [name, lease] : nodes) {
      Join(*lease, store, now);
    }
    ExchangeClaims(now, nodes);
  }
  const int moved = nodes["a"]->HeldPartitions(now).front();
  store.ReassignAll();
  store.ReassignAll();
  Join(*nodes["b"], store, now);
  Join(*nodes["c"], store, now);
  ExchangeClaims(now, nodes);
  CHECK_FALSE(nodes["a"]->Holds(now, moved));
  const bool has_successor = nodes["b"]->Holds(now, moved) || nodes["c"]->Holds(now, moved);
  CHECK(has_successor);
}

// Guards against a claim under an earlier assignment that ends the present holder.
TEST_CASE_FIXTURE(Pair, "a claim with a lower token is refused") {
  const TimePoint now = Distribute(kStart);
  const int held = a.HeldPartitions(now).front();
  wire::PartitionClaim claim;
  claim.token = *a.Token(now, held) - 1;
  claim.partitions = {held};
  CHECK(a.OnClaim(now, "b", claim).refused == std::vector<int>{held});
  CHECK(a.Holds(now, held));
}

// Guards against a late reply of the store that gives a partition back after another member claimed
// it under a higher token.
TEST_CASE_FIXTURE(Pair,
                  "a partition claimed by another member is not taken from an earlier reply") {
  const TimePoint now = Distribute(kStart);
  const int moved = a.HeldPartitions(now).front();
  const GroupAssignment late = store.Join(now, a.OnJoinSent(now));
  store.ReassignAll();
  Join(b, store, now);
  Exchange(now);
  REQUIRE(b.Holds(now, moved));
  a.OnJoinReply(now + milliseconds(10), now, late);
  CHECK_FALSE(a.Holds(now + milliseconds(10), moved));
}

// A planned stop: the store gives the partitions to others, and the leaving member tells that it
// has ended them.
TEST_CASE_FIXTURE(Pair, "the successor of a member that left decides at once") {
  const TimePoint now = Distribute(kStart);
  const std::vector<int> held = a.HeldPartitions(now);
  a.Release(now);
  store.Leave(now, "a");
  Join(b, store, now);
  Exchange(now);
  CHECK(b.HeldPartitions(now).size() == kPartitions);
}

TEST_CASE_FIXTURE(Pair, "the lease counts from the sending of the join, not from its reply") {
  const GroupAssignment reply = store.Join(kStart, a.OnJoinSent(kStart));
  a.OnJoinReply(kStart + milliseconds(1500), kStart, reply);
  CHECK(a.Holds(kStart + milliseconds(2799), 0));
  CHECK_FALSE(a.Holds(kStart + milliseconds(2800), 0));
}

// Guards against a process that was paused, and decides on with a lease that ended meanwhile.
TEST_CASE_FIXTURE(Pair, "a lease that lapsed starts again with the start delay") {
  Join(a, store, kStart);
  Join(a, store, kStart + seconds(1));
  const TimePoint resumed = kStart + seconds(20);
  CHECK_FALSE(a.Holds(resumed, 0));
  Join(a, store, resumed);
  CHECK_FALSE(a.Holds(resumed + milliseconds(999), 0));
  CHECK(a.HeldSince(resumed + milliseconds(1000), 0) == resumed + milliseconds(1000));
}

TEST_CASE_FIXTURE(Pair,
                  "a partition passes on only after its holder has seen that it is not listed") {
  Join(a, store, kStart);
  const TimePoint later = kStart + seconds(2);
  Join(b, store, later);
  Exchange(later);
  CHECK(b.HeldPartitions(later + milliseconds(1500)).empty());
  Join(a, store, later);
  CHECK(a.HeldPartitions(later).size() == kPartitions / 2);
  Join(a, store, later + seconds(1));
  Join(b, store, later + seconds(1));
  CHECK(b.HeldPartitions(later + seconds(1)).empty());
  Exchange(later + seconds(1));
  CHECK(b.HeldPartitions(later + seconds(1)).size() == kPartitions / 2);
}

TEST_CASE_FIXTURE(Pair, "a late reply to an earlier join is ignored") {
  Join(a, store, kStart);
  const TimePoint sent = kStart + seconds(1);
  const GroupAssignment stale = store.Join(sent, a.OnJoinSent(sent));
  a.OnJoinFailed(sent + milliseconds(300));
  store.Join(sent, {"b", 0, seconds(3)});
  const TimePoint next = sent + milliseconds(500);
  Join(a, store, next);
  const auto held = a.HeldPartitions(next + milliseconds(600));
  a.OnJoinReply(next + milliseconds(600), sent, stale);
  CHECK(a.HeldPartitions(next + milliseconds(600)) == held);
}

TEST_CASE_FIXTURE(Pair,
                  "a released lease holds nothing and ignores replies that are on their way") {
  Join(a, store, kStart);
  const TimePoint later = kStart + seconds(2);
  const GroupAssignment reply = store.Join(later, a.OnJoinSent(later));
  a.Release(later);
  a.OnJoinReply(later, later, reply);
  CHECK(a.HeldPartitions(later + milliseconds(1500)).empty());
}

// Guards against two holders after a restore: the copy lists a partition for its earlier holder.
TEST_CASE("after a restore a listed partition is not used before other leases have ended") {
  GroupModel store(kPartitions, 4);
  DecisionLease a(MakeOptions("a"));
  DecisionLease b(MakeOptions("b"));
  TimePoint now = kStart;
  Join(a, store, now);
  const GroupModel copy = store;
  for (int i = 0; i < 8; ++i) {
    now += seconds(1);
    Join(a, store, now);
    Join(b, store, now);
    ExchangeClaims(now, {{"a", &a}, {"b", &b}});
  }
  const std::vector<int> held = b.HeldPartitions(now);
  REQUIRE(held.size() == kPartitions / 2);
  store.RestoreFrom(copy);
  for (int i = 0; i < 28; ++i) {
    now += milliseconds(100);
    if (a.IsJoinDue(now)) {
      Join(a, store, now);
    }
    CHECK((!b.Holds(now, held[0]) || !a.Holds(now, held[0])));
  }
  for (int i = 0; i < 35; ++i) {
    now += milliseconds(100);
    if (a.IsJoinDue(now)) {
      Join(a, store, now);
    }
  }
  CHECK(a.Holds(now, held[0]));
}

// Guards against seconds without a holder whenever a node becomes a member: it cannot know by
// itself that the store was not restored just before.
TEST_CASE("a new member decides at once if another one has known the epoch for the TTL") {
  GroupModel store(kPartitions, 4);
  DecisionLease a(MakeOptions("a"));
  DecisionLease b(MakeOptions("b"));
  TimePoint now = kStart;
  const auto exchange = [&] { ExchangeClaims(now, {{"a", &a}, {"b", &b}}); };
  for (int i = 0; i < 5; ++i) {
    now += seconds(1);
    Join(a, store, now);
  }
  REQUIRE(a.HeldPartitions(now).size() == kPartitions);
  exchange();
  Join(b, store, now);
  Join(a, store, now);
  Join(a, store, now);
  now += milliseconds(500);
  Join(b, store, now);
  exchange();
  CHECK(b.HeldPartitions(now).empty());
  exchange();
  CHECK(b.HeldPartitions(now).size() == kPartitions / 2);
}

TEST_CASE_FIXTURE(Pair, "the membership of a node without answered joins expires") {
  Join(a, store, kStart);
  CHECK_FALSE(a.HasMembershipExpired(kStart + milliseconds(2999)));
  CHECK(a.HasMembershipExpired(kStart + milliseconds(3050)));
}

TEST_CASE("the token rises with the epoch although generations repeat") {
  GroupModel store(kPartitions, 4);
  DecisionLease a(MakeOptions("a"));
  Join(a, store, kStart);
  CHECK_FALSE(a.Holds(kStart + milliseconds(2700), 0));
  Join(a, store, kStart + seconds(2));
  CHECK(a.Token(kStart + seconds(4), 0) == 4 * (int64_t{1} << 40) + 1);
}

TEST_CASE_FIXTURE(Pair, "the holder is the announced node with the highest token") {
  CHECK(a.HolderOf(kStart, 3).empty());
  a.OnHolderAnnounced(3, "b", 7);
  a.OnHolderAnnounced(3, "c", 6);
  CHECK(a.HolderOf(kStart, 3) == "b");
  Join(a, store, kStart);
  CHECK(a.HolderOf(kStart + seconds(1), 3) == "a");
  CHECK(a.HolderOf(kStart + seconds(3), 3) == "b");
}

/// Nodes, a store and messages between them that are lost, repeated and late, in virtual time.
class LeaseWorld {
 public:
  LeaseWorld(uint64_t seed, std::optional<int64_t> epoch)
      : random_(seed), store_(kPartitions, epoch) {
    for (const char* name : {"a", "b", "c", "d"}) {
      Node& node = nodes_.emplace_back();
      node.name = name;
      node.lease = std::make_unique<DecisionLease>(MakeOptions(name));
    }
  }

  /// Runs for this time. Returns the number of instants at which a partition had two holders.
  int Run(Duration duration) {
    int conflicts = 0;
    for (const TimePoint end = now_ + duration; now_ < end; now_ += milliseconds(10)) {
      DeliverDue();
      DeliverToPeers();
      for (Node& node : nodes_) {
        Step(node);
      }
      StepStore();
      conflicts += CountConflicts();
    }
    return conflicts;
  }
  int held_instants() const { return held_instants_; }

 private:
  struct Node {
    std::string name;
    std::unique_ptr<DecisionLease> lease;
    /// The process is paused until then.
    TimePoint paused_until{};
    /// Number of restarts; replies to an earlier process are dropped.
    int process = 0;
    /// The store refuses this node, or the node reaches no other one, until then.
    TimePoint no_store_until{};
    TimePoint no_peers_until{};
    std::map<int, int64_t> announced;
    /// Last token that this node told the others.
    int64_t told = 0;
  };
  struct Message {
    TimePoint due{};
    std::size_t node = 0;
    int process = 0;
    TimePoint sent_at{};
    GroupJoin join;
    /// Set for a reply.
    std::optional<GroupAssignment> reply;
    bool failed = false;
  };
  /// A message between two nodes.
  struct PeerMessage {
    TimePoint due{};
    std::size_t from = 0;
    std::size_t to = 0;
    /// Processes of both ends: a link does not outlive them.
    int from_process = 0;
    int to_process = 0;
    std::optional<wire::PartitionClaim> claim;
    std::optional<wire::PartitionClaimReply> reply;
    /// Partition and token of an announcement; the partition is -1 in other messages.
    int announced = -1;
    int64_t token = 0;
    bool asks_for_join = false;
  };

  bool Chance(double probability) { return random_.NextFraction() < probability; }
  Duration Delay() {
    return Chance(0.1) ? Duration(milliseconds(random_.NextBelow(1500)))
                       : Duration(milliseconds(random_.NextBelow(20)));
  }
  std::size_t IndexOf(const Node& node) const {
    return static_cast<std::size_t>(&node - nodes_.data());
  }
  bool AreLinked(std::size_t a, std::size_t b) const {
    return now_ >= nodes_[a].no_peers_until && now_ >= nodes_[b].no_peers_until;
  }
  void SendToPeer(std::size_t from, std::size_t to, PeerMessage message) {
    message.from = from;
    message.to = to;
    message.from_process = nodes_[from].process;
    message.to_process = nodes_[to].process;
    message.due = now_ + Delay();
    if (from != to && AreLinked(from, to) && !Chance(0.05)) {
      peer_messages_.push_back(std::move(message));
    }
  }
  void Broadcast(std::size_t from, const PeerMessage& message) {
    for (std::size_t to = 0; to < nodes_.size(); ++to) {
      SendToPeer(from, to, message);
    }
  }
  /// Sends claims and announcements.
  void Talk(Node& node) {
    const std::size_t from = IndexOf(node);
    if (const auto claim = node.lease->TakeClaim(now_)) {
      const std::vector<std::string> receivers = node.lease->ClaimReceivers(now_);
      for (std::size_t to = 0; to < nodes_.size(); ++to) {
        if (std::ranges::find(receivers, nodes_[to].name) != receivers.end()) {
          PeerMessage message;
          message.claim = claim;
          SendToPeer(from, to, message);
        }
      }
    }
    if (node.lease->member_token() != std::exchange(node.told, node.lease->member_token())) {
      PeerMessage message;
      message.asks_for_join = true;
      Broadcast(from, message);
    }
    std::map<int, int64_t> held;
    for (const int partition : node.lease->HeldPartitions(now_)) {
      held[partition] = *node.lease->Token(now_, partition);
    }
    if (held != std::exchange(node.announced, held)) {
      for (const auto& [partition, token] : held) {
        PeerMessage message;
        message.announced = partition;
        message.token = token;
        Broadcast(from, message);
      }
    }
  }
  void DeliverToPeers() {
    std::vector<PeerMessage> due;
    std::erase_if(peer_messages_, [&](const PeerMessage& message) {
      const bool ready = message.due <= now_ && nodes_[message.to].paused_until <= now_;
      if (ready) {
        due.push_back(message);
      }
      return ready;
    });
    for (const PeerMessage& message : due) {
      Node& node = nodes_[message.to];
      const Node& sender = nodes_[message.from];
      if (node.process != message.to_process || sender.process != message.from_process) {
        continue;
      }
      if (message.claim) {
        PeerMessage reply;
        reply.reply = node.lease->OnClaim(now_, sender.name, *message.claim);
        SendToPeer(message.to, message.from, reply);
      } else if (message.reply) {
        node.lease->OnClaimReply(now_, sender.name, *message.reply);
      } else if (message.asks_for_join) {
        node.lease->RequestJoin(now_);
      } else {
        node.lease->OnHolderAnnounced(message.announced, sender.name, message.token);
      }
    }
  }
  void Step(Node& node) {
    if (now_ < node.paused_until) {
      return;
    }
    if (Chance(0.0003)) {
      node.no_store_until = now_ + milliseconds(random_.NextBelow(6000));
    }
    if (Chance(0.0002)) {
      node.no_peers_until = now_ + milliseconds(random_.NextBelow(6000));
    }
    Talk(node);
    if (Chance(0.0005)) {
      node.paused_until = now_ + milliseconds(random_.NextBelow(8000));
      return;
    }
    if (Chance(0.0002)) {
      node.lease = std::make_unique<DecisionLease>(MakeOptions(node.name));
      node.announced.clear();
      ++node.process;
    }
    if (Chance(0.0002)) {
      node.lease->Release(now_);
      store_.Leave(now_, node.name);
    }
    if (!node.lease->IsJoinDue(now_)) {
      return;
    }
    Message message;
    message.node = static_cast<std::size_t>(&node - nodes_.data());
    message.process = node.process;
    message.sent_at = now_;
    message.join = node.lease->OnJoinSent(now_);
    // A request that is not answered is repeated, and both may be executed.
    const int copies = Chance(0.1) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      message.due = now_ + Delay();
      if (!Chance(0.1) && now_ >= node.no_store_until) {
        messages_.push_back(message);
      }
    }
    Message failure = message;
    failure.due = now_ + seconds(2);
    failure.failed = true;
    messages_.push_back(failure);
  }
  void StepStore() {
    if (Chance(0.001)) {
      store_.RotateAll();
    }
    if (Chance(0.001)) {
      store_.ReassignAll(Chance(0.5));
      if (Chance(0.3)) {
        store_.ReassignAll();
      }
    }
    if (Chance(0.001)) {
      copy_ = store_;
    }
    if (copy_ && Chance(0.0003)) {
      store_.RestoreFrom(*copy_);
    }
  }
  void DeliverDue() {
    std::vector<Message> due;
    std::erase_if(messages_, [&](const Message& message) {
      const bool ready = message.due <= now_ && nodes_[message.node].paused_until <= now_;
      if (ready) {
        due.push_back(message);
      }
      return ready;
    });
    for (Message& message : due) {
      Node& node = nodes_[message.node];
      if (message.failed || message.reply) {
        Deliver(node, message);
        continue;
      }
      message.reply = store_.Join(now_, message.join);
      message.due = now_ + Delay();
      if (!Chance(0.1)) {
        messages_.push_back(message);
      }
    }
  }
  void Deliver(Node& node, const Message& message) {
    if (node.process != message.process) {
      return;
    }
    if (message.failed) {
      node.lease->OnJoinFailed(now_);
    } else {
      node.lease->OnJoinReply(now_, message.sent_at, *message.reply);
    }
  }
  int CountConflicts() {
    int conflicts = 0;
    for (int partition = 0; partition < kPartitions; ++partition) {
      const auto holders = std::ranges::count_if(
          nodes_, [&](const Node& node) { return node.lease->Holds(now_, partition); });
      held_instants_ += holders == 1 ? 1 : 0;
      conflicts += holders > 1 ? 1 : 0;
    }
    return conflicts;
  }

  Random random_;
  GroupModel store_;
  std::optional<GroupModel> copy_;
  std::vector<Node> nodes_;
  std::vector<Message> messages_;
  std::vector<PeerMessage> peer_messages_;
  TimePoint now_ = kStart;
  int held_instants_ = 0;
};

// Guards against two holders of a partition at any instant, with paused and restarted members,
// lost, repeated and late joins and replies, moves of all partitions, and restored stores.
TEST_CASE("a partition never has two holders") {
  int held = 0;
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    LeaseWorld world(seed, 4);
    CHECK(world.Run(seconds(60)) == 0);
    held += world.held_instants();
  }
  // The check is worth little if partitions rarely have a holder.
  CHECK(held > 60 * 6000 * kPartitions / 4);
}

}  // namespace
}  // namespace limpet
