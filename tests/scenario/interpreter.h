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

/// Runs one scenario on control planes and a `CallNetwork` in virtual time. docs/INVARIANTS.md
/// lists the statements. Configuration invariants (I1, I2) are checked after every input of a node,
/// call invariants (I4, I5, I6) at the end.
class Interpreter {
 public:
  explicit Interpreter(uint64_t seed);

  /// Throws `ScenarioError` for the first statement that cannot be parsed, the first expectation
  /// that is not met, and a violated invariant.
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
  void CutLinks();
  void HealLinks();
  void SetLogState();
  void Wait();
  void SetTarget();
  void StartCalls();
  void SetLoad();
  void Expect();

  void ExpectVersion();
  void ExpectNotVersion();
  void ExpectReady();
  void ExpectNotReady();
  void ExpectNoNewWork();
  void ExpectUnlisted();
  void ExpectCallsRan();
  void ExpectCallsFinished();
  void ExpectUnpublished();

  [[noreturn]] void Fail(const std::string& problem) const;
  const std::string& Word(std::size_t index) const;
  int ParseNumber(std::size_t index) const;
  bool ParseOnOff(std::size_t index) const;
  /// Returns the names of the nodes that the word at `index` selects: "all", a data centre, one
  /// node, or "readers" followed by a data centre. Fails if there are none.
  std::vector<std::string> SelectNodes(std::size_t index);
  /// Returns the log offset of a published change, which is its version.
  int64_t PublishedVersion(const std::string& name) const;
  /// Advances time until the condition is true; false if the "within" limit of the statement passes
  /// first. Without a limit the condition must be true now.
  bool WaitFor(const Condition& condition);
  /// Like `WaitFor`, but fails with "expected `what`" and the versions of all nodes.
  void WaitOrFail(const Condition& condition, const std::string& what);
  void Advance(Duration duration);
  void AdvanceCalls();
  void UpdateViews();
  void StartTraffic(const std::string& node);
  /// Records a violation of I1 or I2 in `violation_`.
  void CheckConfiguration(const std::string& node, const ControlPlane& plane);
  /// Fails if a call violates I4, I5 or I6.
  void CheckCalls() const;
  std::string DescribeVersions();

  test::FakeMesh mesh_;
  CallNetwork calls_;
  Statement current_;
  std::map<std::string, int64_t> versions_;
  std::set<std::string> unpublished_;
  std::map<std::string, std::pair<int, int64_t>> observed_versions_;
  std::map<std::string, EndpointViewPtr> views_;
  std::vector<Load> loads_;
  int64_t last_version_ = 0;
  std::string violation_;
};

}  // namespace limpet::scenario

#endif  // LIMPET_TESTS_SCENARIO_INTERPRETER_H_
