#include "limpet/edge/caller_memory_report.h"

#include <sys/resource.h>

#include <algorithm>
#include <utility>

#include "limpet/edge/event_log.h"

namespace limpet::edge {

namespace {

constexpr Duration kLogInterval = std::chrono::seconds(1);
/// Used instead of an unlimited number of descriptors.
constexpr rlim_t kMaxUsefulDescriptors = rlim_t{1} << 20;
/// Used if the limit cannot be read; the usual default.
constexpr rlim_t kUsualDescriptors = 1024;

}  // namespace

std::size_t MaxDescriptors() {
  rlimit limit{};
  const bool is_known = ::getrlimit(RLIMIT_NOFILE, &limit) == 0;
  return std::min(is_known ? limit.rlim_cur : kUsualDescriptors, kMaxUsefulDescriptors);
}

CallerMemoryReport::CallerMemoryReport(const Executor& executor,
                                       std::shared_ptr<const CallerMemory> memory)
    : memory_(std::move(memory)), timer_(executor) {
  Wait();
}

void CallerMemoryReport::SetCounters(Counters& counters) const {
  const CallerMemory::Totals& totals = memory_->totals();
  counters.Get("caller_memory_bytes").Set(static_cast<int64_t>(memory_->bytes()));
  counters.Get("caller_connections").Set(static_cast<int64_t>(memory_->connections()));
  counters.Get("caller_connections_closed").Set(totals.closed_writing + totals.closed_idle);
  counters.Get("caller_connections_refused").Set(totals.refused_connections);
  counters.Get("caller_requests_refused_memory").Set(totals.refused_requests);
}

void CallerMemoryReport::Wait() {
  timer_.expires_after(kLogInterval);
  timer_.async_wait([this](ErrorCode error) {
    if (!error) {
      Log();
      Wait();
    }
  });
}

void CallerMemoryReport::Log() {
  const CallerMemory::Totals before = std::exchange(logged_, memory_->totals());
  if (logged_ == before) {
    return;
  }
  LogEvent("callers_limited")
      .Add("closed_writing", logged_.closed_writing - before.closed_writing)
      .Add("closed_idle", logged_.closed_idle - before.closed_idle)
      .Add("refused_connections", logged_.refused_connections - before.refused_connections)
      .Add("refused_requests", logged_.refused_requests - before.refused_requests)
      .Add("bytes", static_cast<int64_t>(memory_->bytes()))
      .Add("connections", static_cast<int64_t>(memory_->connections()));
}

}  // namespace limpet::edge
