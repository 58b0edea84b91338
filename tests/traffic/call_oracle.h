#ifndef LIMPET_TESTS_TRAFFIC_CALL_ORACLE_H_
#define LIMPET_TESTS_TRAFFIC_CALL_ORACLE_H_

#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>

namespace limpet::test {

/// Counts executions at the targets and compares them with the results that callers receive. Shares
/// no code with the library.
class CallOracle {
 public:
  static std::string ExpectedBody(const std::string& request) { return "response to " + request; }

  /// A target runs an attempt.
  void OnExecution(const std::string& request,
                   const std::string& attempt,
                   bool idempotent,
                   bool draining) {
    const int executions = ++executions_[request];
    attempts_.insert(attempt);
    RC_ASSERT(idempotent || executions == 1);
    RC_ASSERT(!draining);
    RC_ASSERT(reported_not_run_.count(request) == 0U);
    RC_ASSERT(reported_not_run_.count(attempt) == 0U);
  }

  /// A caller received a refusal which states that the attempt did not run.
  void OnAttemptNotRun(const std::string& attempt) {
    RC_ASSERT(attempts_.count(attempt) == 0U);
    reported_not_run_.insert(attempt);
  }

  /// A call ended with outcome `not_run`.
  void OnCallNotRun(const std::string& request) {
    RC_ASSERT(executions_[request] == 0);
    reported_not_run_.insert(request);
  }

  /// A call ended with outcome `ran` and the response `body`.
  void OnCallRan(const std::string& request, const std::string& body) {
    RC_ASSERT(executions_[request] >= 1);
    RC_ASSERT(body == ExpectedBody(request));
  }

 private:
  std::map<std::string, int> executions_;
  std::set<std::string> attempts_;
  std::set<std::string> reported_not_run_;
};

}  // namespace limpet::test

#endif  // LIMPET_TESTS_TRAFFIC_CALL_ORACLE_H_
