// Prints the memory and CPU time of one membership table of about 5,300 members. Then simulates 294
// members in one data centre and 3 in each of 17 others, and prints the time and the bytes sent
// until updates, failures and restarts are known.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "limpet/membership/membership.h"
#include "limpet/wire/codec.h"

namespace limpet {
namespace {

constexpr int kDataCentres = 18;
constexpr int kMembersPerLargeDataCentre = 294;
constexpr int kMembersPerSmallDataCentre = 3;
constexpr int kTrials = 20;
constexpr Duration kTick = std::chrono::milliseconds(50);
constexpr Duration kDelay = std::chrono::microseconds(1500);

std::string NodeName(int data_centre, int index) {
  return "node-" + std::to_string(data_centre) + "-" + std::to_string(index);
}

std::string DataCentreName(int data_centre) {
  return "dc-" + std::to_string(data_centre);
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// Lossless network with a fixed delay.
class Network {
 public:
  void Start(int data_centre, int index, int64_t incarnation) {
    MembershipOptions options;
    options.name = NodeName(data_centre, index);
    options.host = options.name;
    options.data_centre = DataCentreName(data_centre);
    options.service = "service-" + std::to_string(index % 40);
    options.port = 7000;
    options.incarnation = incarnation;
    for (int seed = 0; seed < 3; ++seed) {
      options.seeds.push_back({NodeName(seed, 0), 7000});
    }
    Node& node = nodes_[options.name];
    node.process = ++sequence_;
    node.counters = std::make_unique<Counters>();
    node.membership = std::make_unique<Membership>(options, Random(random_.Next()), *node.counters);
    const std::string name = options.name;
    RunAt(name,
          [&](Membership& membership, ControlOutput& output) { membership.Start(now_, output); });
    events_.push(
        {now_ + Duration(random_.NextBelow(kTick.count())), ++sequence_, name, node.process, {}});
  }

  void Kill(const std::string& name) { nodes_.erase(name); }

  void RunAt(const std::string& name,
             const std::function<void(Membership&, ControlOutput&)>& action) {
    ControlOutput output;
    action(GetMembership(name), output);
    for (OutgoingMessage& message : output.messages) {
      events_.push({now_ + kDelay, ++sequence_, message.to.host, 0,
                    std::make_shared<wire::Envelope>(std::move(message.envelope))});
    }
  }

  void Run(Duration duration) {
    const TimePoint end = now_ + duration;
    while (!events_.empty() && events_.top().at <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      Handle(event);
    }
    now_ = end;
  }

  /// Runs until the condition has been true once for each member, for at most a minute. Returns the
  /// time taken in seconds.
  double RunUntilAll(const std::function<bool(Membership&)>& is_true) {
    const TimePoint start = now_;
    std::vector<std::string> pending = Names();
    while (!pending.empty() && now_ - start < std::chrono::minutes(1)) {
      Run(std::chrono::milliseconds(10));
      std::erase_if(pending, [&](const std::string& name) { return is_true(GetMembership(name)); });
    }
    return Seconds(now_ - start);
  }

  Membership& GetMembership(const std::string& name) { return *nodes_.at(name).membership; }
  TimePoint now() const { return now_; }

  std::vector<std::string> Names() const {
    std::vector<std::string> names;
    for (const auto& [name, node] : nodes_) {
      names.push_back(name);
    }
    return names;
  }

  int64_t BytesSent(const std::string& name) {
    return nodes_.at(name).counters->Get("membership_bytes_sent").value();
  }

  int64_t BytesSent() {
    int64_t total = 0;
    for (const std::string& name : Names()) {
      total += BytesSent(name);
    }
    return total;
  }

 private:
  struct Node {
    uint64_t process = 0;
    std::unique_ptr<Counters> counters;
    std::unique_ptr<Membership> membership;
  };
  struct Event {
    TimePoint at;
    uint64_t sequence = 0;
    std::string name;
    uint64_t process = 0;
    std::shared_ptr<wire::Envelope> envelope;  // null for a tick

    bool operator>(const Event& other) const {
      return std::tie(at, sequence) > std::tie(other.at, other.sequence);
    }
  };

  void Handle(const Event& event) {
    const auto it = nodes_.find(event.name);
    if (it == nodes_.end() || (!event.envelope && it->second.process != event.process)) {
      return;
    }
    RunAt(event.name, [&](Membership& membership, ControlOutput& output) {
      if (event.envelope) {
        membership.OnMessage(now_, *event.envelope, output);
      } else {
        membership.Tick(now_, output);
      }
    });
    if (!event.envelope) {
      events_.push({now_ + kTick, ++sequence_, event.name, event.process, {}});
    }
  }

  Random random_{1};
  TimePoint now_{std::chrono::hours(1)};
  uint64_t sequence_ = 0;
  std::map<std::string, Node> nodes_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
};

void PrintSeconds(const char* what, std::vector<double> seconds) {
  std::ranges::sort(seconds);
  std::printf("%s: median %.2f s, max %.2f s of %zu\n", what, seconds[seconds.size() / 2],
              seconds.back(), seconds.size());
}

double MeasureIdleTraffic(Network& network) {
  const auto members = static_cast<double>(network.Names().size());
  const std::string gateway =
      network.GetMembership(NodeName(0, 0)).Gateways(DataCentreName(0))[0].name;
  const int64_t bytes_before = network.BytesSent();
  const int64_t gateway_bytes_before = network.BytesSent(gateway);
  constexpr Duration kPeriod = std::chrono::minutes(1);
  network.Run(kPeriod);
  const double per_second =
      static_cast<double>(network.BytesSent() - bytes_before) / Seconds(kPeriod);
  std::printf(
      "idle: %.0f bytes/s sent per member, %.0f by a gateway\n", per_second / members,
      static_cast<double>(network.BytesSent(gateway) - gateway_bytes_before) / Seconds(kPeriod));
  return per_second;
}

void MeasureUpdates(Network& network, double idle_bytes_per_second) {
  std::vector<double> times;
  double bytes = 0;
  for (int i = 0; i < kTrials; ++i) {
    const std::string name = NodeName(0, 10 + i);
    const int64_t bytes_before = network.BytesSent();
    network.RunAt(name, [&](Membership& membership, ControlOutput& output) {
      membership.SetTargetState(network.now(), wire::TargetState::kUp, output);
    });
    times.push_back(network.RunUntilAll([&](Membership& membership) {
      return membership.Find(name)->target_state == wire::TargetState::kUp;
    }));
    network.Run(std::chrono::seconds(10));
    bytes += static_cast<double>(network.BytesSent() - bytes_before) -
             idle_bytes_per_second * (times.back() + 10);
  }
  PrintSeconds("one update known at all members", times);
  std::printf("one update: %.0f bytes sent per member\n",
              bytes / kTrials / static_cast<double>(network.Names().size()));
}

void MeasureFailureDetection(Network& network) {
  std::vector<double> detections;
  std::vector<double> spreads;
  for (int i = 0; i < kTrials; ++i) {
    const std::string name = NodeName(0, 40 + i);
    network.Kill(name);
    const TimePoint killed = network.now();
    const auto is_dead = [&](Membership& membership) {
      return membership.Find(name)->state == wire::MemberState::kDead;
    };
    bool is_detected = false;
    while (!is_detected) {
      network.Run(std::chrono::milliseconds(10));
      is_detected = std::ranges::any_of(network.Names(), [&](const std::string& other) {
        return is_dead(network.GetMembership(other));
      });
    }
    detections.push_back(Seconds(network.now() - killed));
    spreads.push_back(network.RunUntilAll(is_dead));
  }
  PrintSeconds("killed member marked dead by the first member", detections);
  PrintSeconds("from then until marked dead by all members", spreads);
}

/// Kills all members of the large data centre at once and starts them again 20 s later, all at
/// once.
void MeasureMassRestart(Network& network) {
  for (int i = 0; i < kMembersPerLargeDataCentre; ++i) {
    network.Kill(NodeName(0, i));
  }
  const int64_t bytes_before_loss = network.BytesSent();
  network.Run(std::chrono::seconds(20));
  std::printf("loss of %d members: %.0f bytes/s sent per other member for 20 s\n",
              kMembersPerLargeDataCentre,
              static_cast<double>(network.BytesSent() - bytes_before_loss) / 20 /
                  static_cast<double>(network.Names().size()));
  for (int i = 0; i < kMembersPerLargeDataCentre; ++i) {
    network.Start(0, i, 2'000'000'000);
  }
  const int64_t bytes_before = network.BytesSent();
  const double duration = network.RunUntilAll([&](Membership& membership) {
    const auto& members = membership.Members();
    return std::ranges::count_if(members, [](const wire::MemberRecord& record) {
             return record.state == wire::MemberState::kAlive &&
                    record.incarnation >= (record.data_centre == "dc-0" ? 2'000'000'000 : 0);
           }) == kMembersPerLargeDataCentre + (kDataCentres - 1) * kMembersPerSmallDataCentre;
  });
  int64_t max_bytes_sent = 0;
  for (int i = 0; i < kMembersPerLargeDataCentre; ++i) {
    max_bytes_sent = std::max(max_bytes_sent, network.BytesSent(NodeName(0, i)));
  }
  std::printf("mass restart: at most %.0f KB sent by one restarted member\n",
              static_cast<double>(max_bytes_sent) / 1e3);
  std::printf(
      "mass restart of %d members: known at all members after %.1f s, %.0f KB sent per member\n",
      kMembersPerLargeDataCentre, duration,
      static_cast<double>(network.BytesSent() - bytes_before) / 1e3 /
          static_cast<double>(network.Names().size()));
}

int64_t ResidentBytes() {
  constexpr int64_t kPageBytes = 4096;
  std::ifstream file("/proc/self/statm");
  int64_t total = 0;
  int64_t resident = 0;
  file >> total >> resident;
  return resident * kPageBytes;
}

wire::Envelope MakeFullTable() {
  wire::Envelope reply;
  reply.sender = NodeName(0, 1);
  reply.message.__isset.join_reply = true;
  for (int data_centre = 0; data_centre < kDataCentres; ++data_centre) {
    for (int i = 0; i < kMembersPerLargeDataCentre; ++i) {
      wire::MemberRecord record;
      record.name = NodeName(data_centre, i);
      record.incarnation = 1'000'000'000 + i;
      record.data_centre = DataCentreName(data_centre);
      record.service_name = "service-" + std::to_string(i * 17 % 740);
      record.host = "10.1.1." + std::to_string(i % 250);
      record.port = 7000;
      record.target_state = wire::TargetState::kUp;
      reply.message.join_reply.members.push_back(record);
    }
  }
  return reply;
}

void AckPings(Membership& membership, TimePoint now, const ControlOutput& output) {
  for (const OutgoingMessage& message : output.messages) {
    if (message.envelope.message.__isset.ping) {
      wire::Envelope envelope;
      envelope.sender = NodeName(1, 1);
      envelope.sender_incarnation = 1'000'000'001;
      envelope.message.__isset.ack = true;
      envelope.message.ack.nonce = message.envelope.message.ping.nonce;
      ControlOutput ignored;
      membership.OnMessage(now, envelope, ignored);
    }
  }
}

void MeasureTable() {
  const wire::Envelope reply = MakeFullTable();
  std::printf("full table of %zu members: %zu bytes encoded\n",
              reply.message.join_reply.members.size(), wire::Encode(reply).size());
  Counters counters;
  MembershipOptions options;
  options.name = NodeName(0, 0);
  options.data_centre = DataCentreName(0);
  options.host = "10.1.1.0";
  options.port = 7000;
  options.incarnation = 1'000'000'000;
  options.seeds = {{"10.1.1.1", 7000}};
  Membership membership(options, Random(1), counters);
  TimePoint now(std::chrono::hours(1));
  ControlOutput output;
  membership.Start(now, output);
  const int64_t bytes_before = ResidentBytes();
  std::clock_t cpu = std::clock();
  const auto cpu_ms = [&] {
    return 1e3 * static_cast<double>(std::clock() - std::exchange(cpu, std::clock())) /
           CLOCKS_PER_SEC;
  };
  membership.OnMessage(now, reply, output);
  std::printf("join reply: %.1f ms CPU, %.2f MB resident\n", cpu_ms(),
              static_cast<double>(ResidentBytes() - bytes_before) / 1e6);
  const EndpointViewPtr view = membership.endpoints();
  std::printf("endpoint view of %zu services: %.2f ms CPU, %.2f MB resident with the table\n",
              view->services().size(), cpu_ms(),
              static_cast<double>(ResidentBytes() - bytes_before) / 1e6);
  constexpr int kSeconds = 600;
  for (int tick = 0; tick < kSeconds * 20; ++tick) {
    now += kTick;
    output = {};
    membership.Tick(now, output);
    AckPings(membership, now, output);
    membership.endpoints();
  }
  std::printf("idle, without incoming pings: %.4f %% of a core\n", cpu_ms() / kSeconds / 10);
}

void MeasureNetwork() {
  Network network;
  for (int data_centre = 0; data_centre < kDataCentres; ++data_centre) {
    for (int i = 0;
         i < (data_centre == 0 ? kMembersPerLargeDataCentre : kMembersPerSmallDataCentre); ++i) {
      network.Start(data_centre, i, 1'000'000'000);
      network.Run(std::chrono::milliseconds(20));
    }
  }
  network.Run(std::chrono::minutes(1));
  std::printf("%zu members in %d data centres\n", network.Names().size(), kDataCentres);
  const double idle_bytes_per_second = MeasureIdleTraffic(network);
  MeasureUpdates(network, idle_bytes_per_second);
  MeasureFailureDetection(network);
  MeasureMassRestart(network);
}

}  // namespace
}  // namespace limpet

int main() {
  // Runs first, as memory that the network has freed would be reused and hide the growth.
  limpet::MeasureTable();
  limpet::MeasureNetwork();
  return 0;
}
