#ifndef LIMPET_CORE_HISTOGRAM_H_
#define LIMPET_CORE_HISTOGRAM_H_

#include <array>
#include <cstdint>

#include "limpet/core/time.h"

namespace limpet {

/// Latency histogram with logarithmic buckets: each power of two is divided into 32 linear buckets,
/// so a percentile is at most 1/32 above the true value. Covers 0 to about 19 hours in
/// microseconds. Not safe for concurrent use.
class Histogram {
 public:
  void Record(Duration value);
  void Merge(const Histogram& other);

  /// Returns the smallest upper bucket bound that `fraction` (0 to 1) of the values do not exceed,
  /// but at most `max()`. Returns 0 if the histogram is empty.
  Duration Percentile(double fraction) const;
  Duration max() const { return max_; }
  uint64_t count() const { return count_; }

 private:
  static constexpr int kSubBucketBits = 5;
  static constexpr int kSubBuckets = 1 << kSubBucketBits;
  static constexpr int kBuckets = kSubBuckets * 32;

  std::array<uint64_t, kBuckets> buckets_{};
  uint64_t count_ = 0;
  Duration max_{0};
};

}  // namespace limpet

#endif  // LIMPET_CORE_HISTOGRAM_H_
