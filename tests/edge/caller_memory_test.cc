#include "limpet/edge/caller_memory.h"

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace limpet::edge {
namespace {

/// Connections that note the order in which they are closed.
struct Fixture {
  std::shared_ptr<CallerMemory> memory = std::make_shared<CallerMemory>(
      CallerMemoryLimits{.total_bytes = 800, .body_bytes = 300, .connections = 3});
  std::vector<std::string> closed;

  struct Connection {
    Connection(Fixture& fixture, const std::string& name)
        : account(fixture.memory, [this, &fixture, name] {
            fixture.closed.push_back(name);
            account.Disconnect();
            account.SetUse(0, 0);
          }) {}
    CallerMemory::Account account;
  };
};

TEST_CASE_FIXTURE(Fixture, "connections that have been writing for longest are closed first") {
  Connection idle(*this, "idle");
  Connection late(*this, "late");
  Connection early(*this, "early");
  idle.account.SetUse(100, 0);
  early.account.SetUse(300, 0);
  late.account.SetUse(300, 0);
  early.account.SetActivity(CallerActivity::kWriting);
  late.account.SetActivity(CallerActivity::kWriting);
  CHECK_FALSE(memory->IsShort());
  CHECK(memory->MakeRoom(nullptr));
  CHECK(closed.empty());
  late.account.SetUse(301, 0);
  CHECK(memory->IsShort());
  CHECK(memory->MakeRoom(nullptr));
  CHECK(closed == std::vector<std::string>{"early"});
  CHECK(memory->bytes() == 401);
  CHECK(memory->totals() == CallerMemory::Totals{.closed_writing = 1});
}

// Guards against a response that closes its own connection when it does not fit.
TEST_CASE_FIXTURE(Fixture, "the connection that needs room and busy ones are not closed") {
  Connection own(*this, "own");
  Connection busy(*this, "busy");
  Connection idle(*this, "idle");
  own.account.SetActivity(CallerActivity::kWriting);
  busy.account.SetActivity(CallerActivity::kBusy);
  own.account.SetUse(500, 0);
  busy.account.SetUse(500, 0);
  CHECK_FALSE(memory->MakeRoom(&own.account));
  CHECK(closed == std::vector<std::string>{"idle"});
  CHECK(memory->totals() == CallerMemory::Totals{.closed_idle = 1});
}

TEST_CASE_FIXTURE(Fixture, "a new connection takes the place of the one idle for longest") {
  Connection first(*this, "first");
  Connection second(*this, "second");
  CHECK(memory->MakeRoomForConnection());
  Connection third(*this, "third");
  second.account.SetActivity(CallerActivity::kWriting);
  first.account.SetActivity(CallerActivity::kBusy);
  first.account.SetActivity(CallerActivity::kIdle);
  CHECK(memory->MakeRoomForConnection());
  CHECK(closed == std::vector<std::string>{"third"});
  CHECK(memory->connections() == 2);
}

TEST_CASE_FIXTURE(Fixture, "a new connection is refused while all others are busy") {
  std::vector<std::unique_ptr<Connection>> busy;
  for (int i = 0; i < 3; ++i) {
    busy.push_back(std::make_unique<Connection>(*this, "busy"));
    busy.back()->account.SetActivity(CallerActivity::kBusy);
  }
  CHECK_FALSE(memory->MakeRoomForConnection());
  CHECK(memory->totals() == CallerMemory::Totals{.refused_connections = 1});
  busy.pop_back();
  CHECK(memory->MakeRoomForConnection());
}

// Guards against a caller that sends requests and disconnects, while their handlers hold them.
TEST_CASE_FIXTURE(Fixture, "the memory of a closed connection counts until its account ends") {
  std::optional<Connection> connection;
  connection.emplace(*this, "gone");
  connection->account.SetActivity(CallerActivity::kBusy);
  connection->account.SetUse(790, 290);
  connection->account.Disconnect();
  CHECK(memory->connections() == 0);
  CHECK(memory->IsShort());
  CHECK(memory->HasRoomForBodies());
  CHECK_FALSE(memory->MakeRoom(nullptr));
  connection.reset();
  CHECK(memory->bytes() == 0);
  CHECK(memory->body_bytes() == 0);
}

TEST_CASE("the limits of a process leave descriptors and memory for everything else") {
  const CallerMemoryLimits small = MakeCallerMemoryLimits(160, 1024, 1);
  CHECK(small.total_bytes == 64'000'000);
  CHECK(small.body_bytes == 40'000'000);
  CHECK(small.connections == 512);
  CHECK(MakeCallerMemoryLimits(260, 1024, 2).connections == 256);
  CHECK(MakeCallerMemoryLimits(260, 65'536, 1).connections == 64'768);
  CHECK(MakeCallerMemoryLimits(16, 1, 2).connections == 1);
}

}  // namespace
}  // namespace limpet::edge
