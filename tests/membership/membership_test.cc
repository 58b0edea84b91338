#include <algorithm>
#include <set>

#include <doctest/doctest.h>

#include "limpet/wire/codec.h"
#include "membership/fake_network.h"

namespace limpet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using wire::MemberState;
using wire::TargetState;

/// Starts members m0, m1, ... and runs them for 15 s. Member i is in data centre i % data_centres.
FakeNetwork MakeNetwork(int members, int data_centres, uint64_t seed = 1) {
  FakeNetwork network(seed);
  for (int i = 0; i < 3; ++i) {
    network.seeds.push_back({"m" + std::to_string(i), 7000});
  }
  for (int i = 0; i < members; ++i) {
    network.Start("m" + std::to_string(i), "dc" + std::to_string(i % data_centres), 1000);
  }
  network.Run(seconds(15));
  return network;
}

void SetTarget(FakeNetwork& network, const std::string& name, TargetState::type target) {
  network.Execute(name, [&](Membership& node, TimePoint now, ControlOutput& output) {
    node.SetTargetState(now, target, output);
  });
}

MemberState::type FindState(FakeNetwork& network,
                            const std::string& viewer,
                            const std::string& name) {
  const wire::MemberRecord* record = network.At(viewer).Find(name);
  REQUIRE(record != nullptr);
  return record->state;
}

TEST_CASE("all members know of a leaving member and a draining target within 2 s") {
  FakeNetwork network = MakeNetwork(40, 4);
  for (int i = 0; i < 40; ++i) {
    SetTarget(network, "m" + std::to_string(i), TargetState::kUp);
  }
  network.Run(seconds(2));
  for (const std::string& name : network.RunningMembers()) {
    CHECK(network.At(name).endpoints()->EndpointsOf("desk").size() == 40);
  }
  network.loss = 0.05;
  SetTarget(network, "m7", TargetState::kDraining);
  network.Execute("m9", [](Membership& node, TimePoint now, ControlOutput& output) {
    node.Leave(now, output);
  });
  network.Run(seconds(2));
  for (const std::string& name : network.RunningMembers()) {
    CHECK(FindState(network, name, "m9") == MemberState::kLeft);
    if (name != "m9") {  // a member that has left gets no further updates
      CHECK(network.At(name).endpoints()->EndpointsOf("desk").size() == 38);
    }
  }
}

TEST_CASE("a paused member is suspected, refutes the suspicion and is never declared dead") {
  FakeNetwork network = MakeNetwork(6, 1);
  bool was_suspect = false;
  bool was_dead = false;
  network.observer = [&](const std::string& viewer) {
    const wire::MemberRecord* record = network.At(viewer).Find("m4");
    was_suspect = was_suspect || record->state == MemberState::kSuspect;
    was_dead = was_dead || record->state == MemberState::kDead;
  };
  network.is_paused = [](const std::string& name) { return name == "m4"; };
  network.Run(seconds(4));
  network.is_paused = [](const std::string&) { return false; };
  network.Run(seconds(10));
  CHECK(was_suspect);
  CHECK_FALSE(was_dead);
  for (const std::string& name : network.RunningMembers()) {
    CHECK(FindState(network, name, "m4") == MemberState::kAlive);
  }
}

TEST_CASE(
    "a partitioned data centre becomes unreachable as a whole and recovers after the partition") {
  FakeNetwork network = MakeNetwork(12, 3);
  for (const std::string& name : network.RunningMembers()) {
    SetTarget(network, name, TargetState::kUp);
  }
  network.Run(seconds(3));
  const auto is_in_dc1 = [](const std::string& name) { return std::stoi(name.substr(1)) % 3 == 1; };
  network.is_cut = [&](const std::string& from, const std::string& to) {
    return is_in_dc1(from) != is_in_dc1(to);
  };
  network.Run(seconds(20));
  const auto endpoints = network.At("m0").endpoints()->EndpointsOf("desk");
  CHECK(endpoints.size() == 12);
  for (const Endpoint& endpoint : endpoints) {
    CHECK(endpoint.reachable == (endpoint.data_centre != "dc1"));
    CHECK(FindState(network, "m0", endpoint.node) == MemberState::kAlive);
  }
  SetTarget(network, "m4", TargetState::kDraining);
  network.is_cut = [](const std::string&, const std::string&) { return false; };
  network.Run(seconds(5));
  for (const std::string& name : network.RunningMembers()) {
    CHECK(network.At(name).IsDataCentreReachable("dc1"));
    CHECK(network.At(name).Find("m4")->target_state == TargetState::kDraining);
  }
}

// Guards against two sides that send relayed updates only to dead gateways of each other.
TEST_CASE("two data centres that lose all gateways at the same time exchange updates again") {
  FakeNetwork network = MakeNetwork(10, 2);
  std::set<std::string> killed;
  for (const char* data_centre : {"dc0", "dc1"}) {
    for (const wire::MemberRecord& gateway : network.At("m0").Gateways(data_centre)) {
      killed.insert(gateway.name);
    }
  }
  for (const std::string& name : killed) {
    network.Kill(name);
  }
  network.Run(seconds(30));
  for (const std::string& viewer : network.RunningMembers()) {
    for (const std::string& name : killed) {
      CHECK(FindState(network, viewer, name) == MemberState::kDead);
    }
  }
}

// Guards against groups whose members ping each other as unknown processes but never exchange
// tables.
TEST_CASE("two groups that have removed each other's records merge when the partition ends") {
  FakeNetwork network = MakeNetwork(8, 1);
  const auto is_in_first_half = [](const std::string& name) {
    return std::stoi(name.substr(1)) < 4;
  };
  network.is_cut = [&](const std::string& from, const std::string& to) {
    return is_in_first_half(from) != is_in_first_half(to);
  };
  network.Run(std::chrono::minutes(12));
  CHECK(network.At("m0").Members().size() == 4);
  CHECK(network.At("m7").Members().size() == 4);
  network.is_cut = [](const std::string&, const std::string&) { return false; };
  network.Run(seconds(30));
  for (const std::string& name : network.RunningMembers()) {
    CHECK(network.At(name).LiveInDataCentre().size() == 8);
  }
}

TEST_CASE("a member restarted with a lower incarnation raises it above that of its older record") {
  FakeNetwork network = MakeNetwork(5, 1);
  network.Start("m3", "dc0", 10);
  network.Run(seconds(3));
  CHECK(network.At("m3").local().incarnation > 1000);
  for (const std::string& name : network.RunningMembers()) {
    CHECK(*network.At(name).Find("m3") == network.At("m3").local());
  }
}

TEST_CASE("a member whose seeds do not reply starts alone after 2 s") {
  FakeNetwork network(1);
  network.seeds = {{"absent", 7000}};
  network.Start("m0", "dc0", 1);
  network.Run(milliseconds(1900));
  CHECK_FALSE(network.At("m0").joined());
  network.Run(milliseconds(200));
  CHECK(network.At("m0").joined());
}

// Without the limit, each seed would send hundreds of full tables when a data centre restarts.
TEST_CASE("the number of full join replies is limited and the others name members to ask") {
  FakeNetwork network = MakeNetwork(6, 1);
  int full = 0;
  int partial = 0;
  for (int i = 0; i < 20; ++i) {
    wire::MemberRecord joining = network.At("m1").local();
    joining.name = joining.host = "new" + std::to_string(i);
    wire::Message message;
    message.__isset.join_request = true;
    message.join_request.member = joining;
    ControlOutput output;
    network.At("m0").OnMessage(network.now(), MakeEnvelope(joining, message), output);
    const wire::JoinReply& reply = output.messages.back().envelope.message.join_reply;
    CHECK(reply.members.size() > 1);
    ++(reply.partial ? partial : full);
  }
  CHECK(full == 4);
  CHECK(partial == 16);
}

TEST_CASE("gossip never exceeds 1,200 bytes in one datagram") {
  FakeNetwork network = MakeNetwork(3, 1);
  Membership& node = network.At("m0");
  ControlOutput output;
  for (int i = 0; i < 100; ++i) {
    wire::MemberRecord record = network.At("m1").local();
    record.name = "a-member-with-a-fairly-long-name-" + std::to_string(i);
    wire::Message message;
    message.__isset.gossip = true;
    message.gossip.updates = {record};
    node.OnMessage(network.now(), MakeEnvelope(network.At("m1").local(), message), output);
  }
  output = {};
  for (int tick = 1; tick <= 40; ++tick) {
    node.Tick(network.now() + tick * milliseconds(50), output);
  }
  std::size_t largest = 0;
  for (const OutgoingMessage& message : output.messages) {
    if (message.envelope.message.__isset.gossip) {
      largest = std::max(largest, wire::Encode(message.envelope).size());
    }
  }
  CHECK(largest > 800);
  CHECK(largest <= 1200);
}

TEST_CASE("pings and acks carry version and readiness of a member") {
  FakeNetwork network = MakeNetwork(3, 1);
  network.At("m1").set_version(42);
  network.At("m1").set_ready(true);
  network.At("m0").TakeReportedVersions();
  network.Run(seconds(3));
  const std::vector<ReportedVersion> reported = network.At("m0").TakeReportedVersions();
  const auto it = std::ranges::find(reported, "m1", &ReportedVersion::name);
  REQUIRE(it != reported.end());
  CHECK(it->version == 42);
  CHECK(it->ready == true);
  CHECK(it->address == PeerAddress{"m1", 7000});
  CHECK(network.At("m0").TakeReportedVersions().empty());
}

// Request threads compare pointers, so a rebuilt but equal view would cause work in each of them.
TEST_CASE("the endpoint view is rebuilt only when a callable endpoint changes") {
  FakeNetwork network = MakeNetwork(4, 1);
  const EndpointViewPtr before = network.At("m0").endpoints();
  network.Run(seconds(20));
  CHECK(network.At("m0").endpoints() == before);
  SetTarget(network, "m2", TargetState::kUp);
  network.Run(seconds(2));
  CHECK(network.At("m0").endpoints() != before);
}

}  // namespace
}  // namespace limpet
