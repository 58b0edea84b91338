#ifndef LIMPET_ACCESS_READ_PROOF_H_
#define LIMPET_ACCESS_READ_PROOF_H_

#include <cstdint>
#include <optional>

#include "limpet/core/time.h"

namespace limpet {

/// A successful read of the operator's records, which have been applied.
struct StoreRead {
  TimePoint sent{};
  TimePoint received{};
  /// For how long the store was asked to wait for a record.
  Duration wait{0};
  /// The read returned at least one record.
  bool has_records = false;
  /// The read returned all records up to the end of the topic.
  bool complete = false;
  /// Offset after the last record of the topic.
  int64_t end = 0;
  /// Offset of the last configuration record that was returned; no value if there was none.
  std::optional<int64_t> config_offset;
  /// Epoch of the store; no value if the store has no epochs.
  std::optional<int64_t> epoch;
};

/// Derives freshness proofs from the reads of one store reader. A store that was restored from a
/// copy has lost the newest records, so its reads prove nothing until the operator has written a
/// configuration again. Does no I/O; not safe for concurrent use.
class ReadProof {
 public:
  /// Returns the instant up to which all acknowledged records have been applied; no value if the
  /// read proves nothing.
  std::optional<TimePoint> OnRead(const StoreRead& read);
  /// True if `OnRead` was called with an epoch other than that of the read before it. Offsets of
  /// the earlier epoch are invalid then.
  bool epoch_changed() const { return epoch_changed_; }
  /// True if the response to the last read came so late that its proof is old. Another read proves
  /// more at once; a further long poll would prove something only at its end.
  bool was_late() const { return was_late_; }

 private:
  /// Returns false while nothing shows that the operator has written in the epoch.
  bool IsEpochConfirmed(const StoreRead& read);

  bool has_read_ = false;
  bool epoch_changed_ = false;
  bool was_late_ = false;
  std::optional<int64_t> epoch_;
  /// While it is set, a configuration record at or past this offset confirms the epoch.
  std::optional<int64_t> unconfirmed_from_;
};

}  // namespace limpet

#endif  // LIMPET_ACCESS_READ_PROOF_H_
