#include "limpet/core/latency_buckets.h"

#include <spdlog/fmt/fmt.h>

namespace limpet {

void LatencyBuckets::Record(Duration value) {
  std::size_t bucket = 0;
  while (bucket < kBoundsMs.size() && value > std::chrono::milliseconds(kBoundsMs[bucket])) {
    ++bucket;
  }
  ++counts_[bucket];
  sum_ += value;
}

std::string LatencyBuckets::Render(std::string_view name) const {
  std::string text = fmt::format("# TYPE {} histogram\n", name);
  uint64_t total = 0;
  for (std::size_t i = 0; i < kBoundsMs.size(); ++i) {
    total += counts_[i];
    text += fmt::format("{}_bucket{{le=\"{}\"}} {}\n", name, kBoundsMs[i] / 1000.0, total);
  }
  total += counts_.back();
  text += fmt::format("{}_bucket{{le=\"+Inf\"}} {}\n", name, total);
  text += fmt::format("{}_sum {:.6f}\n{}_count {}\n", name,
                      std::chrono::duration<double>(sum_).count(), name, total);
  return text;
}

}  // namespace limpet
