#include "scenario/interpreter.h"

#include <algorithm>
#include <set>

#include "limpet/wire/codec.h"
#include "support/changes.h"

namespace limpet::scenario {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr Duration kMaxCallTime = std::chrono::seconds(3);
constexpr char kConfig[] = "config";

/// True if the service and the rule of each route exist. Shares no code with the library's
/// validation, which it checks.
bool HasNoDanglingReferences(const wire::FullConfig& config) {
  std::set<std::string> services;
  std::set<std::string> rules;
  for (const wire::Service& service : config.services) {
    services.insert(service.name);
  }
  for (const wire::Rule& rule : config.rules) {
    rules.insert(rule.name);
  }
  return std::all_of(config.routes.begin(), config.routes.end(), [&](const wire::Route& route) {
    return services.contains(route.service_name) && rules.contains(route.rule);
  });
}

}  // namespace

Interpreter::Interpreter(uint64_t seed) : mesh_(seed), calls_(seed) {
  mesh_.observer = [this](const std::string& node, const ControlPlane& plane) {
    CheckConfiguration(node, plane);
  };
  calls_.set_blocked([this](const std::string& from, const std::string& to) {
    return from != to && !mesh_.IsConnected(from, to);
  });
}

const std::vector<Interpreter::Command>& Interpreter::Commands() {
  static const std::vector<Command> kCommands = {
      {"nodes", 4, &Interpreter::StartNodes}, {"publish", 3, &Interpreter::Publish},
      {"kill", 2, &Interpreter::KillNodes},   {"restart", 2, &Interpreter::RestartNodes},
      {"pause", 2, &Interpreter::PauseNodes}, {"resume", 2, &Interpreter::ResumeNodes},
      {"stop", 2, &Interpreter::StopNodes},   {"drain", 2, &Interpreter::Drain},
      {"cut", 3, &Interpreter::CutLinks},     {"heal", 2, &Interpreter::HealLinks},
      {"log", 2, &Interpreter::SetLogState},  {"wait", 3, &Interpreter::Wait},
      {"target", 4, &Interpreter::SetTarget}, {"call", 5, &Interpreter::StartCalls},
      {"load", 2, &Interpreter::SetLoad},     {"expect", 3, &Interpreter::Expect},
  };
  return kCommands;
}

const std::vector<Interpreter::Command>& Interpreter::Expectations() {
  static const std::vector<Command> kExpectations = {
      {"version", 4, &Interpreter::ExpectVersion},
      {"no-version", 4, &Interpreter::ExpectNotVersion},
      {"ready", 3, &Interpreter::ExpectReady},
      {"not-ready", 3, &Interpreter::ExpectNotReady},
      {"no-new-work", 3, &Interpreter::ExpectNoNewWork},
      {"unlisted", 3, &Interpreter::ExpectUnlisted},
      {"ran", 4, &Interpreter::ExpectCallsRan},
      {"finished", 3, &Interpreter::ExpectCallsFinished},
      {"unpublished", 3, &Interpreter::ExpectUnpublished},
  };
  return kExpectations;
}

void Interpreter::Run(std::string_view text, const std::string& file) {
  for (const Statement& statement : ParseScript(text, file)) {
    current_ = statement;
    const auto command = std::find_if(Commands().begin(), Commands().end(), [&](const Command& c) {
      return c.name == statement.words.front();
    });
    if (command == Commands().end()) {
      Fail("unknown statement '" + statement.words.front() + "'");
    }
    if (statement.words.size() < command->min_words) {
      Fail("'" + statement.words.front() + "' needs more words");
    }
    (this->*command->handler)();
  }
  loads_.clear();
  Advance(kMaxCallTime);
  CheckCalls();
}

void Interpreter::StartNodes() {
  const std::string& data_centre = Word(1);
  for (int i = 1; i <= ParseNumber(2); ++i) {
    const std::string name = data_centre + "-" + std::to_string(i);
    mesh_.Start(name, data_centre, Word(3));
    StartTraffic(name);
  }
}

void Interpreter::StartTraffic(const std::string& node) {
  mesh_.ApplyLocalInput(node, [](ControlPlane& plane, TimePoint now) {
    return plane.SetTargetState(now, wire::TargetState::kUp);
  });
  const test::FakeMesh::Node& state = mesh_.node(node);
  calls_.Start(node, state.options.data_centre, state.plane->incarnation());
  views_.erase(node);
}

// publish NAME SERVICE [base OTHER] | publish NAME broken [base OTHER]
void Interpreter::Publish() {
  wire::ChangeRecord record;
  record.id = Word(1);
  record.author = "operator";
  record.base = last_version_;
  if (current_.words.size() >= 5) {
    record.base = PublishedVersion(Word(4));
  }
  if (Word(2) != "broken") {
    record.delta.set_services = {test::MakeService(Word(2))};
  }
  record.delta.set_rules = {test::MakeRule("rule-" + Word(1))};
  record.delta.set_routes = {test::MakeRoute("route-" + Word(1), Word(2), "rule-" + Word(1))};
  if (mesh_.log.status != LogStatus::kOk) {
    unpublished_.insert(Word(1));
    return;
  }
  const int64_t offset = mesh_.log.Append(kConfig, wire::Encode(record));
  versions_[Word(1)] = offset;
  if (Word(2) != "broken" && record.base == last_version_) {
    last_version_ = offset;
  }
}

void Interpreter::KillNodes() {
  for (const std::string& node : SelectNodes(1)) {
    mesh_.Kill(node);
    calls_.Kill(node);
  }
}

void Interpreter::RestartNodes() {
  for (const std::string& node : SelectNodes(1)) {
    mesh_.Restart(node);
    StartTraffic(node);
  }
}

void Interpreter::PauseNodes() {
  for (const std::string& node : SelectNodes(1)) {
    mesh_.Pause(node);
  }
}

void Interpreter::ResumeNodes() {
  for (const std::string& node : SelectNodes(1)) {
    mesh_.Resume(node);
  }
}

void Interpreter::StopNodes() {
  for (const std::string& node : SelectNodes(1)) {
    calls_.Drain(mesh_.now(), node);
    mesh_.ApplyLocalInput(node,
                          [](ControlPlane& plane, TimePoint now) { return plane.Leave(now); });
    WaitOrFail([&] { return calls_.InFlight(node) == 0; }, "no call in flight at " + node);
    mesh_.Kill(node);
    calls_.Kill(node);
  }
}

void Interpreter::Drain() {
  for (const std::string& node : SelectNodes(1)) {
    mesh_.ApplyLocalInput(node, [](ControlPlane& plane, TimePoint now) {
      return plane.SetTargetState(now, wire::TargetState::kDraining);
    });
    calls_.Drain(mesh_.now(), node);
  }
}

void Interpreter::CutLinks() {
  mesh_.Cut(Word(1), Word(2));
}

void Interpreter::HealLinks() {
  if (Word(1) == "all") {
    mesh_.HealAll();
  } else {
    mesh_.Heal(Word(1), Word(2));
  }
}

void Interpreter::SetLogState() {
  const std::string& state = Word(1);
  if (state == "up") {
    mesh_.log.status = LogStatus::kOk;
    mesh_.log.lost_responses = 0;
    mesh_.log.latency = std::chrono::milliseconds(2);
  } else if (state == "down") {
    mesh_.log.status = LogStatus::kUnavailable;
  } else if (state == "nonsense") {
    mesh_.log.status = LogStatus::kMalformedResponse;
  } else if (state == "slow") {
    mesh_.log.latency = std::chrono::seconds(1);
  } else if (state == "lose-answers") {
    mesh_.log.lost_responses = 0.5;
  } else if (state == "keep") {
    mesh_.log.retained = ParseNumber(2);
  } else {
    Fail("unknown log state '" + state + "'");
  }
}

void Interpreter::Wait() {
  Advance(ParseDuration(current_, Word(1), Word(2)));
}

void Interpreter::SetTarget() {
  for (const std::string& node : SelectNodes(1)) {
    CallFaults& faults = calls_.faults(node);
    if (Word(2) == "service-time") {
      faults.service_time = ParseDuration(current_, Word(3), Word(4));
    } else if (Word(2) == "reply-delay") {
      faults.reply_delay = ParseDuration(current_, Word(3), Word(4));
    } else if (Word(2) == "lose-replies") {
      faults.lose_replies = ParseOnOff(3);
    } else if (Word(2) == "duplicate-requests") {
      faults.duplicate_requests = ParseOnOff(3);
    } else if (Word(2) == "cross-replies") {
      faults.cross_replies = ParseOnOff(3);
    } else {
      Fail("unknown target fault '" + Word(2) + "'");
    }
  }
}

// call NODE SERVICE booking|lookup COUNT
void Interpreter::StartCalls() {
  UpdateViews();
  for (int i = 0; i < ParseNumber(4); ++i) {
    calls_.StartCall(mesh_.now(), Word(1), Word(2), Word(3) == "lookup");
  }
}

// load NODE SERVICE booking|lookup RATE | load off
void Interpreter::SetLoad() {
  if (Word(1) == "off") {
    loads_.clear();
    return;
  }
  Load load;
  load.node = Word(1);
  load.service = Word(2);
  load.idempotent = Word(3) == "lookup";
  load.interval = Duration(std::chrono::seconds(1)) / ParseNumber(4);
  load.next = mesh_.now();
  loads_.push_back(load);
}

void Interpreter::Expect() {
  const std::string& kind = Word(2);
  const auto expectation = std::find_if(Expectations().begin(), Expectations().end(),
                                        [&](const Command& e) { return e.name == kind; });
  if (expectation == Expectations().end()) {
    Fail("unknown expectation '" + kind + "'");
  }
  if (current_.words.size() < expectation->min_words) {
    Fail("expectation '" + kind + "' needs more words");
  }
  (this->*expectation->handler)();
}

// expect NODES version NAME
void Interpreter::ExpectVersion() {
  const int64_t version = PublishedVersion(Word(3));
  const std::vector<std::string> nodes = SelectNodes(1);
  WaitOrFail(
      [&] {
        return std::all_of(nodes.begin(), nodes.end(), [&](const std::string& node) {
          const auto& plane = mesh_.node(node).plane;
          return plane && plane->snapshot()->version() == version;
        });
      },
      Word(1) + " at version " + Word(3) + " (" + std::to_string(version) + ")");
}

// expect NODES no-version NAME
void Interpreter::ExpectNotVersion() {
  const int64_t version = PublishedVersion(Word(3));
  for (const std::string& node : SelectNodes(1)) {
    const auto& plane = mesh_.node(node).plane;
    if (plane && plane->snapshot()->version() == version) {
      Fail(node + " has version " + Word(3) + " in effect");
    }
  }
}

void Interpreter::ExpectReady() {
  const std::vector<std::string> nodes = SelectNodes(1);
  WaitOrFail(
      [&] {
        return std::all_of(nodes.begin(), nodes.end(), [&](const std::string& node) {
          const auto& plane = mesh_.node(node).plane;
          return plane && plane->IsReady();
        });
      },
      Word(1) + " ready");
}

void Interpreter::ExpectNotReady() {
  for (const std::string& node : SelectNodes(1)) {
    const auto& plane = mesh_.node(node).plane;
    if (plane && plane->IsReady()) {
      Fail(node + " is ready");
    }
  }
}

// expect NODE no-new-work: fails if an execution starts at the target within the next 3 s.
void Interpreter::ExpectNoNewWork() {
  const int before = calls_.CountStartedExecutions(Word(1));
  Advance(std::chrono::seconds(3));
  const int after = calls_.CountStartedExecutions(Word(1));
  if (after != before) {
    Fail(Word(1) + " started " + std::to_string(after - before) + " requests");
  }
}

// expect NODE unlisted: no running node has it among its endpoints.
void Interpreter::ExpectUnlisted() {
  const auto lists_node = [this](const auto& entry) {
    if (!entry.second.plane || entry.second.paused) {
      return false;
    }
    for (const auto& [service, endpoints] : entry.second.plane->endpoints()->services()) {
      for (const Endpoint& endpoint : endpoints) {
        if (endpoint.node == Word(1)) {
          return true;
        }
      }
    }
    return false;
  };
  WaitOrFail([&] { return std::none_of(mesh_.nodes().begin(), mesh_.nodes().end(), lists_node); },
             Word(1) + " not an endpoint at any node");
}

// expect calls ran COUNT: counts all calls since the start of the scenario.
void Interpreter::ExpectCallsRan() {
  std::map<std::string, int> results;
  const auto enough_calls_ran = [&] {
    results.clear();
    for (const CallRecord& call : calls_.calls()) {
      ++results[call.result ? std::to_string(static_cast<int>(call.result->outcome)) + "/" +
                                  std::to_string(static_cast<int>(call.result->reason))
                            : "open"];
    }
    return results["0/0"] >= ParseNumber(3);
  };
  if (!WaitFor(enough_calls_ran)) {
    std::string found;
    for (const auto& [kind, count] : results) {
      found += " " + kind + "=" + std::to_string(count);
    }
    Fail("expected " + Word(3) + " calls that ran; found outcome/reason" + found);
  }
}

// expect calls finished
void Interpreter::ExpectCallsFinished() {
  WaitOrFail(
      [&] {
        return std::all_of(calls_.calls().begin(), calls_.calls().end(),
                           [](const CallRecord& call) { return call.result.has_value(); });
      },
      "every call finished");
}

// expect NAME unpublished
void Interpreter::ExpectUnpublished() {
  if (!unpublished_.contains(Word(1))) {
    Fail("'" + Word(1) + "' was published");
  }
}

void Interpreter::Fail(const std::string& problem) const {
  throw ScenarioError(current_.location, problem);
}

const std::string& Interpreter::Word(std::size_t index) const {
  if (index >= current_.words.size()) {
    Fail("'" + current_.words.front() + "' needs more words");
  }
  return current_.words[index];
}

int Interpreter::ParseNumber(std::size_t index) const {
  const std::string& word = Word(index);
  if (word.empty() || word.find_first_not_of("0123456789") != std::string::npos) {
    Fail("expected a number, found '" + word + "'");
  }
  return std::stoi(word);
}

bool Interpreter::ParseOnOff(std::size_t index) const {
  if (Word(index) != "on" && Word(index) != "off") {
    Fail("expected on or off, found '" + Word(index) + "'");
  }
  return Word(index) == "on";
}

std::vector<std::string> Interpreter::SelectNodes(std::size_t index) {
  const std::string& word = Word(index);
  std::vector<std::string> found;
  const bool only_readers = word == "readers";
  for (const auto& [name, node] : mesh_.nodes()) {
    const bool is_in_data_centre =
        node.options.data_centre == (only_readers ? Word(index + 1) : word);
    if (only_readers && is_in_data_centre && node.plane && node.plane->IsReader()) {
      found.push_back(name);
    } else if (!only_readers && (word == "all" || word == name || is_in_data_centre)) {
      found.push_back(name);
    }
  }
  if (found.empty()) {
    Fail("'" + word + "' names no node");
  }
  return found;
}

int64_t Interpreter::PublishedVersion(const std::string& name) const {
  const auto it = versions_.find(name);
  if (it == versions_.end()) {
    Fail("'" + name + "' was not published");
  }
  return it->second;
}

void Interpreter::WaitOrFail(const Condition& condition, const std::string& what) {
  if (!WaitFor(condition)) {
    Fail("expected " + what + "; found" + DescribeVersions());
  }
}

bool Interpreter::WaitFor(const Condition& condition) {
  const TimePoint end = mesh_.now() + current_.within.value_or(Duration(0));
  while (!condition()) {
    if (mesh_.now() >= end) {
      return false;
    }
    Advance(kStep);
  }
  return true;
}

void Interpreter::Advance(Duration duration) {
  const TimePoint end = mesh_.now() + duration;
  while (mesh_.now() < end) {
    mesh_.Run(std::min(kStep, end - mesh_.now()));
    UpdateViews();
    AdvanceCalls();
    if (!violation_.empty()) {
      Fail(violation_);
    }
  }
}

void Interpreter::AdvanceCalls() {
  for (Load& load : loads_) {
    while (load.next <= mesh_.now()) {
      if (mesh_.node(load.node).plane) {
        calls_.StartCall(mesh_.now(), load.node, load.service, load.idempotent);
      }
      load.next += load.interval;
    }
  }
  calls_.Step(mesh_.now());
}

void Interpreter::UpdateViews() {
  for (const auto& [name, node] : mesh_.nodes()) {
    if (node.plane && views_[name] != node.plane->endpoints()) {
      views_[name] = node.plane->endpoints();
      calls_.UpdateView(mesh_.now(), name, *views_[name]);
    }
  }
}

void Interpreter::CheckConfiguration(const std::string& node, const ControlPlane& plane) {
  const int start = mesh_.node(node).starts;
  const int64_t version = plane.snapshot()->version();
  auto& [observed_start, observed_version] = observed_versions_[node];
  if (observed_start == start && version < observed_version) {
    violation_ = "I1: " + node + " moved back to version " + std::to_string(version);
  }
  if (observed_start != start || version != observed_version) {
    if (!HasNoDanglingReferences(plane.snapshot()->config())) {
      violation_ = "I2: " + node + " has a route to a missing service or rule";
    }
  }
  observed_start = start;
  observed_version = version;
}

void Interpreter::CheckCalls() const {
  for (const CallRecord& call : calls_.calls()) {
    const int executions = calls_.CountExecutions(call.request_id);
    if (!call.idempotent && executions > 1) {
      Fail("I6: a non-idempotent request was executed " + std::to_string(executions) + " times");
    }
    if (!call.result) {
      continue;
    }
    if (call.result->outcome == wire::Outcome::kNotRun && executions > 0) {
      Fail("I5: a request reported as not_run was executed");
    }
    if (call.result->outcome == wire::Outcome::kRan &&
        (executions == 0 || call.result->reply->body != call.request_id)) {
      Fail("I4: a response has no execution or belongs to another request");
    }
  }
}

std::string Interpreter::DescribeVersions() {
  std::string text;
  for (const auto& [name, node] : mesh_.nodes()) {
    text += " " + name + "=";
    text += node.plane ? std::to_string(node.plane->snapshot()->version()) +
                             (node.plane->IsReady() ? "" : "(not ready)")
                       : "down";
  }
  return text;
}

}  // namespace limpet::scenario
