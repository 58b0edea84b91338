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

/// Writes what this node owes the stream "system": lease claims, and as a holder checkpoints,
/// status and roster records. Decides from the replayed stream alone, so a lost answer, a lapse of
/// the lease or a restart needs no case of its own.
class SystemLogWriter {
 public:
  static constexpr Duration kStatusInterval = std::chrono::seconds(2);
  static constexpr Duration kRosterInterval = std::chrono::seconds(10);
  /// A new holder waits this long for the first reports of all nodes, which come every 10 s.
  static constexpr Duration kFirstReports = std::chrono::seconds(12);
  /// A checkpoint record over the log's size limit is tried again after this long.
  static constexpr Duration kTooLargePause = std::chrono::minutes(1);
  /// The replayed stream counts as current for this long after a read that reached its end. A
  /// paused process thus reads before it claims.
  static constexpr Duration kFreshness = std::chrono::seconds(2);

  /// What the systems of one node know; the references must outlive the writer.
  struct Context {
    const Membership& membership;
    const ConfigStore& store;
    const ReaderSelection& readers;
    const ConfigLogReader& config_log;
    SystemLogReader& system_log;
    StatusAggregator& status;
  };

  SystemLogWriter(Context context, Random random, Counters& counters);

  /// The record to append now, if any.
  std::optional<LogAppend> Tick(TimePoint now, RequestIds& ids);
  /// Returns true if the result belongs to this writer.
  bool OnResult(TimePoint now, const LogResult& result);
  /// Names of the leases that this node holds; none unless it follows the stream.
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
  bool checkpoint_open_ = false;
  std::optional<TimePoint> status_held_since_;
  Counter& claims_;
  Counter& failed_;
};

}  // namespace limpet

#endif  // LIMPET_CONTROL_SYSTEM_LOG_WRITER_H_
