#ifndef LIMPET_MEMBERSHIP_BUCKET_DIGEST_H_
#define LIMPET_MEMBERSHIP_BUCKET_DIGEST_H_

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "limpet_types.h"

namespace limpet {

/// Hashes of a member table in buckets by member name, kept up to date record by record.
class BucketDigest {
 public:
  static constexpr int kBuckets = 64;

  static int BucketOf(std::string_view name);

  /// Adds a record, or removes it if it was added before. Records of dead and left members do not
  /// count: members forget them at different moments, and a difference would bring them back.
  void Toggle(const wire::MemberRecord& record);

  std::vector<int64_t> ToWire() const;
  /// Buckets whose hash differs; all of them if the other digest has another size.
  std::vector<int> DifferingBuckets(const std::vector<int64_t>& other) const;

 private:
  std::array<uint64_t, kBuckets> hashes_{};
};

}  // namespace limpet

#endif  // LIMPET_MEMBERSHIP_BUCKET_DIGEST_H_
