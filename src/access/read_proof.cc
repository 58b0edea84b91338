#include "limpet/access/read_proof.h"

#include <algorithm>

#include "limpet/core/fault.h"

namespace limpet {

namespace {

/// A long poll whose response comes later than this after the full wait may have been held by a
/// stalled store, which did not look for records meanwhile.
constexpr Duration kMaxLongPollDelay = std::chrono::milliseconds(250);
/// Epoch of a store that was never restored. A later epoch may have lost records that a process
/// which has just started does not know of.
constexpr int64_t kFirstEpoch = 1;
/// Longest pause between two reads for which the store counts as working.
constexpr Duration kMaxPauseOfReads = std::chrono::seconds(1);

}  // namespace

void ReadProof::ObserveEpoch(const StoreRead& read) {
  epoch_changed_ = has_read_ && read.epoch != epoch_;
  const bool may_be_restored =
      epoch_changed_ || (!has_read_ && read.epoch.value_or(0) > kFirstEpoch);
  if (may_be_restored && !IsFaultActive(Fault::kIgnoreStoreEpoch)) {
    evidence_ = EpochEvidence::kNone;
    first_end_ = read.end;
    watched_ = Duration(0);
  } else {
    if (!has_read_ || epoch_changed_) {
      evidence_ = EpochEvidence::kNeverRestored;
    }
    CountWatchedTime(read);
  }
  has_read_ = true;
  epoch_ = read.epoch;
  last_received_ = read.received;
}

void ReadProof::CountWatchedTime(const StoreRead& read) {
  // A store that does not work accepts nothing from the operator either. What passes without a
  // timely response is not counted.
  if (has_read_ && !was_late_) {
    watched_ += std::min(read.received - last_received_, read.wait + kMaxPauseOfReads);
  }
}

void ReadProof::LookForEvidence(const StoreRead& read, TimePoint instant) {
  const bool written_in_epoch = read.config_offset && *read.config_offset >= first_end_ &&
                                read.config_version >= highest_version_;
  if (!epoch_changed_ && written_in_epoch) {
    evidence_ = EpochEvidence::kConfiguration;
    confirmed_from_ = read.sent;
  } else if (watched_ - (read.received - instant) >= settle_time_ &&
             !IsFaultActive(Fault::kRequireConfiguration)) {
    evidence_ = EpochEvidence::kWatched;
    confirmed_from_ = instant;
  }
}

bool ReadProof::OnWitness(TimePoint now, int64_t epoch) {
  if (epoch_ != epoch || IsFaultActive(Fault::kRequireConfiguration)) {
    return false;
  }
  if (evidence_ == EpochEvidence::kNone) {
    evidence_ = EpochEvidence::kWitness;
    confirmed_from_ = now;
  }
  return true;
}

Duration ReadProof::RemainingSettleTime() const {
  const bool is_confirmed = evidence_ != EpochEvidence::kNone;
  return is_confirmed ? Duration(0) : std::max(Duration(0), settle_time_ - watched_);
}

std::optional<TimePoint> ReadProof::OnRead(const StoreRead& read) {
  const Duration took = read.received - read.sent;
  was_late_ = took > read.wait + kMaxLongPollDelay;
  const bool waited_fully =
      !read.has_records && read.wait > Duration(0) && took >= read.wait && !was_late_;
  const TimePoint instant = waited_fully ? read.sent + read.wait : read.sent;
  ObserveEpoch(read);
  if (evidence_ == EpochEvidence::kNone) {
    LookForEvidence(read, instant);
  }
  highest_version_ = std::max(highest_version_, read.config_version);
  const bool is_proof =
      evidence_ != EpochEvidence::kNone && read.complete && instant >= confirmed_from_;
  return is_proof ? std::optional(instant) : std::nullopt;
}

}  // namespace limpet
