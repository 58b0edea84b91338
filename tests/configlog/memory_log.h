#ifndef LIMPET_TESTS_CONFIGLOG_MEMORY_LOG_H_
#define LIMPET_TESTS_CONFIGLOG_MEMORY_LOG_H_

#include <deque>
#include <functional>
#include <utility>

#include "limpet/configlog/log_access.h"
#include "standin/log.h"

namespace limpet {

/// Fault of one append.
enum class AppendFault { kNone, kLoseResponse, kLoseRequest, kThrottle };

/// A stand-in log in memory, with scripted faults for each append and read.
class MemoryLog : public LogAccess {
 public:
  explicit MemoryLog(StandinLogLimits limits = {.appends_per_second = 0}) : log(limits) {}

  LogResult Append(const LogAppend& request) override {
    ++appends;
    if (before_append) {
      std::exchange(before_append, nullptr)();
    }
    const AppendFault fault = PopFault(append_faults, AppendFault::kNone);
    LogResult result;
    if (fault == AppendFault::kThrottle) {
      result.status = LogStatus::kThrottled;
      return result;
    }
    if (fault != AppendFault::kLoseRequest) {
      result = log.Append(TimePoint(), request);
    }
    if (fault != AppendFault::kNone) {
      result.status = LogStatus::kUnknownOutcome;
    }
    return result;
  }

  LogResult Read(const LogRead& request) override {
    ++reads;
    LogResult result = log.Read(request);
    const LogStatus status = PopFault(read_faults, LogStatus::kOk);
    result.status = status == LogStatus::kOk ? result.status : status;
    return result;
  }

  StandinLog log;
  std::deque<AppendFault> append_faults;
  std::deque<LogStatus> read_faults;
  /// Runs once, before the next append; simulates another publisher that appends first.
  std::function<void()> before_append;
  int appends = 0;
  int reads = 0;

 private:
  template <typename Fault>
  static Fault PopFault(std::deque<Fault>& faults, Fault none) {
    if (faults.empty()) {
      return none;
    }
    const Fault fault = faults.front();
    faults.pop_front();
    return fault;
  }
};

}  // namespace limpet

#endif  // LIMPET_TESTS_CONFIGLOG_MEMORY_LOG_H_
