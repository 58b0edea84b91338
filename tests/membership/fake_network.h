#ifndef LIMPET_TESTS_MEMBERSHIP_FAKE_NETWORK_H_
#define LIMPET_TESTS_MEMBERSHIP_FAKE_NETWORK_H_

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "limpet/membership/membership.h"

namespace limpet {

/// Members on an in-memory network with message loss, delays and partitions. Deterministic for a
/// given seed.
class FakeNetwork {
 public:
  using CutRule = std::function<bool(const std::string& from, const std::string& to)>;

  explicit FakeNetwork(uint64_t seed) : random_(seed) {}

  /// Starts a process. A running process of the same name ends without announcing it.
  Membership& Start(const std::string& name, const std::string& data_centre, int64_t incarnation);
  void Kill(const std::string& name) { nodes_.erase(name); }
  void Run(Duration duration);

  bool IsRunning(const std::string& name) const { return nodes_.contains(name); }
  Membership& At(const std::string& name) { return *nodes_.at(name).membership; }
  Counters& GetCounters(const std::string& name) { return *nodes_.at(name).counters; }
  std::vector<std::string> RunningMembers() const;
  /// Runs an action on a member and sends the messages that it outputs.
  void Execute(const std::string& name,
               const std::function<void(Membership&, TimePoint, ControlOutput&)>& action);

  TimePoint now() const { return now_; }

  std::vector<PeerAddress> seeds;
  /// Called after every action of a member.
  std::function<void(const std::string& name)> observer;
  CutRule is_cut = [](const std::string&, const std::string&) { return false; };
  /// A paused member neither runs nor receives; messages to it are delivered after the pause.
  std::function<bool(const std::string& name)> is_paused = [](const std::string&) { return false; };
  double loss = 0;
  Duration min_delay = std::chrono::milliseconds(1);
  Duration max_delay = std::chrono::milliseconds(3);

 private:
  struct Node {
    uint64_t process = 0;
    std::unique_ptr<Counters> counters;
    std::unique_ptr<Membership> membership;
  };
  struct Event {
    TimePoint at;
    uint64_t order = 0;
    std::string node;
    uint64_t process = 0;                      // set for a tick
    std::shared_ptr<wire::Envelope> envelope;  // null for a tick

    bool operator>(const Event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  void Handle(Event event);
  void Send(const std::string& from, ControlOutput& output);
  void Push(Event event);

  Random random_;
  TimePoint now_{std::chrono::hours(1)};
  uint64_t order_ = 0;
  std::map<std::string, Node> nodes_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
};

}  // namespace limpet

#endif  // LIMPET_TESTS_MEMBERSHIP_FAKE_NETWORK_H_
