#ifndef LIMPET_CONTROL_CONFIG_LOG_READER_H_
#define LIMPET_CONTROL_CONFIG_LOG_READER_H_

#include <cstdint>
#include <vector>

#include "limpet/configlog/log_cursor.h"
#include "limpet/core/counters.h"
#include "limpet/distribution/config_store.h"

namespace limpet {

/// Reads the stream "config" from the position of the store and applies accepted changes to the
/// store.
class ConfigLogReader {
 public:
  static constexpr Duration kPollInterval = std::chrono::milliseconds(500);
  static constexpr int kMaxRecords = 256;

  ConfigLogReader(Random random, Counters& counters);

  std::optional<LogRead> Tick(TimePoint now, const ConfigStore& store, RequestIds& ids);
  /// Returns the changes that the store applied. Sets `is_related` to whether the result belongs to
  /// a request of this reader.
  std::vector<wire::AcceptedChange> OnResult(TimePoint now,
                                             const LogResult& result,
                                             ConfigStore& store,
                                             bool& is_related);

  const LogCursor& cursor() const { return cursor_; }
  /// True while the next records that the store needs are no longer retained by the log.
  bool has_gap() const { return has_gap_; }

 private:
  std::vector<wire::AcceptedChange> Replay(const std::vector<LogRecord>& records,
                                           ConfigStore& store);

  LogCursor cursor_;
  bool has_gap_ = false;
  Counter& applied_;
  Counter& rejected_;
  Counter& failed_;
};

}  // namespace limpet

#endif  // LIMPET_CONTROL_CONFIG_LOG_READER_H_
