#include <doctest/doctest.h>

#include <array>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "limpet/registry/target_registry.h"

namespace limpet {
namespace {

constexpr const char* kAddress = "10.0.0.1:8080";
constexpr std::size_t kMaxHeartbeatsOnTheWay = 2;
/// Longer than each time limit of the registry but the one of starts that named themselves in their
/// leave.
constexpr Duration kLongPause = std::chrono::seconds(11);

/// Starts of the clock of the target: forward, set back before each start, and not reported.
constexpr std::array<std::array<int64_t, 3>, 3> kStartTimes = {
    {{1000, 2000, 3000}, {3000, 2000, 1000}, {0, 0, 0}}};

/// A target, its node and the messages between them. Messages that were sent may arrive at any
/// time, in any order and more than once, also after a restart of the node.
struct World {
  struct Check {
    int64_t check = 0;
    bool answered = false;
    bool healthy = false;
    std::string instance;
  };

  const std::array<int64_t, 3>* start_times = nullptr;
  TimePoint now{std::chrono::seconds(100)};
  TargetRegistry registry{kAddress, now, 0};
  // The target: index of its start, and what it does.
  std::size_t start = 0;
  int name = 0;
  bool alive = true;
  bool leaving = false;
  int64_t sequence = 0;
  /// A process of the node has acknowledged that this start drains or leaves.
  bool acknowledged = false;
  std::vector<TargetAnnouncement> on_the_way;
  std::optional<Check> check;

  std::string instance() const { return "i-" + std::to_string(name); }
  int64_t start_time_ms() const { return (*start_times)[start]; }

  TargetAnnouncement MakeHeartbeat(bool draining) {
    TargetAnnouncement heartbeat;
    heartbeat.instance = instance();
    heartbeat.service = "desk";
    heartbeat.address = kAddress;
    heartbeat.slots = 4;
    heartbeat.draining = draining;
    heartbeat.sequence = ++sequence;
    heartbeat.start_time_ms = start_time_ms();
    return heartbeat;
  }
  bool IsServing() const { return alive && !leaving; }
  bool HasRoom() const { return on_the_way.size() < kMaxHeartbeatsOnTheWay; }

  /// The target that has the address was told that its leave is known, and is used all the same.
  bool IsLeaveBroken() const {
    const TargetAnnouncement* current = registry.current();
    return current != nullptr && !current->draining && alive && acknowledged &&
           current->instance == instance();
  }
  bool IsInUse() const {
    const TargetAnnouncement* current = registry.current();
    return current != nullptr && !current->draining && current->instance == instance();
  }

  bool SendCheck() {
    const TargetAnnouncement* due = registry.FindCheckDue(now);
    if (check || due == nullptr) {
      return false;
    }
    const std::string candidate = due->instance;
    check = Check{registry.OnCheckSent(now, candidate), false, false, {}};
    return true;
  }
  bool AnswerCheck() {
    if (!check || check->answered) {
      return false;
    }
    check->answered = true;
    check->healthy = IsServing();
    check->instance = instance();
    return true;
  }
  bool DeliverCheck() {
    if (!check || !check->answered) {
      return false;
    }
    if (check->healthy && !registry.OnCheckPassed(check->check, check->instance)) {
      registry.OnDiscovered(check->check, check->instance, "desk", 1);
    }
    check.reset();
    return true;
  }
  void CompleteCheck() {
    AnswerCheck();
    DeliverCheck();
  }
};

struct Action {
  const char* name;
  /// Returns false if the action is not possible.
  bool (*run)(World& world);
};

template <std::size_t kIndex>
bool DeliverHeartbeat(World& world) {
  if (kIndex >= world.on_the_way.size()) {
    return false;
  }
  world.registry.OnAnnouncement(world.now, world.on_the_way[kIndex]);
  return true;
}

bool Leave(World& world, std::optional<int64_t> start_time_ms) {
  if (!world.alive || world.acknowledged) {
    return false;
  }
  world.leaving = true;
  world.registry.OnLeave(world.now, world.instance(), start_time_ms);
  world.acknowledged = true;
  return true;
}

bool StartAgain(World& world, bool same_name) {
  if (world.alive || world.start + 1 >= world.start_times->size()) {
    return false;
  }
  ++world.start;
  world.name += same_name ? 0 : 1;
  world.alive = true;
  world.leaving = false;
  world.acknowledged = false;
  world.sequence = 0;
  return true;
}

constexpr std::array kActions = {
    Action{"heartbeat sent",
           [](World& world) {
             if (!world.IsServing() || !world.HasRoom()) {
               return false;
             }
             world.on_the_way.push_back(world.MakeHeartbeat(false));
             return true;
           }},
    Action{"first heartbeat arrives", DeliverHeartbeat<0>},
    Action{"second heartbeat arrives", DeliverHeartbeat<1>},
    Action{"heartbeats lost",
           [](World& world) {
             const bool any = !world.on_the_way.empty();
             world.on_the_way.clear();
             return any;
           }},
    Action{"draining acknowledged",
           [](World& world) {
             if (!world.alive || world.acknowledged) {
               return false;
             }
             world.leaving = true;
             const TargetAnnouncement heartbeat = world.MakeHeartbeat(true);
             world.registry.OnAnnouncement(world.now, heartbeat);
             world.acknowledged = true;
             if (world.HasRoom()) {
               world.on_the_way.push_back(heartbeat);
             }
             return true;
           }},
    Action{"leave acknowledged", [](World& world) { return Leave(world, std::nullopt); }},
    Action{"leave with start time acknowledged",
           [](World& world) { return Leave(world, world.start_time_ms()); }},
    Action{"target ends",
           [](World& world) {
             const bool was_alive = world.alive;
             world.alive = false;
             return was_alive;
           }},
    Action{"target starts under the same name",
           [](World& world) { return StartAgain(world, true); }},
    Action{"target starts under another name",
           [](World& world) { return StartAgain(world, false); }},
    Action{"node restarts",
           [](World& world) {
             world.registry = TargetRegistry(kAddress, world.now, 0);
             world.check.reset();
             return true;
           }},
    Action{"check sent", [](World& world) { return world.SendCheck(); }},
    Action{"check answered", [](World& world) { return world.AnswerCheck(); }},
    Action{"check arrives", [](World& world) { return world.DeliverCheck(); }},
    Action{"time passes",
           [](World& world) {
             world.now += kLongPause;
             return true;
           }},
};

/// Returns whether a target that serves is in use after its next heartbeat and one health check.
bool IsUsedAtOnce(World world) {
  if (!world.IsServing()) {
    return true;
  }
  world.CompleteCheck();
  world.registry.OnAnnouncement(world.now, world.MakeHeartbeat(false));
  if (world.SendCheck()) {
    world.CompleteCheck();
  }
  return world.IsInUse();
}

class Explorer {
 public:
  int64_t states() const { return states_; }
  const std::string& failure() const { return failure_; }

  void Explore(const World& world, int depth) {
    ++states_;
    if (!failure_.empty()) {
      return;
    }
    if (world.IsLeaveBroken()) {
      Fail("a target is in use after its leave was acknowledged:");
    } else if (!IsUsedAtOnce(world)) {
      Fail("a target that serves is not used after a heartbeat and a health check:");
    } else if (depth > 0) {
      for (const Action& action : kActions) {
        World next = world;
        if (action.run(next)) {
          path_.push_back(action.name);
          Explore(next, depth - 1);
          path_.pop_back();
        }
      }
    }
  }

 private:
  void Fail(const std::string& problem) {
    failure_ = problem;
    for (const char* step : path_) {
      failure_ += std::string("\n  ") + step;
    }
  }

  int64_t states_ = 0;
  std::vector<const char*> path_;
  std::string failure_;
};

// Guards against requests to a target whose leave was acknowledged, and against a sound target that
// is not used: restarts of the node, late heartbeats and health checks in all orders.
TEST_CASE("leaves bind and new starts are used in all orders of up to eight events") {
  constexpr int kDepth = 8;
  for (const auto& start_times : kStartTimes) {
    World world;
    world.start_times = &start_times;
    Explorer explorer;
    explorer.Explore(world, kDepth);
    INFO("start times from ", start_times[0]);
    CHECK_MESSAGE(explorer.failure().empty(), explorer.failure());
    CHECK(explorer.states() > 100'000);
  }
}

}  // namespace
}  // namespace limpet
