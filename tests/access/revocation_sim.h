#ifndef LIMPET_TESTS_ACCESS_REVOCATION_SIM_H_
#define LIMPET_TESTS_ACCESS_REVOCATION_SIM_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "limpet/access/access_policy.h"
#include "limpet/access/knowledge_clock.h"
#include "limpet/access/read_proof.h"
#include "limpet/core/random.h"
#include "limpet/routing/config_holder.h"

namespace limpet::test {

/// Plays nodes, the store, its operator and callers in virtual time. Two nodes read the store with
/// the intervals of the primary reader and repeat reads that get no response; all nodes probe each
/// other. Messages take a random time, and are lost between the ends of a cut link.
class RevocationSim {
 public:
  static constexpr Duration kRevocationTime = std::chrono::seconds(5);
  static constexpr int kReaders = 2;

  explicit RevocationSim(uint64_t seed, int nodes) : random_(seed), nodes_(nodes) {
    keys_ = {"key-0", "key-1"};
    next_key_ = 2;
    Publish(false);
    for (int i = 0; i < nodes; ++i) {
      Start(i);
    }
  }

  TimePoint now() const { return now_; }
  Random& random() { return random_; }
  int node_count() const { return static_cast<int>(nodes_.size()); }
  void Schedule(Duration delay, std::function<void()> action) {
    events_.push({now_ + delay, sequence_++, std::move(action)});
  }
  void RunFor(Duration duration) {
    const TimePoint end = now_ + duration;
    while (!events_.empty() && events_.top().due <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = std::max(now_, event.due);
      event.action();
    }
    now_ = end;
  }

  /// The operator writes a configuration, from which it may have removed the oldest key. Returns
  /// false and does nothing while the store does not work.
  bool Publish(bool remove_key) {
    if (now_ < store_stalled_until_) {
      return false;
    }
    if (remove_key) {
      removed_at_[keys_.front()] = now_;
      keys_.erase(keys_.begin());
      keys_.push_back("key-" + std::to_string(next_key_++));
    }
    MeshConfig config;
    config.version = ++version_;
    config.services = {{"desk", "/health", 130}};
    MeshRoute route;
    route.name = "lots";
    route.host = "desk.example";
    route.path_prefix = "/lots/";
    route.timeout = std::chrono::seconds(1);
    route.weighted_services = {{"desk", 1}};
    config.routes = {route};
    config.accounts = {{"account", keys_, std::nullopt, 0, 0}};
    log_.push_back(config);
    for (PendingRead& read : std::exchange(waiting_, {})) {
      Respond(read);
    }
    return true;
  }
  /// The store responds to nothing and accepts nothing for this long. Responses that are due
  /// meanwhile are lost or late.
  void StallStore(Duration duration) { store_stalled_until_ = now_ + duration; }
  /// The store goes on from a copy without its last `lost` records, and perhaps without what nodes
  /// wrote. If a record of the operator was lost, the operator writes again some time later.
  void RestoreStore(std::size_t lost) {
    lost = std::min(lost, log_.size() - 1);
    log_.resize(log_.size() - lost);
    ++epoch_;
    if (random_.NextBelow(2) == 0) {
      witness_.reset();
    }
    for (const PendingRead& read : std::exchange(waiting_, {})) {
      if (random_.NextBelow(2) == 0) {
        Respond(read);
      }
    }
    if (lost > 0) {
      Schedule(Millis(200, 4000), [this] { PublishAgain(); });
    }
  }
  /// All processes lose their state.
  void RestartAll() {
    for (int node = 0; node < node_count(); ++node) {
      Restart(node);
    }
  }
  std::size_t record_count() const { return log_.size(); }
  /// The node does nothing for this long; its messages wait.
  void Freeze(int node, Duration duration) {
    nodes_[node].frozen_until = std::max(nodes_[node].frozen_until, now_ + duration);
  }
  /// The node loses its state.
  void Restart(int node) {
    for (int other = 0; other < node_count(); ++other) {
      if (other != node && nodes_[other].clock) {
        nodes_[other].clock->OnLinkLost(Name(node));
      }
    }
    Start(node);
  }
  /// Cuts the node from the store or from all other nodes for this long.
  void CutFromStore(int node, Duration duration) { nodes_[node].no_store_until = now_ + duration; }
  void CutFromNodes(int node, Duration duration) {
    nodes_[node].no_peers_until = now_ + duration;
    Schedule(duration, [this, node] {
      for (int other = 0; other < node_count(); ++other) {
        nodes_[other].clock->OnLinkLost(Name(node));
        nodes_[node].clock->OnLinkLost(Name(other));
      }
    });
  }

  /// The node gets no configurations from other nodes for this long, but replies to its probes.
  void LoseConfigs(int node, Duration duration) { nodes_[node].no_configs_until = now_ + duration; }

  /// A caller sends a request with this key to the node now.
  void Request(int node, const std::string& key) {
    const TimePoint sent = now_;
    Deliver(node, nodes_[node].start, Millis(0, 5), [this, key, sent](Node& receiver) {
      const RouteTablePtr routes = receiver.config.routes();
      wire::Header header;
      header.name = "Api-Key";
      header.value = key;
      const bool runs =
          routes &&
          receiver.policy->Decide(now_, *routes, routes->config().routes[0], {header}).result ==
              AccessResult::kAllowed;
      ++(runs ? served : refused);
      const auto removed = removed_at_.find(key);
      if (runs && removed != removed_at_.end() && sent > removed->second + kRevocationTime) {
        ++violations;
      }
    });
  }
  std::string CurrentKey() const { return keys_.back(); }
  /// Returns a key that is valid or was removed within about the last changes.
  std::string RecentKey() {
    return "key-" + std::to_string(next_key_ - 1 -
                                   static_cast<int>(random_.NextBelow(
                                       static_cast<uint64_t>(std::min(next_key_, 6)))));
  }

  int served = 0;
  int refused = 0;
  /// Requests that ran although they were sent too long after the removal of their key.
  int violations = 0;

 private:
  void PublishAgain() {
    if (!Publish(false)) {
      Schedule(std::chrono::milliseconds(200), [this] { PublishAgain(); });
    }
  }

  struct Event {
    TimePoint due;
    int64_t sequence;
    std::function<void()> action;

    bool operator<(const Event& other) const {
      return std::tie(due, sequence) > std::tie(other.due, other.sequence);
    }
  };
  struct Node {
    int index = 0;
    /// Counts the starts of the process.
    int start = 0;
    TimePoint frozen_until{};
    TimePoint no_store_until{};
    TimePoint no_peers_until{};
    TimePoint no_configs_until{};
    ConfigHolder config;
    std::unique_ptr<KnowledgeClock> clock;
    std::unique_ptr<AccessPolicy> policy;
    ReadProof proof;
    std::size_t next_offset = 0;
    /// Number of the pending read; responses to earlier reads are ignored.
    int read = 0;
  };
  struct PendingRead {
    int node = 0;
    int start = 0;
    int read = 0;
    bool newest = false;
    std::size_t from = 0;
    Duration wait{0};
    TimePoint sent{};
  };

  static std::string Name(int node) { return "n" + std::to_string(node); }
  Duration Millis(int low, int high) {
    return std::chrono::milliseconds(
        low + static_cast<int>(random_.NextBelow(static_cast<uint64_t>(high - low + 1))));
  }
  /// Mostly short, sometimes long.
  Duration Latency() { return random_.NextBelow(40) == 0 ? Millis(20, 1500) : Millis(1, 10); }

  /// Runs the action at the node after this delay, or later if it is frozen, unless it is
  /// restarted.
  void Deliver(int index, int start, Duration delay, std::function<void(Node&)> action) {
    Schedule(delay, [this, index, start, action = std::move(action)]() mutable {
      Node& node = nodes_[index];
      if (node.start != start) {
        return;
      }
      if (now_ < node.frozen_until) {
        Deliver(index, start, node.frozen_until - now_, std::move(action));
        return;
      }
      action(node);
    });
  }

  void Start(int index) {
    Node& node = nodes_[index];
    node.index = index;
    ++node.start;
    node.frozen_until = {};
    node.config = {};
    node.proof = ReadProof();
    node.clock = std::make_unique<KnowledgeClock>();
    node.policy = std::make_unique<AccessPolicy>(AccessOptions{"Api-Key", true, kRevocationTime},
                                                 *node.clock);
    if (index < kReaders) {
      Deliver(index, node.start, Millis(0, 20), [this](Node& self) { StartRead(self, true); });
    }
    Deliver(index, node.start, Millis(0, 100), [this](Node& self) { Probe(self); });
  }

  bool AreLinked(int a, int b) const {
    return now_ >= nodes_[a].no_peers_until && now_ >= nodes_[b].no_peers_until;
  }
  void SendToPeer(int from, int to, std::function<void(Node&)> action) {
    if (AreLinked(from, to)) {
      Deliver(to, nodes_[to].start, Latency(), std::move(action));
    }
  }

  void Probe(Node& node) {
    const int from = node.index;
    for (int to = 0; to < node_count(); ++to) {
      if (to == from) {
        continue;
      }
      const int64_t nonce = node.clock->OnProbeSent(now_, Name(to));
      const int64_t have = node.config.version();
      SendToPeer(from, to, [this, from, nonce, have, start = node.start](Node& peer) {
        ProbeReply reply{nonce, peer.clock->Age(now_), peer.config.version(), 0};
        std::optional<wire::LinkConfig> config;
        if (have < peer.config.version()) {
          config = peer.config.FullUpdate();
        }
        SendToPeer(peer.index, from, [reply, start, to = peer.index](Node& self) {
          if (self.start == start) {
            self.clock->OnProbeReply(Name(to), reply, self.config.version(), 0);
          }
        });
        if (config) {
          SendToPeer(peer.index, from, [this, config](Node& self) {
            if (now_ >= self.no_configs_until) {
              self.config.Update(*config);
            }
          });
        }
      });
    }
    Deliver(from, node.start, std::chrono::milliseconds(100), [this](Node& self) { Probe(self); });
  }

  /// Starts a read and repeats it, like `edge::RepeatedExchange`.
  void StartRead(Node& node, bool newest) {
    const Duration wait = newest ? Duration(0) : Duration(std::chrono::milliseconds(1500));
    ++node.read;
    SendRead(node, {node.index, node.start, node.read, newest, node.next_offset, wait, now_});
  }
  void SendRead(Node& node, const PendingRead& read) {
    if (now_ >= node.no_store_until) {
      Schedule(Latency(), [this, read] { OnStoreRead(read); });
    }
    Deliver(node.index, node.start, read.wait + std::chrono::milliseconds(500),
            [this, read](Node& self) {
              if (self.read == read.read) {
                PendingRead repeat = read;
                repeat.wait = Duration(0);
                repeat.sent = now_;
                SendRead(self, repeat);
              }
            });
  }
  void OnStoreRead(const PendingRead& read) {
    if (now_ < store_stalled_until_) {
      return;
    }
    if (read.newest || read.wait == Duration(0) || read.from < log_.size()) {
      Respond(read);
      return;
    }
    waiting_.push_back(read);
    Schedule(read.wait, [this, read] {
      const auto found = std::ranges::find_if(waiting_, [&read](const PendingRead& other) {
        return other.node == read.node && other.start == read.start && other.read == read.read;
      });
      if (found != waiting_.end()) {
        waiting_.erase(found);
        Respond(read);
      }
    });
  }
  void Respond(const PendingRead& read) {
    Duration delay = Latency();
    if (now_ < store_stalled_until_) {
      if (random_.NextBelow(2) == 0) {
        return;
      }
      delay += store_stalled_until_ - now_;
    }
    if (now_ < nodes_[read.node].no_store_until) {
      return;
    }
    StoreRead result;
    result.sent = read.sent;
    result.wait = read.wait;
    result.end = static_cast<int64_t>(log_.size());
    result.epoch = epoch_;
    std::vector<MeshConfig> configs;
    const std::size_t from = read.newest ? log_.size() - 1 : std::min(read.from, log_.size());
    configs.assign(log_.begin() + static_cast<std::ptrdiff_t>(from), log_.end());
    result.has_records = !configs.empty();
    if (result.has_records) {
      result.config_offset = static_cast<int64_t>(log_.size()) - 1;
      result.config_version = configs.back().version;
    }
    result.complete = read.newest || read.from <= log_.size();
    Deliver(read.node, read.start, delay, [this, read, result, configs](Node& node) {
      if (node.read != read.read) {
        return;
      }
      ++node.read;
      StoreRead received = result;
      received.received = now_;
      for (const MeshConfig& config : configs) {
        node.config.Update(config);
      }
      node.next_offset = static_cast<std::size_t>(result.end);
      const bool is_first_read = !node.proof.has_read();
      const EpochEvidence before = node.proof.evidence();
      if (const auto proven = node.proof.OnRead(received)) {
        node.clock->OnProof(*proven);
      }
      if (is_first_read || node.proof.epoch_changed() || node.proof.evidence() != before) {
        OnEvidence(node);
      }
      const bool read_again =
          !read.newest && (node.proof.epoch_changed() || !result.complete || node.proof.was_late());
      const Duration pause = read_again    ? Duration(0)
                             : read.newest ? Duration(std::chrono::seconds(1))
                                           : Duration(std::chrono::milliseconds(300));
      Deliver(node.index, node.start, pause,
              [this, read_again](Node& self) { StartRead(self, read_again); });
    });
  }

  /// Like `platform::StoreCoordination`: looks for a witness of an epoch without evidence, and
  /// records evidence.
  void OnEvidence(Node& node) {
    const int index = node.index;
    const int start = node.start;
    switch (node.proof.evidence()) {
      case EpochEvidence::kNone:
        if (now_ < node.no_store_until || now_ < store_stalled_until_) {
          break;
        }
        Schedule(Latency(), [this, index, start] {
          Deliver(index, start, Latency(), [this, witness = witness_](Node& reader) {
            if (witness && reader.proof.OnWitness(now_, *witness)) {
              // Replaces the pending read.
              StartRead(reader, true);
            }
          });
        });
        break;
      case EpochEvidence::kConfiguration:
      case EpochEvidence::kWatched:
        // May be executed late, in a later epoch.
        Schedule(Latency(), [this, epoch = *node.proof.epoch()] {
          if (now_ >= store_stalled_until_) {
            witness_ = epoch;
          }
        });
        break;
      case EpochEvidence::kNeverRestored:
      case EpochEvidence::kWitness:
        break;
    }
  }

  Random random_;
  TimePoint now_{std::chrono::hours(1)};
  int64_t sequence_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Node> nodes_;
  /// The configurations in the store.
  std::vector<MeshConfig> log_;
  int64_t epoch_ = 1;
  /// The last epoch for which a node recorded evidence in the store.
  std::optional<int64_t> witness_;
  TimePoint store_stalled_until_{};
  std::vector<PendingRead> waiting_;
  /// State of the operator: valid keys, and when the removal of others was acknowledged.
  std::vector<std::string> keys_;
  int next_key_ = 0;
  int64_t version_ = 0;
  std::map<std::string, TimePoint> removed_at_;
};

}  // namespace limpet::test

#endif  // LIMPET_TESTS_ACCESS_REVOCATION_SIM_H_
