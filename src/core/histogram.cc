#include "limpet/core/histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace limpet {

void Histogram::Record(Duration value) {
  const auto micros = static_cast<uint64_t>(std::max<Duration::rep>(value.count(), 0));
  int index = static_cast<int>(micros);
  if (micros >= kSubBuckets) {
    const int shift = std::bit_width(micros) - 1 - kSubBucketBits;
    index = (shift + 1) * kSubBuckets + static_cast<int>((micros >> shift) - kSubBuckets);
  }
  ++buckets_[static_cast<std::size_t>(std::min(index, kBuckets - 1))];
  ++count_;
  max_ = std::max(max_, value);
}

void Histogram::Merge(const Histogram& other) {
  for (std::size_t i = 0; i < buckets_.size(); ++i) {
    buckets_[i] += other.buckets_[i];
  }
  count_ += other.count_;
  max_ = std::max(max_, other.max_);
}

Duration Histogram::Percentile(double fraction) const {
  const auto rank = static_cast<uint64_t>(std::ceil(fraction * static_cast<double>(count_)));
  uint64_t cumulative_count = 0;
  for (int index = 0; index < kBuckets; ++index) {
    cumulative_count += buckets_[static_cast<std::size_t>(index)];
    if (cumulative_count >= rank && cumulative_count > 0) {
      const int shift = index / kSubBuckets - 1;
      const uint64_t bound =
          shift < 0 ? static_cast<uint64_t>(index)
                    : ((static_cast<uint64_t>(index % kSubBuckets) + kSubBuckets + 1) << shift) - 1;
      return std::min(Duration(static_cast<Duration::rep>(bound)), max_);
    }
  }
  return Duration(0);
}

}  // namespace limpet
