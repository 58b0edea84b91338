#ifndef LIMPET_ACCESS_READ_PROOF_H_
#define LIMPET_ACCESS_READ_PROOF_H_

#include <cstdint>
#include <optional>

#include "limpet/core/enum_names.h"
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
  /// Highest version of the returned configurations; 0 if there was none.
  int64_t config_version = 0;
  /// Epoch of the store; no value if the store has no epochs.
  std::optional<int64_t> epoch;
};

/// Why the records that a store holds in its present epoch are known to be complete, although the
/// restore that began the epoch may have lost acknowledged records.
enum class EpochEvidence {
  kNone,
  kNeverRestored,  // the store has no epochs, or this is its first one
  kConfiguration,  // the operator wrote a configuration in this epoch
  kWitness,        // another process had evidence and recorded it in the store
  kWatched,        // the store worked for the settle time in this epoch
};

inline constexpr EnumNames<EpochEvidence, 5> kEpochEvidenceNames = {{
    {EpochEvidence::kNone, "none"},
    {EpochEvidence::kNeverRestored, "never_restored"},
    {EpochEvidence::kConfiguration, "configuration"},
    {EpochEvidence::kWitness, "witness"},
    {EpochEvidence::kWatched, "watched"},
}};

/// Derives freshness proofs from the reads of one store reader. A store that was restored from a
/// copy has lost the newest records, so its reads prove nothing until there is evidence that what
/// it lost was written again. Does no I/O; not safe for concurrent use.
class ReadProof {
 public:
  static constexpr Duration kDefaultSettleTime = std::chrono::seconds(10);

  /// `settle_time` is the time within which the operator writes again what a restore lost, counted
  /// while the store works.
  explicit ReadProof(Duration settle_time = kDefaultSettleTime) : settle_time_(settle_time) {}

  void set_settle_time(Duration settle_time) { settle_time_ = settle_time; }
  /// Returns the instant up to which all acknowledged records have been applied; no value if the
  /// read proves nothing.
  std::optional<TimePoint> OnRead(const StoreRead& read);
  /// The store holds the record of a process that had evidence for `epoch`. Reads of instants from
  /// `now` on are proofs if it is the present epoch. Returns whether it is.
  bool OnWitness(TimePoint now, int64_t epoch);

  bool has_read() const { return has_read_; }
  /// True if `OnRead` was called with an epoch other than that of the read before it. Offsets of
  /// the earlier epoch are invalid then.
  bool epoch_changed() const { return epoch_changed_; }
  /// Evidence for the present epoch.
  EpochEvidence evidence() const { return evidence_; }
  std::optional<int64_t> epoch() const { return epoch_; }
  /// Time for which the store has to work until the epoch counts as complete without other
  /// evidence; zero if there is evidence.
  Duration RemainingSettleTime() const;
  /// True if the response to the last read came so late that its proof is old. Another read proves
  /// more at once; a further long poll would prove something only at its end.
  bool was_late() const { return was_late_; }

 private:
  /// Detects a new epoch.
  void ObserveEpoch(const StoreRead& read);
  /// Counts the time for which the store has worked in this epoch, up to the end of this read.
  void CountWatchedTime(const StoreRead& read);
  /// Looks for evidence in a read that shows the store at `instant`.
  void LookForEvidence(const StoreRead& read, TimePoint instant);

  Duration settle_time_;
  bool has_read_ = false;
  bool epoch_changed_ = false;
  bool was_late_ = false;
  std::optional<int64_t> epoch_;
  EpochEvidence evidence_ = EpochEvidence::kNone;
  /// Reads that show the store at an earlier instant prove nothing.
  TimePoint confirmed_from_{};
  /// End of the log at the first read of the epoch: a configuration at or past it was written in
  /// the epoch.
  int64_t first_end_ = 0;
  /// Highest version that was read in any epoch. A lower one was written again before it.
  int64_t highest_version_ = 0;
  Duration watched_{0};
  TimePoint last_received_{};
};

}  // namespace limpet

#endif  // LIMPET_ACCESS_READ_PROOF_H_
