#include "control/system_log_reader.h"

#include <algorithm>

#include "limpet/configlog/log_replay.h"

namespace limpet {

SystemLogReader::SystemLogReader(Random random, Counters& counters)
    : probe_(kSystemStream, kPollInterval, 1, Random(random.Next())),
      cursor_(kSystemStream, kPollInterval, kMaxRecords, Random(random.Next())),
      failed_(counters.Get("log_reads_failed")),
      fenced_(counters.Get("system_records_fenced")) {}

std::optional<LogRead> SystemLogReader::Tick(TimePoint now,
                                             bool needs_checkpoint,
                                             RequestIds& ids) {
  if (now - last_tick_ >= kMaxTickGap) {
    Restart();
  }
  last_tick_ = now;
  if (needs_checkpoint && synced_since_ && !replay_.checkpoint() &&
      start_ > cursor_.first_offset()) {
    const int64_t wider_window = window_ * kWindowGrowthFactor;
    Restart();
    window_ = wider_window;
  }
  return probing_ ? probe_.Tick(now, 1, ids) : cursor_.Tick(now, replay_.next_offset(), ids);
}

bool SystemLogReader::OnResult(TimePoint now, const LogResult& result) {
  if (OnProbeResult(now, result)) {
    return true;
  }
  const LogCursor::Page page = cursor_.OnResult(now, result);
  if (page == LogCursor::Page::kUnrelated) {
    return false;
  }
  if (probing_) {
    return true;
  }
  if (page == LogCursor::Page::kFailed) {
    failed_.Add();
  } else if (page != LogCursor::Page::kRecords) {
    Restart();
  } else {
    for (const LogRecord& record : result.records) {
      fenced_.Add(replay_.Apply(record, now) == SystemRecordKind::kFenced ? 1 : 0);
    }
    if (replay_.next_offset() >= result.end_offset && !synced_since_) {
      synced_since_ = now;
    }
  }
  return true;
}

bool SystemLogReader::OnProbeResult(TimePoint now, const LogResult& result) {
  const LogCursor::Page page = probe_.OnResult(now, result);
  if (page == LogCursor::Page::kUnrelated) {
    return false;
  }
  if (page == LogCursor::Page::kFailed) {
    failed_.Add();
  } else if (probing_) {
    StartNearEnd();
  }
  return true;
}

void SystemLogReader::Restart() {
  probing_ = true;
  window_ = kFirstWindowRecords;
  synced_since_.reset();
}

void SystemLogReader::StartNearEnd() {
  probing_ = false;
  start_ = std::max(probe_.first_offset(), probe_.end_offset() - window_);
  replay_ = SystemReplay(start_);
}

}  // namespace limpet
