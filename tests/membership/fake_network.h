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

/// Members on an in-memory network with loss, delay and cuts. Deterministic for a seed.
class FakeNetwork {
 public:
  using CutRule = std::function<bool(const std::string& from, const std::string& to)>;

  explicit FakeNetwork(uint64_t seed) : random_(seed) {}

  /// Starts a process; a former process of this name ends without notice.
  Membership& Start(const std::string& name, const std::string& data_centre, int64_t incarnation);
  void Kill(const std::string& name) { nodes_.erase(name); }
  void Run(Duration duration);

  bool IsRunning(const std::string& name) const { return nodes_.contains(name); }
  Membership& At(const std::string& name) { return *nodes_.at(name).membership; }
  Counters& CountersOf(const std::string& name) { return *nodes_.at(name).counters; }
  std::vector<std::string> Running() const;
  /// Applies an action of one member that sends messages.
  void Do(const std::string& name,
          const std::function<void(Membership&, TimePoint, ControlOutput&)>& action);

  TimePoint now() const { return now_; }

  std::vector<PeerAddress> seeds;
  /// Called after every step of a member.
  std::function<void(const std::string& name)> observer;
  CutRule is_cut = [](const std::string&, const std::string&) { return false; };
  /// A paused member neither runs nor receives; its messages wait.
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
    uint64_t process = 0;                      // of a tick
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
