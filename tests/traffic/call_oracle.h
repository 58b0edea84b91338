#ifndef TESTS_TRAFFIC_CALL_ORACLE_H_
#define TESTS_TRAFFIC_CALL_ORACLE_H_

#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>

namespace limpet::test {

/// Counts executions at the targets and compares them with what callers are told. Shares no code
/// with the library.
class CallOracle {
 public:
  static std::string AnswerTo(const std::string& request) { return "answer to " + request; }

  void Executes(const std::string& request,
                const std::string& attempt,
                bool idempotent,
                bool draining) {
    const int runs = ++runs_[request];
    attempts_.insert(attempt);
    RC_ASSERT(idempotent || runs == 1);
    RC_ASSERT(!draining);
    RC_ASSERT(told_not_run_.count(request) == 0U);
    RC_ASSERT(told_not_run_.count(attempt) == 0U);
  }

  /// A caller received a refusal of one attempt that claims that it did not run.
  void ToldAttemptNotRun(const std::string& attempt) {
    RC_ASSERT(attempts_.count(attempt) == 0U);
    told_not_run_.insert(attempt);
  }

  void ToldNotRun(const std::string& request) {
    RC_ASSERT(runs_[request] == 0);
    told_not_run_.insert(request);
  }

  void ToldRan(const std::string& request, const std::string& answer) {
    RC_ASSERT(runs_[request] >= 1);
    RC_ASSERT(answer == AnswerTo(request));
  }

 private:
  std::map<std::string, int> runs_;
  std::set<std::string> attempts_;
  std::set<std::string> told_not_run_;
};

}  // namespace limpet::test

#endif  // TESTS_TRAFFIC_CALL_ORACLE_H_
