#ifndef LIMPET_CONTROL_SYSTEM_LOG_WRITER_H_
#define LIMPET_CONTROL_SYSTEM_LOG_WRITER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "control/config_log_reader.h"
#include "control/system_log_reader.h"
#include "limpet/configlog/lease_keeper.h"
#include "limpet/configlog/system_appender.h"
#include "limpet/core/counters.h"
#include "limpet/distribution/config_store.h"
#include "limpet/distribution/reader_selection.h"
#include "limpet/distribution/status_aggregator.h"
#include "limpet/membership/membership.h"

namespace limpet {

/// Appends this node's records to the stream "system": lease claims and, while it holds a lease,
/// checkpoints or status and roster records. What to append is decided from the replayed stream
/// alone, so a lost response, an expired lease or a restart needs no special case.
class SystemLogWriter {
 public:
  static constexpr Duration kStatusInterval = std::chrono::seconds(2);
  static constexpr Duration kRosterInterval = std::chrono::seconds(10);
  /// A new holder of the status lease waits up to this long for a report of each node. Nodes report
  /// every 10 s.
  static constexpr Duration kFirstReportWait = std::chrono::seconds(12);
  /// Delay before the next checkpoint after the log refused one that exceeds its size limit.
  static constexpr Duration kTooLargeRetryDelay = std::chrono::minutes(1);
  /// The replayed stream counts as current for this long after the send time of a read that reached
  /// its end. A process that was paused therefore reads the stream before it claims a lease.
  static constexpr Duration kMaxReadAge = std::chrono::seconds(2);

  /// State of the node that the writer reads; the references must outlive the writer.
  struct Context {
    const Membership& membership;
    const ConfigStore& store;
    const ReaderSelection& readers;
    const ConfigLogReader& config_log;
    SystemLogReader& system_log;
    StatusAggregator& status;
  };

  SystemLogWriter(Context context, Random random, Counters& counters);

  /// Returns the append to send now, if one is due.
  std::optional<LogAppend> Tick(TimePoint now, RequestIds& ids);
  /// Returns true if the result belongs to this writer.
  bool OnResult(TimePoint now, const LogResult& result);
  /// Names of the leases that this node holds; none unless it is a reader whose replayed stream is
  /// current.
  std::vector<std::string> HeldLeases() const;

 private:
  std::optional<wire::SystemRecord> NextRecord(TimePoint now);
  std::optional<wire::SystemRecord> NextClaim(TimePoint now, const LeaseKeeper& keeper, int rank);
  std::optional<wire::SystemRecord> NextCheckpoint(TimePoint now);
  std::optional<wire::SystemRecord> NextStatus(TimePoint now);
  std::optional<wire::SystemRecord> NextRoster(TimePoint now);
  int64_t FindToken(const LeaseKeeper& keeper) const;
  bool IsCurrent(TimePoint now) const;

  Context context_;
  SystemAppender appender_;
  LeaseKeeper checkpoint_lease_;
  LeaseKeeper status_lease_;
  TimePoint next_status_;
  TimePoint next_roster_;
  TimePoint next_checkpoint_;
  bool is_current_ = false;
  bool checkpoint_pending_ = false;
  std::optional<TimePoint> status_held_since_;
  Counter& claims_;
  Counter& failed_;
};

}  // namespace limpet

#endif  // LIMPET_CONTROL_SYSTEM_LOG_WRITER_H_
