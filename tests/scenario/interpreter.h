#ifndef LIMPET_TESTS_SCENARIO_INTERPRETER_H_
#define LIMPET_TESTS_SCENARIO_INTERPRETER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "scenario/call_network.h"
#include "scenario/script.h"
#include "support/fake_mesh.h"

namespace limpet::scenario {

/// Runs one scenario over control planes and call policy in virtual time; docs/INVARIANTS.md lists
/// the statements. Checks that hold at any moment run after every input of a node.
class Interpreter {
 public:
  explicit Interpreter(uint64_t seed);

  /// Throws `ScenarioError` for the first statement that does not parse or hold, and for a
  /// violated invariant.
  void Run(std::string_view text, const std::string& file);

 private:
  using Words = std::vector<std::string>;
  using Condition = std::function<bool()>;
  using Handler = void (Interpreter::*)();

  struct Command {
    std::string_view name;
    std::size_t min_words;
    Handler handler;
  };

  struct Load {
    std::string node;
    std::string service;
    bool idempotent = false;
    Duration interval{0};
    TimePoint next{};
  };

  static const std::vector<Command>& Commands();
  static const std::vector<Command>& Expectations();

  void StartNodes();
  void Publish();
  void KillNodes();
  void RestartNodes();
  void PauseNodes();
  void ResumeNodes();
  void StopNodes();
  void Drain();
  void CutLink();
  void HealLink();
  void SetLog();
  void Wait();
  void SetTarget();
  void StartCalls();
  void SetLoad();
  void Expect();

  void ExpectAllVersion();
  void ExpectNoneVersion();
  void ExpectReady();
  void ExpectNotReady();
  void ExpectNoWork();
  void ExpectUnlisted();
  void ExpectRan();
  void ExpectFinished();
  void ExpectUnpublished();

  [[noreturn]] void Fail(const std::string& problem) const;
  const std::string& Word(std::size_t index) const;
  int Number(std::size_t index) const;
  bool Switch(std::size_t index) const;
  /// Names of one node, of the nodes of a data centre, of its readers, or of all nodes.
  std::vector<std::string> Nodes(std::size_t index);
  int64_t VersionOf(const std::string& name) const;
  bool WaitFor(const Condition& condition);
  void Until(const Condition& condition, const std::string& what);
  void Advance(Duration duration);
  void AdvanceCalls();
  void SyncViews();
  void StartTraffic(const std::string& node);
  void Observe(const std::string& node, const ControlPlane& plane);
  void AuditCalls() const;
  std::string Versions();

  test::FakeMesh mesh_;
  CallNetwork calls_;
  Statement current_;
  std::map<std::string, int64_t> versions_;
  std::set<std::string> unpublished_;
  std::map<std::string, std::pair<int, int64_t>> seen_;
  std::map<std::string, EndpointViewPtr> views_;
  std::vector<Load> loads_;
  int64_t last_version_ = 0;
  std::string violation_;
};

}  // namespace limpet::scenario

#endif  // LIMPET_TESTS_SCENARIO_INTERPRETER_H_
