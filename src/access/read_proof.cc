#include "limpet/access/read_proof.h"

#include "limpet/core/fault.h"

namespace limpet {

namespace {

/// A long poll whose response comes later than this after the full wait may have been held by a
/// stalled store, which did not look for records meanwhile.
constexpr Duration kMaxLongPollDelay = std::chrono::milliseconds(250);
/// Epoch of a store that was never restored. A later epoch may have lost records that a process
/// which has just started does not know of.
constexpr int64_t kFirstEpoch = 1;

}  // namespace

bool ReadProof::IsEpochConfirmed(const StoreRead& read) {
  epoch_changed_ = has_read_ && read.epoch != epoch_;
  const bool may_be_restored =
      epoch_changed_ || (!has_read_ && read.epoch.value_or(0) > kFirstEpoch);
  has_read_ = true;
  epoch_ = read.epoch;
  if (may_be_restored && !IsFaultActive(Fault::kIgnoreStoreEpoch)) {
    unconfirmed_from_ = read.end;
  } else if (unconfirmed_from_ && read.config_offset && *read.config_offset >= *unconfirmed_from_) {
    unconfirmed_from_.reset();
  }
  return !unconfirmed_from_;
}

std::optional<TimePoint> ReadProof::OnRead(const StoreRead& read) {
  const Duration took = read.received - read.sent;
  was_late_ = took > read.wait + kMaxLongPollDelay;
  if (!IsEpochConfirmed(read) || !read.complete) {
    return std::nullopt;
  }
  const bool waited_fully =
      !read.has_records && read.wait > Duration(0) && took >= read.wait && !was_late_;
  return waited_fully ? read.sent + read.wait : read.sent;
}

}  // namespace limpet
