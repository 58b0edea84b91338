#ifndef LIMPET_TESTS_SUPPORT_FAKE_MESH_H_
#define LIMPET_TESTS_SUPPORT_FAKE_MESH_H_

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "limpet/control/control_plane.h"

namespace limpet::test {

/// In-memory stand-in for the platform's log: streams with offsets from 1. A stream can be limited
/// to its newest records.
class FakeLog {
 public:
  struct Stream {
    int64_t first = 1;
    std::deque<std::string> records;
    int64_t end() const { return first + static_cast<int64_t>(records.size()); }
  };

  /// Returns the offset of the new record.
  int64_t Append(const std::string& stream, std::string payload) {
    Stream& target = streams_[stream];
    target.records.push_back(std::move(payload));
    while (retained > 0 && static_cast<int64_t>(target.records.size()) > retained) {
      target.records.pop_front();
      ++target.first;
    }
    return target.end() - 1;
  }

  LogResult Serve(const LogRequest& request) {
    LogResult result;
    if (const auto* append = std::get_if<LogAppend>(&request)) {
      result.request = append->request;
      result.offset = Append(append->stream, append->payload);
      return result;
    }
    const auto& read = std::get<LogRead>(request);
    const Stream& stream = streams_[read.stream];
    result.request = read.request;
    result.first_offset = stream.first;
    result.end_offset = stream.end();
    if (read.from < stream.first) {
      result.status = LogStatus::kOffsetExpired;
      return result;
    }
    for (int64_t offset = read.from; offset < stream.end() && offset < read.from + read.max_records;
         ++offset) {
      result.records.push_back(
          {offset, stream.records[static_cast<std::size_t>(offset - stream.first)]});
    }
    return result;
  }

  const Stream& stream(const std::string& name) { return streams_[name]; }

  /// Number of records retained per stream; 0 retains all.
  int64_t retained = 0;
  /// Status of every response. A request is executed only if it is `kOk`.
  LogStatus status = LogStatus::kOk;
  /// Share of requests that are executed but whose response is lost.
  double lost_responses = 0;
  Duration latency = std::chrono::milliseconds(2);

 private:
  std::map<std::string, Stream> streams_;
};

/// Control planes on an in-memory network and log, in virtual time. Deterministic for a given seed.
class FakeMesh {
 public:
  struct Node {
    ControlOptions options;
    std::unique_ptr<Counters> counters;
    std::unique_ptr<ControlPlane> plane;  // null while the process is not running
    int starts = 0;
    bool paused = false;
    bool log_cut = false;                      // true if requests to the log are lost
    std::vector<std::function<void()>> inbox;  // inputs received while paused
  };

  explicit FakeMesh(uint64_t seed) : random_(seed) {}

  void Start(const std::string& name,
             const std::string& data_centre,
             const std::string& service = "service") {
    Node& node = nodes_[name];
    if (node.options.port == 0) {
      node.options.name = name;
      node.options.data_centre = data_centre;
      node.options.service = service;
      node.options.host = "10.0.0.1";
      node.options.port = static_cast<int>(1000 + nodes_.size());
      node.options.distribution = mode;
      by_port_[node.options.port] = name;
    }
    Restart(name);
  }

  /// Restarts the process without its previous state. Its seeds are the first nodes that were
  /// started.
  void Restart(const std::string& name) {
    Node& node = nodes_[name];
    Kill(name);
    ++node.starts;
    node.options.incarnation = node.starts;
    node.options.seeds.clear();
    for (const int port : seed_ports()) {
      if (port != node.options.port) {
        node.options.seeds.push_back({"10.0.0.1", port});
      }
    }
    node.counters = std::make_unique<Counters>();
    node.plane =
        std::make_unique<ControlPlane>(node.options, Random(random_.Next()), *node.counters);
    Execute(node, node.plane->Start(now_));
    ScheduleTick(name, node.starts,
                 now_ + Duration(static_cast<Duration::rep>(random_.NextBelow(50'000))));
  }

  void Kill(const std::string& name) {
    Node& node = nodes_[name];
    node.plane.reset();
    node.paused = false;
    node.inbox.clear();
  }

  void Pause(const std::string& name) { nodes_[name].paused = nodes_[name].plane != nullptr; }

  void Resume(const std::string& name) {
    Node& node = nodes_[name];
    node.paused = false;
    for (const auto& action : std::exchange(node.inbox, {})) {
      action();
    }
  }

  /// Cuts or restores the network between two nodes or two data centres, given by name.
  void Cut(const std::string& a, const std::string& b) { cuts_.insert(std::minmax(a, b)); }
  void Heal(const std::string& a, const std::string& b) { cuts_.erase(std::minmax(a, b)); }
  void HealAll() {
    cuts_.clear();
    loss = duplication = reordering = 0;
    log.status = LogStatus::kOk;
    log.lost_responses = 0;
    log.latency = std::chrono::milliseconds(2);
    for (auto& [name, node] : nodes_) {
      node.log_cut = false;
      if (node.paused) {
        Resume(name);
      }
    }
  }

  /// Delivers a message to a node as if it came from the network, e.g. a malicious one.
  void Inject(const std::string& to, const wire::Envelope& envelope) {
    Node& node = nodes_[to];
    if (node.plane) {
      Execute(node, node.plane->OnMessage(now_, envelope));
    }
  }

  /// Delivers one of the most recent configuration messages again, possibly after newer ones.
  void RedeliverRecentConfig() {
    if (!recent_config_messages_.empty()) {
      const auto [to, envelope] =
          recent_config_messages_[random_.NextBelow(recent_config_messages_.size())];
      if (IsRunning(to)) {
        Inject(to, *envelope);
      }
    }
  }

  /// Passes a running node an input from its own process, e.g. a state of its target.
  void ApplyLocalInput(const std::string& name,
                       const std::function<ControlOutput(ControlPlane&, TimePoint)>& action) {
    Node& node = nodes_[name];
    if (node.plane) {
      Execute(node, action(*node.plane, now_));
    }
  }

  /// Advances virtual time by one tick, 50 ms.
  void Step() { Run(std::chrono::milliseconds(50)); }
  void Run(Duration duration) {
    const TimePoint end = now_ + duration;
    while (!events_.empty() && events_.top().at <= end) {
      Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
    now_ = end;
  }

  TimePoint now() const { return now_; }
  Random& random() { return random_; }
  std::map<std::string, Node>& nodes() { return nodes_; }
  Node& node(const std::string& name) { return nodes_.at(name); }
  bool IsRunning(const std::string& name) { return node(name).plane && !node(name).paused; }
  bool IsConnected(const std::string& a, const std::string& b) {
    return !cuts_.contains(std::minmax(a, b)) &&
           !cuts_.contains(std::minmax(node(a).options.data_centre, node(b).options.data_centre));
  }

  FakeLog log;
  DistributionMode mode = DistributionMode::kTree;
  double loss = 0;
  double duplication = 0;
  /// Share of messages that are delayed by up to 200 ms.
  double reordering = 0;
  /// Called after every input to a node, for checks that must always hold.
  std::function<void(const std::string&, const ControlPlane&)> observer;

 private:
  struct Event {
    TimePoint at;
    uint64_t sequence;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(at, sequence) > std::tie(other.at, other.sequence);
    }
  };

  std::vector<int> seed_ports() const {
    std::vector<int> ports;
    for (const auto& [port, name] : by_port_) {
      if (ports.size() < 3) {
        ports.push_back(port);
      }
    }
    return ports;
  }

  void Schedule(TimePoint at, std::function<void()> action) {
    events_.push({at, ++sequence_, std::move(action)});
  }

  void ScheduleTick(const std::string& name, int start, TimePoint at) {
    Schedule(at, [this, name, start] {
      Node& node = nodes_[name];
      if (node.plane && node.starts == start) {
        if (!node.paused) {
          Execute(node, node.plane->Tick(now_));
        }
        ScheduleTick(name, start, now_ + std::chrono::milliseconds(50));
      }
    });
  }

  /// Runs the action at the node: now, or after the end of its pause. Does nothing if the node is
  /// not running or has been restarted since `start`.
  void RunAtNode(const std::string& name, int start, std::function<void(Node&)> action) {
    Node& node = nodes_[name];
    if (!node.plane || node.starts != start) {
      return;
    }
    if (node.paused) {
      // Further inputs are lost, as in a full socket buffer.
      constexpr std::size_t kMaxInboxSize = 1000;
      if (node.inbox.size() < kMaxInboxSize) {
        node.inbox.push_back([this, name, start, action] { RunAtNode(name, start, action); });
      }
      return;
    }
    action(node);
  }

  void Execute(Node& node, ControlOutput output) {
    if (observer) {
      observer(node.options.name, *node.plane);
    }
    for (OutgoingMessage& message : output.messages) {
      Send(node, std::move(message));
    }
    for (LogRequest& request : output.log_requests) {
      SendLogRequest(node, std::move(request));
    }
  }

  void Send(const Node& from, OutgoingMessage message) {
    const auto found = by_port_.find(message.to.port);
    if (found == by_port_.end() || !IsConnected(from.options.name, found->second)) {
      return;
    }
    const std::string& to = found->second;
    const bool is_same_data_centre = nodes_[to].options.data_centre == from.options.data_centre;
    const int copies = random_.NextFraction() < duplication ? 2 : 1;
    const auto envelope = std::make_shared<wire::Envelope>(std::move(message.envelope));
    if (envelope->message.__isset.delta_push || envelope->message.__isset.checkpoint_reply) {
      constexpr std::size_t kMaxRecentMessages = 64;
      recent_config_messages_.emplace_back(to, envelope);
      if (recent_config_messages_.size() > kMaxRecentMessages) {
        recent_config_messages_.pop_front();
      }
    }
    for (int copy = 0; copy < copies; ++copy) {
      if (random_.NextFraction() < loss) {
        continue;
      }
      Duration delay = is_same_data_centre ? Duration(300) : Duration(1500);
      if (random_.NextFraction() < reordering) {
        delay += Duration(static_cast<Duration::rep>(random_.NextBelow(200'000)));
      }
      Schedule(now_ + delay, [this, to, envelope, start = nodes_[to].starts] {
        RunAtNode(to, start, [this, envelope](Node& node) {
          Execute(node, node.plane->OnMessage(now_, *envelope));
        });
      });
    }
  }

  void SendLogRequest(const Node& from, LogRequest request) {
    const std::string name = from.options.name;
    const int start = from.starts;
    if (from.log_cut) {
      return;
    }
    Schedule(now_ + log.latency / 2, [this, name, start, request = std::move(request)] {
      LogResult result;
      if (log.status == LogStatus::kOk) {
        result = log.Serve(request);
        if (random_.NextFraction() < log.lost_responses) {
          return;
        }
      } else {
        result.request = std::visit([](const auto& value) { return value.request; }, request);
        result.status = log.status;
      }
      Schedule(now_ + log.latency / 2, [this, name, start, result] {
        RunAtNode(name, start, [this, result](Node& node) {
          Execute(node, node.plane->OnLogResult(now_, result));
        });
      });
    });
  }

  Random random_;
  TimePoint now_{std::chrono::hours(1)};
  uint64_t sequence_ = 0;
  std::priority_queue<Event> events_;
  std::map<std::string, Node> nodes_;
  std::map<int, std::string> by_port_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::deque<std::pair<std::string, std::shared_ptr<wire::Envelope>>> recent_config_messages_;
};

}  // namespace limpet::test

#endif  // LIMPET_TESTS_SUPPORT_FAKE_MESH_H_
