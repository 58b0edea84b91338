#include "limpet/traffic/target_gate.h"

#include <doctest/doctest.h>

namespace limpet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Reason = wire::RefusalReason;

constexpr TimePoint kStart{seconds(100)};

TargetAnnouncement MakeTarget(int slots, bool draining = false) {
  TargetAnnouncement target;
  target.instance = "i-1";
  target.service = "desk";
  target.slots = slots;
  target.draining = draining;
  return target;
}

GateCall MakeCall(const std::string& key, int priority = 1) {
  GateCall call;
  call.key = key;
  call.request_id = "request-" + key;
  call.service = "desk";
  call.instance = "i-1";
  call.route = "lots";
  call.priority = priority;
  call.deadline = kStart + seconds(2);
  call.latency_target = kStart + milliseconds(400);
  return call;
}

struct Fixture {
  TargetGate gate{TargetGateOptions{}};

  explicit Fixture(int slots = 2) {
    const TargetAnnouncement target = MakeTarget(slots);
    gate.SetTarget(kStart, &target);
  }
  void RecordServiceTime(Duration service_time) {
    for (int i = 0; i < 50; ++i) {
      const std::string key = "sample" + std::to_string(i);
      gate.Admit(kStart - service_time, MakeCall(key));
      gate.Finish(kStart, key, TargetResult::kSucceeded);
    }
  }
};

TEST_CASE_FIXTURE(Fixture, "the target never runs more requests than it has slots") {
  CHECK(gate.Admit(kStart, MakeCall("a")).verdict == GateVerdict::kStart);
  CHECK(gate.Admit(kStart, MakeCall("b")).verdict == GateVerdict::kStart);
  CHECK(gate.Admit(kStart, MakeCall("c")).verdict == GateVerdict::kQueue);
  const auto events = gate.Finish(kStart + milliseconds(50), "a", TargetResult::kSucceeded);
  REQUIRE(events.size() == 1);
  CHECK(events[0].key == "c");
  CHECK(events[0].starts);
  CHECK(gate.running() == 2);
}

TEST_CASE_FIXTURE(Fixture, "the most urgent request in the queue starts first") {
  gate.Admit(kStart, MakeCall("a"));
  gate.Admit(kStart, MakeCall("b"));
  gate.Admit(kStart, MakeCall("plain", 2));
  gate.Admit(kStart, MakeCall("urgent", 0));
  const auto events = gate.Finish(kStart, "a", TargetResult::kSucceeded);
  REQUIRE(events.size() == 1);
  CHECK(events[0].key == "urgent");
}

GateCall MakeUpload(const std::string& key, Duration body_delay = milliseconds(50)) {
  GateCall call = MakeCall(key);
  call.body_pending = true;
  call.body_delay = body_delay;
  return call;
}

// Large request bodies on a narrow link: a slot that waits for a body would serve nobody.
TEST_CASE_FIXTURE(Fixture, "a call whose body is still to be received holds no slot") {
  CHECK(gate.Admit(kStart, MakeUpload("upload1")).verdict == GateVerdict::kQueue);
  CHECK(gate.Admit(kStart, MakeUpload("upload2")).verdict == GateVerdict::kQueue);
  CHECK(gate.Admit(kStart, MakeCall("small")).verdict == GateVerdict::kStart);
  CHECK(gate.Tick(kStart).empty());
  const auto events = gate.OnBody(kStart + milliseconds(50), "upload2");
  REQUIRE(events.size() == 1);
  CHECK(events[0].key == "upload2");
  CHECK(events[0].starts);
  CHECK(gate.running() == 2);
  CHECK(gate.OnBody(kStart + milliseconds(60), "upload1").empty());
  const auto next = gate.Finish(kStart + milliseconds(70), "small", TargetResult::kSucceeded);
  REQUIRE(next.size() == 1);
  CHECK(next[0].key == "upload1");
}

// Guards against bodies that are sent to a target that refuses their request.
TEST_CASE_FIXTURE(Fixture, "an upload without a free slot or in time is refused before its body") {
  GateCall immediate = MakeUpload("immediate");
  immediate.free_slot_only = true;
  CHECK(gate.Admit(kStart, immediate).verdict == GateVerdict::kQueue);
  CHECK(gate.Admit(kStart, MakeUpload("second")).verdict == GateVerdict::kQueue);
  immediate.key = "third";
  CHECK(gate.Admit(kStart, immediate).verdict == GateVerdict::kRefuse);
  const GateDecision late = gate.Admit(kStart, MakeUpload("late", milliseconds(500)));
  CHECK(late.verdict == GateVerdict::kRefuse);
  CHECK(late.outcome == wire::Outcome::kNotRun);
  CHECK(late.retry_after > Duration(0));
}

TEST_CASE_FIXTURE(Fixture, "a call whose body does not arrive is refused at its deadline") {
  GateCall upload = MakeUpload("upload");
  upload.idempotent = false;
  gate.Admit(kStart, upload);
  const auto events = gate.Tick(upload.deadline);
  REQUIRE(events.size() == 1);
  CHECK_FALSE(events[0].starts);
  CHECK(gate.OnBody(upload.deadline, "upload").empty());
  CHECK(gate.running() == 0);
  CHECK(gate.Admit(upload.deadline, MakeCall("next")).reason == Reason::kDeadlinePassed);
}

// Guards against a reported slowdown that depends on which routes the target happens to serve.
TEST_CASE_FIXTURE(Fixture,
                  "the reported slowdown is relative to the typical service time of each route") {
  const auto run = [this](const std::string& key, Duration typical, Duration took) {
    GateCall call = MakeCall(key);
    call.typical_service_time = typical;
    gate.Admit(kStart - took, call);
    gate.Finish(kStart, key, TargetResult::kSucceeded);
  };
  CHECK(gate.Status(kStart).slowdown_permille == 0);
  for (int i = 0; i < 40; ++i) {
    run("short" + std::to_string(i), milliseconds(20), milliseconds(40));
    run("long" + std::to_string(i), milliseconds(200), milliseconds(400));
    // Without a typical service time there is no slowdown sample.
    run("unknown" + std::to_string(i), Duration(0), milliseconds(90));
  }
  CHECK(gate.Status(kStart).slowdown_permille == 2000);
  CHECK(gate.Status(kStart + seconds(5)).slowdown_permille == 0);
}

TEST_CASE_FIXTURE(Fixture,
                  "a call that would be late is refused on arrival with an estimated retry time") {
  RecordServiceTime(milliseconds(150));
  int queued = 0;
  GateDecision decision;
  for (int i = 0; i < 20; ++i) {
    decision = gate.Admit(kStart, MakeCall("k" + std::to_string(i)));
    queued += decision.verdict == GateVerdict::kQueue ? 1 : 0;
  }
  // Two slots with a service time of 150 ms free one slot every 75 ms. The latency target of 400 ms
  // minus 150 ms and a margin of a quarter leaves time for two queued calls.
  CHECK(queued == 2);
  CHECK(decision.verdict == GateVerdict::kRefuse);
  CHECK(decision.outcome == wire::Outcome::kNotRun);
  CHECK(decision.reason == Reason::kOverloaded);
  CHECK(decision.retry_after > milliseconds(200));
}

// Admission also considers the VM's network link. Guards against large responses that are admitted
// into free slots and then wait over a second for the link.
TEST_CASE_FIXTURE(Fixture, "a large response is refused when the link cannot send it in time") {
  RecordServiceTime(milliseconds(100));
  GateCall call = MakeCall("large");
  call.link_transmission_time = milliseconds(60);
  call.link_queueing_delay = milliseconds(500);
  const GateDecision refused = gate.Admit(kStart, call);
  CHECK(refused.verdict == GateVerdict::kRefuse);
  CHECK(refused.reason == Reason::kOverloaded);
  CHECK(refused.retry_after >= milliseconds(160));
  call.accepts_late = true;
  CHECK(gate.Admit(kStart, call).verdict == GateVerdict::kRefuse);
  // The link sends the responses ahead while the target processes the request.
  call.link_queueing_delay = milliseconds(100);
  CHECK(gate.Admit(kStart, call).verdict == GateVerdict::kStart);
}

TEST_CASE("calls are kept when the announcement of a discovered target adds its start time") {
  TargetGate gate{TargetGateOptions{}};
  TargetAnnouncement target = MakeTarget(1);
  gate.SetTarget(kStart, &target);
  gate.Admit(kStart, MakeCall("runs"));
  gate.Admit(kStart, MakeCall("waits"));
  target.start_time_ms = 1000;
  CHECK(gate.SetTarget(kStart, &target).empty());
  CHECK(gate.queued() == 1);
}

// Guards against a target that looks fast, and therefore attracts requests, because it fails them
// quickly.
TEST_CASE_FIXTURE(Fixture, "fast failures do not lower the reported slowdown") {
  for (int i = 0; i < 20; ++i) {
    GateCall call = MakeCall(std::to_string(i));
    call.typical_service_time = milliseconds(100);
    gate.Admit(kStart - milliseconds(i % 2 == 0 ? 100 : 1), call);
    gate.Finish(kStart, call.key, i % 2 == 0 ? TargetResult::kSucceeded : TargetResult::kFailed);
  }
  CHECK(gate.Status(kStart).slowdown_permille == 1000);
}

TEST_CASE_FIXTURE(Fixture, "a small response is admitted without regard to the link") {
  RecordServiceTime(milliseconds(100));
  CHECK(gate.Admit(kStart, MakeCall("small")).verdict == GateVerdict::kStart);
}

// Load shedding after a restart. Guards against a gate without samples that queues hundreds of
// requests, all of which end late.
TEST_CASE_FIXTURE(Fixture, "a gate without samples queues only calls that can complete in time") {
  const auto queue = [this](Duration typical) {
    int queued = 0;
    for (int i = 0; i < 50; ++i) {
      GateCall call = MakeCall(std::to_string(typical.count()) + "/" + std::to_string(i));
      call.typical_service_time = typical;
      queued += gate.Admit(kStart, call).verdict == GateVerdict::kQueue ? 1 : 0;
    }
    return queued;
  };
  SUBCASE("the typical service time of the route is known") {
    // The latency target of 400 ms minus 125 ms for the request leaves 275 ms. Two slots with a
    // service time of 100 ms free one slot every 50 ms.
    CHECK(queue(milliseconds(100)) == 5);
  }
  SUBCASE("only the latency target is known") {
    const int queued = queue(Duration(0));
    CHECK(queued > 0);
    CHECK(queued <= 4);
  }
}

// Load shedding by priority. Guards against less urgent requests that are queued although more
// urgent ones keep overtaking them, and that end late.
TEST_CASE_FIXTURE(Fixture,
                  "less urgent calls are refused earlier while urgent ones use most slots") {
  const auto queue_plain = [this] {
    int queued = 0;
    for (int i = 0; i < 20; ++i) {
      const auto verdict = gate.Admit(kStart, MakeCall("plain" + std::to_string(i), 2)).verdict;
      queued += verdict == GateVerdict::kQueue ? 1 : 0;
    }
    return queued;
  };
  for (int i = 0; i < 24; ++i) {
    const std::string key = "urgent" + std::to_string(i);
    gate.Admit(kStart - milliseconds(100), MakeCall(key, 0));
    gate.Finish(kStart, key, TargetResult::kSucceeded);
  }
  gate.Admit(kStart, MakeCall("a", 0));
  gate.Admit(kStart, MakeCall("b", 0));
  // 60% of the slot time went to urgent requests, so a slot for others is free every 125 ms instead
  // of every 50 ms.
  CHECK(queue_plain() == 2);
}

TEST_CASE_FIXTURE(Fixture, "a call that accepts a late response may be queued until its deadline") {
  RecordServiceTime(milliseconds(150));
  for (int i = 0; i < 5; ++i) {
    gate.Admit(kStart, MakeCall("k" + std::to_string(i)));
  }
  GateCall late = MakeCall("late");
  CHECK(gate.Admit(kStart, late).verdict == GateVerdict::kRefuse);
  late.accepts_late = true;
  CHECK(gate.Admit(kStart, late).verdict == GateVerdict::kQueue);
}

TEST_CASE_FIXTURE(Fixture, "a copy of a non-idempotent request never runs a second time") {
  CHECK(gate.Admit(kStart, MakeCall("a")).verdict == GateVerdict::kStart);
  CHECK(gate.Admit(kStart, MakeCall("a")).verdict == GateVerdict::kAttach);
  gate.Finish(kStart, "a", TargetResult::kNoValidResponse);
  const GateDecision copy = gate.Admit(kStart + milliseconds(1), MakeCall("a"));
  CHECK(copy.verdict == GateVerdict::kRefuse);
  CHECK(copy.outcome == wire::Outcome::kUnknown);
}

TEST_CASE_FIXTURE(Fixture, "draining refuses queued and new calls and lets running ones finish") {
  gate.Admit(kStart, MakeCall("a"));
  gate.Admit(kStart, MakeCall("b"));
  gate.Admit(kStart, MakeCall("c"));
  const TargetAnnouncement draining = MakeTarget(2, true);
  const auto events = gate.SetTarget(kStart, &draining);
  REQUIRE(events.size() == 1);
  CHECK_FALSE(events[0].starts);
  CHECK(events[0].reason == Reason::kDraining);
  CHECK(gate.running() == 2);
  CHECK(gate.Admit(kStart, MakeCall("d")).reason == Reason::kDraining);
  CHECK(gate.Finish(kStart, "a", TargetResult::kSucceeded).empty());
}

TEST_CASE_FIXTURE(Fixture, "calls for another target instance or service are refused") {
  GateCall other = MakeCall("a");
  other.instance = "i-0";
  CHECK(gate.Admit(kStart, other).reason == Reason::kWrongIncarnation);
  other = MakeCall("a");
  other.service = "store";
  CHECK(gate.Admit(kStart, other).reason == Reason::kTargetUnavailable);
}

// Guards against targets that are taken out of use under load although they serve most requests.
TEST_CASE_FIXTURE(Fixture,
                  "kept connections that end without a response do not make a target down") {
  for (const char* key : {"a", "b", "c", "d"}) {
    gate.Admit(kStart, MakeCall(key));
    gate.Finish(kStart, key, TargetResult::kConnectionClosed);
  }
  CHECK(gate.Status(kStart).state == wire::TargetState::kUp);
}

TEST_CASE_FIXTURE(Fixture,
                  "a target that stops responding counts as down except for one trial request") {
  for (int i = 0; i < 3; ++i) {
    const std::string key = "k" + std::to_string(i);
    gate.Admit(kStart, MakeCall(key));
    gate.Finish(kStart, key, TargetResult::kNoValidResponse);
  }
  CHECK(gate.Status(kStart).state == wire::TargetState::kDown);
  CHECK(gate.Admit(kStart, MakeCall("x")).reason == Reason::kTargetUnavailable);
  const TimePoint later = kStart + milliseconds(501);
  CHECK(gate.Admit(later, MakeCall("trial")).verdict == GateVerdict::kStart);
  CHECK(gate.Admit(later, MakeCall("y")).reason == Reason::kTargetUnavailable);
  gate.Finish(later, "trial", TargetResult::kSucceeded);
  CHECK(gate.Status(later).state == wire::TargetState::kUp);
}

TEST_CASE_FIXTURE(Fixture, "a queued call is refused at its deadline") {
  gate.Admit(kStart, MakeCall("a"));
  gate.Admit(kStart, MakeCall("b"));
  gate.Admit(kStart, MakeCall("c"));
  const auto events = gate.Tick(kStart + seconds(2));
  REQUIRE(events.size() == 1);
  CHECK(events[0].key == "c");
  CHECK(events[0].reason == Reason::kQueueTimeout);
}

// Guards against an account with many times its usual load that takes all slots of a target while
// the others wait behind its backlog.
TEST_CASE_FIXTURE(Fixture, "a hot account does not delay the calls of another account") {
  const auto call_of = [](const std::string& key, const std::string& account) {
    GateCall call = MakeCall(key);
    call.account = account;
    call.typical_service_time = milliseconds(100);
    call.latency_target = kStart + seconds(10);
    call.deadline = kStart + seconds(20);
    return call;
  };
  REQUIRE(gate.Admit(kStart, call_of("hot-0", "hot")).verdict == GateVerdict::kStart);
  REQUIRE(gate.Admit(kStart, call_of("hot-1", "hot")).verdict == GateVerdict::kStart);
  for (int i = 2; i < 12; ++i) {
    REQUIRE(gate.Admit(kStart, call_of("hot-" + std::to_string(i), "hot")).verdict ==
            GateVerdict::kQueue);
  }
  REQUIRE(gate.Admit(kStart, call_of("other-0", "other")).verdict == GateVerdict::kQueue);
  REQUIRE(gate.Admit(kStart, call_of("other-1", "other")).verdict == GateVerdict::kQueue);
  const auto first = gate.Finish(kStart + milliseconds(10), "hot-0", TargetResult::kSucceeded);
  const auto second = gate.Finish(kStart + milliseconds(10), "hot-1", TargetResult::kSucceeded);
  REQUIRE(first.size() == 1);
  REQUIRE(second.size() == 1);
  CHECK(first[0].key == "hot-2");
  CHECK(second[0].key == "other-0");
}

// Guards against a more urgent account that waits behind the fair share of a less urgent one.
TEST_CASE_FIXTURE(Fixture, "priority goes before fairness between accounts") {
  const auto call_of = [](const std::string& key, const std::string& account, int priority) {
    GateCall call = MakeCall(key);
    call.account = account;
    call.priority = priority;
    call.typical_service_time = milliseconds(100);
    call.latency_target = kStart + seconds(10);
    call.deadline = kStart + seconds(20);
    return call;
  };
  gate.Admit(kStart, call_of("a", "urgent", 0));
  gate.Admit(kStart, call_of("b", "urgent", 0));
  gate.Admit(kStart, call_of("c", "urgent", 0));
  gate.Admit(kStart, call_of("d", "other", 1));
  gate.Admit(kStart, call_of("e", "urgent", 0));
  const auto first = gate.Finish(kStart + milliseconds(10), "a", TargetResult::kSucceeded);
  const auto second = gate.Finish(kStart + milliseconds(10), "b", TargetResult::kSucceeded);
  REQUIRE(first.size() == 1);
  REQUIRE(second.size() == 1);
  CHECK(first[0].key == "c");
  CHECK(second[0].key == "e");
}

// Guards against a call that occupies a slot although its deadline passes before it can end.
TEST_CASE_FIXTURE(Fixture, "a queued call that cannot end before its deadline is refused at once") {
  GateCall call = MakeCall("c");
  call.typical_service_time = milliseconds(300);
  call.accepts_late = true;
  call.deadline = kStart + milliseconds(1000);
  gate.Admit(kStart, MakeCall("a"));
  gate.Admit(kStart, MakeCall("b"));
  REQUIRE(gate.Admit(kStart, call).verdict == GateVerdict::kQueue);
  CHECK(gate.Tick(kStart + milliseconds(700)).empty());
  const auto events = gate.Tick(kStart + milliseconds(800));
  REQUIRE(events.size() == 1);
  CHECK(events[0].key == "c");
  CHECK(events[0].reason == Reason::kQueueTimeout);
}

}  // namespace
}  // namespace limpet
