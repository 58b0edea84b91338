#include "control/config_log_reader.h"

#include <utility>
#include <variant>

#include "limpet/configlog/log_replay.h"

namespace limpet {

ConfigLogReader::ConfigLogReader(Random random, Counters& counters)
    : cursor_(kConfigStream, kPollInterval, kMaxRecords, random),
      applied_(counters.Get("config_versions_applied")),
      rejected_(counters.Get("config_records_rejected")),
      failed_(counters.Get("log_reads_failed")) {}

std::optional<LogRead> ConfigLogReader::Tick(TimePoint now,
                                             const ConfigStore& store,
                                             RequestIds& ids) {
  return cursor_.Tick(now, store.position(), ids);
}

std::vector<wire::AcceptedChange> ConfigLogReader::OnResult(TimePoint now,
                                                            const LogResult& result,
                                                            ConfigStore& store,
                                                            bool& is_related) {
  const LogCursor::Page page = cursor_.OnResult(now, result);
  is_related = page != LogCursor::Page::kUnrelated;
  switch (page) {
    case LogCursor::Page::kUnrelated:
      break;
    case LogCursor::Page::kFailed:
      failed_.Add();
      break;
    case LogCursor::Page::kExpired:
      has_gap_ = store.position() < result.first_offset;
      break;
    case LogCursor::Page::kBeyondEnd:
      // The position is beyond the end of the log. It was reported by a peer and is wrong; reset it
      // to the one that follows from the version.
      store.SetPosition(0);
      break;
    case LogCursor::Page::kRecords:
      has_gap_ = false;
      return Replay(result.records, store);
  }
  return {};
}

std::vector<wire::AcceptedChange> ConfigLogReader::Replay(const std::vector<LogRecord>& records,
                                                          ConfigStore& store) {
  std::vector<wire::AcceptedChange> applied;
  LogReplay replay(store.snapshot(), store.position());
  for (const LogRecord& record : records) {
    // A push can move the position of the store back below this page, but only if that position was
    // wrong. The next read then starts at the new position.
    if (record.offset > replay.next_offset()) {
      break;
    }
    const ReplayResult result = replay.Apply(record);
    if (const auto* change = std::get_if<wire::AcceptedChange>(&result)) {
      if (store.InstallValidated(*change, replay.snapshot()) == ApplyResult::kApplied) {
        applied_.Add();
        applied.push_back(*change);
      }
    } else if (std::holds_alternative<Rejection>(result)) {
      rejected_.Add();
    }
  }
  store.SetPosition(replay.next_offset());
  return applied;
}

}  // namespace limpet
