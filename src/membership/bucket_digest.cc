#include "membership/bucket_digest.h"

#include <numeric>

#include <xxhash.h>

#include "membership/member_order.h"

namespace limpet {

int BucketDigest::BucketIndex(std::string_view name) {
  return static_cast<int>(XXH3_64bits(name.data(), name.size()) % kBuckets);
}

void BucketDigest::Toggle(const wire::MemberRecord& record) {
  if (!IsLive(record)) {
    return;
  }
  const std::array<int64_t, 3> order = {record.incarnation, record.sequence, record.state};
  const uint64_t name_hash = XXH3_64bits(record.name.data(), record.name.size());
  hashes_[static_cast<std::size_t>(BucketIndex(record.name))] ^=
      XXH3_64bits_withSeed(order.data(), sizeof(order), name_hash);
}

std::vector<int64_t> BucketDigest::ToWire() const {
  return {hashes_.begin(), hashes_.end()};
}

std::vector<int> BucketDigest::DifferingBuckets(const std::vector<int64_t>& other) const {
  std::vector<int> buckets;
  if (other.size() != hashes_.size()) {
    buckets.resize(kBuckets);
    std::iota(buckets.begin(), buckets.end(), 0);
    return buckets;
  }
  for (int bucket = 0; bucket < kBuckets; ++bucket) {
    const auto index = static_cast<std::size_t>(bucket);
    if (hashes_[index] != static_cast<uint64_t>(other[index])) {
      buckets.push_back(bucket);
    }
  }
  return buckets;
}

}  // namespace limpet
