#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <set>

#include <doctest/doctest.h>

#include "limpet/wire/codec.h"
#include "membership/fake_network.h"

namespace limpet {
namespace {

constexpr int kDataCentres = 18;
constexpr int kMembersPerDataCentre = 294;

std::string NameOf(int data_centre, int index) {
  return "node-" + std::to_string(data_centre) + "-" + std::to_string(index);
}

std::string DataCentreOf(int data_centre) {
  return "dc-" + std::to_string(data_centre);
}

/// 294 members of one data centre and 3 of each of 17 others.
void StartMeasured(FakeNetwork& network) {
  for (int i = 0; i < 3; ++i) {
    network.seeds.push_back({NameOf(0, i), 7000});
  }
  for (int data_centre = 0; data_centre < kDataCentres; ++data_centre) {
    const int count = data_centre == 0 ? kMembersPerDataCentre : 3;
    for (int i = 0; i < count; ++i) {
      network.Start(NameOf(data_centre, i), DataCentreOf(data_centre), 1'000'000'000 + i);
      network.Run(std::chrono::milliseconds(20));
    }
  }
  network.Run(std::chrono::seconds(60));
}

/// Runs until `holds` for all running members; returns the time taken, at most 30 s.
template <typename Condition>
double SecondsUntilAll(FakeNetwork& network, Condition holds) {
  const TimePoint start = network.now();
  std::vector<std::string> waiting = network.Running();
  while (!waiting.empty() && network.now() - start < std::chrono::seconds(30)) {
    network.Run(std::chrono::milliseconds(10));
    std::erase_if(waiting, [&](const std::string& name) { return holds(network.At(name)); });
  }
  return std::chrono::duration<double>(network.now() - start).count();
}

int64_t TotalOf(FakeNetwork& network, const std::string& counter) {
  int64_t total = 0;
  for (const std::string& name : network.Running()) {
    total += network.CountersOf(name).Get(counter).value();
  }
  return total;
}

double Median(std::vector<double> values) {
  std::ranges::sort(values);
  return values[values.size() / 2];
}

TEST_CASE("measure: dissemination, detection and quiet traffic" * doctest::skip()) {
  FakeNetwork network(1);
  StartMeasured(network);
  const auto members = static_cast<double>(network.Running().size());
  for (const std::string& name : network.Running()) {
    CHECK(network.At(name).Members().size() == network.Running().size());
  }

  const int64_t quiet = TotalOf(network, "membership_bytes_sent");
  const int64_t gateway_quiet =
      network.CountersOf(network.At(NameOf(0, 0)).Gateways("dc-0")[0].name)
          .Get("membership_bytes_sent")
          .value();
  network.Run(std::chrono::seconds(60));
  std::printf(
      "quiet: %.0f bytes/s sent per member, %.0f per gateway of %d data centres\n",
      static_cast<double>(TotalOf(network, "membership_bytes_sent") - quiet) / 60 / members,
      static_cast<double>(network.CountersOf(network.At(NameOf(0, 0)).Gateways("dc-0")[0].name)
                              .Get("membership_bytes_sent")
                              .value() -
                          gateway_quiet) /
          60,
      kDataCentres);

  std::vector<double> updates;
  std::vector<double> bytes;
  std::vector<double> detections;
  std::vector<double> spreads;
  for (int i = 10; i < 30; ++i) {
    const std::string name = NameOf(0, i);
    const int64_t before = TotalOf(network, "membership_bytes_sent");
    network.Do(name, [](Membership& membership, TimePoint now, ControlOutput& output) {
      membership.SetTargetState(now, wire::TargetState::kUp, output);
    });
    updates.push_back(SecondsUntilAll(network, [&](Membership& membership) {
      return membership.Find(name)->target_state == wire::TargetState::kUp;
    }));
    network.Run(std::chrono::seconds(10));
    bytes.push_back(
        static_cast<double>(TotalOf(network, "membership_bytes_sent") - before - (quiet * 0)));
  }
  for (int i = 30; i < 50; ++i) {
    const std::string name = NameOf(0, i);
    network.Kill(name);
    const TimePoint killed = network.now();
    const auto is_dead = [&](Membership& membership) {
      return membership.Find(name)->state == wire::MemberState::kDead;
    };
    while (std::ranges::none_of(
        network.Running(), [&](const std::string& other) { return is_dead(network.At(other)); })) {
      network.Run(std::chrono::milliseconds(10));
    }
    detections.push_back(std::chrono::duration<double>(network.now() - killed).count());
    spreads.push_back(SecondsUntilAll(network, is_dead));
  }
  std::printf("update at all %.0f members: median %.2f s, max %.2f s\n", members, Median(updates),
              *std::ranges::max_element(updates));
  std::printf("death declared first: median %.2f s, max %.2f s; then at all: max %.2f s\n",
              Median(detections), *std::ranges::max_element(detections),
              *std::ranges::max_element(spreads));
}

int64_t ResidentBytes() {
  std::ifstream file("/proc/self/statm");
  int64_t total = 0;
  int64_t resident = 0;
  file >> total >> resident;
  return resident * 4096;
}

TEST_CASE("measure: one member table of 5,300" * doctest::skip()) {
  using Clock = std::chrono::steady_clock;
  wire::Envelope reply;
  reply.sender = NameOf(0, 1);
  reply.message.__isset.join_reply = true;
  for (int data_centre = 0; data_centre < kDataCentres; ++data_centre) {
    for (int i = 0; i < kMembersPerDataCentre; ++i) {
      wire::MemberRecord record;
      record.name = NameOf(data_centre, i);
      record.incarnation = 1'000'000'000 + i;
      record.data_centre = DataCentreOf(data_centre);
      record.service_name = "service-" + std::to_string(i * 17 % 740);
      record.host = "10.1.1." + std::to_string(i % 250);
      record.port = 7000;
      record.target_state = wire::TargetState::kUp;
      reply.message.join_reply.members.push_back(record);
    }
  }
  std::printf("full table: %zu members, %zu bytes\n", reply.message.join_reply.members.size(),
              wire::Encode(reply).size());
  Counters counters;
  MembershipOptions options;
  options.name = NameOf(0, 0);
  options.data_centre = DataCentreOf(0);
  options.host = "10.1.1.0";
  options.port = 7000;
  options.incarnation = 1'000'000'001;
  options.seeds = {{"10.1.1.1", 7000}};
  Membership membership(options, Random(1), counters);
  TimePoint now(std::chrono::hours(1));
  ControlOutput output;
  membership.Start(now, output);
  const int64_t before = ResidentBytes();
  const auto joined = Clock::now();
  membership.OnMessage(now, reply, output);
  std::printf("join reply applied in %.1f ms, %.2f MB resident\n",
              std::chrono::duration<double>(Clock::now() - joined).count() * 1e3,
              static_cast<double>(ResidentBytes() - before) / 1e6);
  const auto viewed = Clock::now();
  CHECK(membership.endpoints()->services().size() > 1);
  std::printf("endpoint view built in %.2f ms, with view %.2f MB resident\n",
              std::chrono::duration<double>(Clock::now() - viewed).count() * 1e3,
              static_cast<double>(ResidentBytes() - before) / 1e6);
  const std::clock_t cpu = std::clock();
  constexpr int kSeconds = 600;
  for (int tick = 0; tick < kSeconds * 20; ++tick) {
    now += std::chrono::milliseconds(50);
    output = {};
    membership.Tick(now, output);
    for (const OutgoingMessage& message : output.messages) {
      if (message.envelope.message.__isset.ping) {
        wire::Message ack;
        ack.__isset.ack = true;
        ack.ack.nonce = message.envelope.message.ping.nonce;
        wire::Envelope envelope;
        envelope.sender = NameOf(1, 1);
        envelope.message = ack;
        ControlOutput ignored;
        membership.OnMessage(now, envelope, ignored);
      }
    }
    membership.endpoints();
  }
  std::printf("quiet: %.3f %% of a core\n",
              100.0 * static_cast<double>(std::clock() - cpu) / CLOCKS_PER_SEC / kSeconds);
}

}  // namespace
}  // namespace limpet
