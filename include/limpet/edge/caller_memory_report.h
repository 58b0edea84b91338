#ifndef LIMPET_EDGE_CALLER_MEMORY_REPORT_H_
#define LIMPET_EDGE_CALLER_MEMORY_REPORT_H_

#include <cstddef>
#include <memory>

#include "limpet/core/counters.h"
#include "limpet/edge/asio.h"
#include "limpet/edge/caller_memory.h"

namespace limpet::edge {

/// Returns the limit on open descriptors of this process.
std::size_t MaxDescriptors();

/// Writes an event `callers_limited` at most once per second while connections are closed, or
/// connections or requests are refused, because of the limits of a `CallerMemory`.
class CallerMemoryReport {
 public:
  CallerMemoryReport(const Executor& executor, std::shared_ptr<const CallerMemory> memory);

  /// Sets the metrics of the memory and its limits.
  void SetCounters(Counters& counters) const;

 private:
  void Wait();
  void Log();

  std::shared_ptr<const CallerMemory> memory_;
  Timer timer_;
  CallerMemory::Totals logged_;
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_CALLER_MEMORY_REPORT_H_
