#ifndef LIMPET_CORE_LATENCY_BUCKETS_H_
#define LIMPET_CORE_LATENCY_BUCKETS_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "limpet/core/time.h"

namespace limpet {

/// Latency histogram for monitoring, in the text format of Prometheus. The bounds start at 5 ms and
/// double, so that a quantile is known within a factor of two over the range of the mesh's
/// timeouts. `Histogram` has a higher resolution, for experiments. Not safe for concurrent use.
class LatencyBuckets {
 public:
  void Record(Duration value);
  /// Returns the lines of the histogram with cumulative buckets in seconds. `name` should end in
  /// `_seconds`.
  std::string Render(std::string_view name) const;

 private:
  static constexpr std::array<int, 11> kBoundsMs = {5,   10,  20,   40,   80,  160,
                                                    320, 640, 1280, 2560, 5120};

  std::array<uint64_t, kBoundsMs.size() + 1> counts_{};
  Duration sum_{0};
};

}  // namespace limpet

#endif  // LIMPET_CORE_LATENCY_BUCKETS_H_
