#include "limpet/decision/shared_state.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "limpet/core/random.h"

namespace limpet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};
constexpr Duration kTick = milliseconds(50);

wire::SharedEntry Entry(const std::string& key,
                        int64_t token,
                        int64_t sequence,
                        const std::string& value) {
  wire::SharedEntry entry;
  entry.key = key;
  entry.token = token;
  entry.sequence = sequence;
  entry.value = value;
  return entry;
}

/// Nodes that exchange their shared states over a network that loses and reorders messages.
class Network {
 public:
  Network(int nodes, double loss, uint64_t seed) : loss_(loss), random_(seed) {
    for (int i = 0; i < nodes; ++i) {
      states_.emplace_back(SharedStateOptions{});
    }
  }

  SharedState& node(int index) { return states_.at(static_cast<std::size_t>(index)); }
  void Restart(int index) { node(index) = SharedState(SharedStateOptions{}); }
  void Write(int from, const wire::SharedEntry& entry) {
    if (node(from).Set(entry)) {
      for (int to = 0; to < size(); ++to) {
        Send(from, to, node(from).MakePush(entry.key));
      }
    }
  }
  void Run(Duration duration) {
    for (const TimePoint end = now_ + duration; now_ < end; now_ += kTick) {
      Deliver();
      for (int from = 0; from < size(); ++from) {
        if (node(from).TakeDigestDue(now_)) {
          Send(from, static_cast<int>(random_.NextBelow(states_.size())), node(from).MakeDigest());
        }
      }
    }
  }
  bool HasConverged() const {
    return std::ranges::all_of(states_, [&](const SharedState& state) {
      return state.entries() == states_.front().entries() &&
             state.Digest() == states_.front().Digest();
    });
  }
  int sent() const { return sent_; }

 private:
  struct Packet {
    TimePoint due{};
    int from = 0;
    int to = 0;
    wire::SharedState message;
  };

  int size() const { return static_cast<int>(states_.size()); }
  void Send(int from, int to, wire::SharedState message) {
    if (from == to) {
      return;
    }
    ++sent_;
    if (random_.NextFraction() >= loss_) {
      // Delays of up to 400 ms reorder the messages.
      const auto delay = milliseconds(random_.NextBelow(400));
      packets_.push_back({now_ + delay, from, to, std::move(message)});
    }
  }
  void Deliver() {
    std::vector<Packet> due;
    std::erase_if(packets_, [&](const Packet& packet) {
      if (packet.due <= now_) {
        due.push_back(packet);
      }
      return packet.due <= now_;
    });
    for (const Packet& packet : due) {
      const auto merge =
          node(packet.to).OnMessage(now_, std::to_string(packet.from), packet.message);
      if (merge.reply) {
        Send(packet.to, packet.from, *merge.reply);
      }
    }
  }

  double loss_;
  Random random_;
  std::vector<SharedState> states_;
  std::vector<Packet> packets_;
  TimePoint now_ = kStart;
  int sent_ = 0;
};

// Guards against a delayed message that brings back an earlier state.
TEST_CASE("the entry with the greater token and sequence wins in every order") {
  std::vector<wire::SharedEntry> entries = {
      Entry("rollout/a", 1, 1, "first"), Entry("rollout/a", 1, 2, "second"),
      Entry("rollout/a", 2, 1, "successor"), Entry("rollout/a", 1, 9, "paused holder")};
  std::vector<int> order = {0, 1, 2, 3};
  do {
    SharedState state{SharedStateOptions{}};
    for (const int index : order) {
      state.Set(entries[static_cast<std::size_t>(index)]);
    }
    CHECK(state.Find("rollout/a")->value == "successor");
  } while (std::ranges::next_permutation(order).found);
}

TEST_CASE("a repeated entry changes nothing") {
  SharedState state{SharedStateOptions{}};
  CHECK(state.Set(Entry("order/a", 1, 1, "x")));
  const int64_t digest = state.Digest();
  CHECK_FALSE(state.Set(Entry("order/a", 1, 1, "x")));
  CHECK(state.Digest() == digest);
}

TEST_CASE("the operator digest covers the orders only") {
  SharedState state{SharedStateOptions{}};
  state.Set(Entry("rollout/a", 1, 1, "x"));
  state.Set(Entry("holder/3", 1, 1, "node-1"));
  CHECK(state.OperatorDigest() == 0);
  state.Set(Entry("order/a", 1, 0, "x"));
  const int64_t first = state.OperatorDigest();
  CHECK(first != 0);
  state.Set(Entry("order/a", 2, 0, "x"));
  CHECK(state.OperatorDigest() != first);
}

// Guards against traffic in deployments without roll-outs and quotas.
TEST_CASE("no digest is sent while there are no entries") {
  SharedState state{SharedStateOptions{}};
  CHECK_FALSE(state.TakeDigestDue(kStart));
  state.Set(Entry("order/a", 1, 0, "x"));
  CHECK(state.TakeDigestDue(kStart));
  CHECK_FALSE(state.TakeDigestDue(kStart + milliseconds(499)));
  CHECK(state.TakeDigestDue(kStart + milliseconds(500)));
}

TEST_CASE("a peer with another digest gets the entries, at most once per interval") {
  SharedState state{SharedStateOptions{}};
  state.Set(Entry("order/a", 1, 0, "x"));
  wire::SharedState digest;
  digest.digest = 5;
  CHECK(state.OnMessage(kStart, "n1", digest).reply.has_value());
  CHECK_FALSE(state.OnMessage(kStart + milliseconds(299), "n1", digest).reply.has_value());
  CHECK(state.OnMessage(kStart + milliseconds(299), "n2", digest).reply.has_value());
  CHECK(state.OnMessage(kStart + milliseconds(300), "n1", digest).reply.has_value());
  CHECK_FALSE(state.OnMessage(kStart + seconds(9), "n1", state.MakeDigest()).reply.has_value());
}

// Guards against nodes that keep different states after lost and reordered messages and after two
// writers, of which the earlier lost its lease.
TEST_CASE("all nodes get the newest entries in spite of loss, reordering and two writers") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    Network network(10, 0.4, seed);
    for (int step = 0; step < 20; ++step) {
      network.Write(0, Entry("rollout/a", 1, step, "old holder"));
      if (step >= 10) {
        network.Write(1, Entry("rollout/a", 2, step, "new holder " + std::to_string(step)));
      }
      network.Write(2, Entry("order/b", step, 0, "order"));
      network.Run(milliseconds(100));
    }
    network.Run(seconds(15));
    REQUIRE(network.HasConverged());
    CHECK(network.node(9).Find("rollout/a")->value == "new holder 19");
    CHECK(network.node(9).Find("order/b")->token == 19);
  }
}

// Guards against a restarted node that stays without entries, and one that brings back old ones.
TEST_CASE("a restarted node gets all entries") {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    Network network(6, 0.2, seed);
    network.Write(0, Entry("order/a", 7, 0, "order"));
    network.Write(0, Entry("rollout/a", 3, 4, "state"));
    network.Run(seconds(5));
    network.Restart(0);
    network.Restart(3);
    network.Write(0, Entry("rollout/a", 2, 9, "stale"));
    network.Run(seconds(10));
    REQUIRE(network.HasConverged());
    CHECK(network.node(0).Find("rollout/a")->value == "state");
    CHECK(network.node(3).Find("order/a")->token == 7);
  }
}

// Guards against two nodes that keep sending each other their entries.
TEST_CASE("nodes with equal entries exchange digests only") {
  Network network(10, 0, 1);
  network.Write(0, Entry("order/a", 1, 0, "x"));
  network.Run(seconds(5));
  REQUIRE(network.HasConverged());
  const int before = network.sent();
  network.Run(seconds(10));
  // 10 nodes send a digest each 500 ms.
  CHECK(network.sent() - before <= 10 * 20 + 10);
}

}  // namespace
}  // namespace limpet
