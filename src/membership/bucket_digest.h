#ifndef LIMPET_MEMBERSHIP_BUCKET_DIGEST_H_
#define LIMPET_MEMBERSHIP_BUCKET_DIGEST_H_

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "limpet_types.h"

namespace limpet {

/// Hashes of the records of a member table, one hash for each bucket. The name of a member
/// determines its bucket. Each change of a record updates the hash of its bucket.
class BucketDigest {
 public:
  static constexpr int kBuckets = 64;

  static int BucketIndex(std::string_view name);

  /// Adds a record, or removes it if it was added before. Ignores records of dead and left members:
  /// nodes remove them at different times, and the exchange of a differing bucket would restore
  /// them.
  void Toggle(const wire::MemberRecord& record);

  std::vector<int64_t> ToWire() const;
  /// Returns the buckets whose hashes differ, or all buckets if the other digest has another size.
  std::vector<int> DifferingBuckets(const std::vector<int64_t>& other) const;

 private:
  std::array<uint64_t, kBuckets> hashes_{};
};

}  // namespace limpet

#endif  // LIMPET_MEMBERSHIP_BUCKET_DIGEST_H_
