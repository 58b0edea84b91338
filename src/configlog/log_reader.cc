#include "limpet/configlog/log_reader.h"

#include <algorithm>
#include <map>
#include <utility>

#include "limpet/config/config.h"
#include "limpet/wire/codec.h"

namespace limpet {
namespace {

/// The search for a checkpoint first reads this many records at the end of the stream. If they hold
/// no usable checkpoint, it reads again from further back, each time with a window that is larger
/// by the growth factor.
constexpr int64_t kFirstWindowRecords = 1000;
constexpr int64_t kWindowGrowthFactor = 8;

/// Reads the records in [from, end of stream) in batches and passes each one to `replay`.
template <typename Replay>
LogStatus ReadToEnd(LogAccess& log, const char* stream, int64_t from, const Replay& replay) {
  for (;;) {
    const LogResult result = log.Read({0, stream, from, kMaxRecordsPerRead});
    if (result.status != LogStatus::kOk) {
      return result.status;
    }
    for (const LogRecord& record : result.records) {
      if (record.offset != from) {
        return LogStatus::kMalformedResponse;
      }
      replay(record);
      ++from;
    }
    if (from >= result.end_offset) {
      return LogStatus::kOk;
    }
    if (result.records.empty()) {
      return LogStatus::kMalformedResponse;
    }
  }
}

LogStatus ReadSystemFrom(LogAccess& log, int64_t from, TimePoint now, SystemReplay& system) {
  return ReadToEnd(log, kSystemStream, from,
                   [&](const LogRecord& record) { system.Apply(record, now); });
}

/// Reads the range of retained offsets of a stream. A response of `kOffsetExpired` contains the
/// range too and counts as success.
LogResult ReadRange(LogAccess& log, const char* stream) {
  LogResult result = log.Read({0, stream, 1, 1});
  if (result.status == LogStatus::kOffsetExpired) {
    result.status = LogStatus::kOk;
  }
  return result;
}

}  // namespace

LogStatus LogReader::CatchUp() {
  if (!started_) {
    const LogStatus status = Start();
    if (status != LogStatus::kOk) {
      return status;
    }
    started_ = true;
  }
  return ReadToEnd(log_, kConfigStream, replay_.next_offset(),
                   [this](const LogRecord& record) { replay_.Apply(record); });
}

LogStatus LogReader::Start() {
  const LogResult range = ReadRange(log_, kConfigStream);
  if (range.status != LogStatus::kOk) {
    return range.status;
  }
  if (range.first_offset == 1 && range.end_offset <= kMaxDirectReplayOffset) {
    return LogStatus::kOk;
  }
  const LogStatus status = StartFromCheckpoint(range.first_offset);
  // Without a usable checkpoint, a stream that is retained from offset 1 can still be replayed.
  return status == LogStatus::kOffsetExpired && range.first_offset == 1 ? LogStatus::kOk : status;
}

LogStatus LogReader::StartFromCheckpoint(int64_t first_retained) {
  const LogResult range = ReadRange(log_, kSystemStream);
  if (range.status != LogStatus::kOk) {
    return range.status;
  }
  for (int64_t window = kFirstWindowRecords;; window *= kWindowGrowthFactor) {
    const int64_t from = std::max(range.first_offset, range.end_offset - window);
    SystemReplay system(from);
    const LogStatus status = ReadSystemFrom(log_, from, TimePoint(), system);
    if (status != LogStatus::kOk) {
      return status;
    }
    if (system.checkpoint() && system.checkpoint()->next_offset >= first_retained) {
      try {
        replay_ = LogReplay(*system.checkpoint());
        return LogStatus::kOk;
      } catch (const ValidationError&) {
        return LogStatus::kOffsetExpired;
      }
    }
    if (from == range.first_offset) {
      return LogStatus::kOffsetExpired;
    }
  }
}

ConflictingChange LogReader::FindConflictingChange(int64_t base) const {
  int64_t oldest = replay_.version();
  for (const wire::AcceptedChange& change : replay_.accepted()) {
    if (change.record.base == base) {
      return {change.version, change.record.id, change.record.author};
    }
    oldest = std::min(oldest, change.record.base);
  }
  ConflictingChange conflicting_change =
      base < oldest ? FindConflictingChangeInLog(base, oldest) : ConflictingChange();
  return conflicting_change.id.empty() ? ConflictingChange{replay_.version(), "", ""}
                                       : conflicting_change;
}

/// A version is the offset of its record, and each record names its base. The accepted changes
/// therefore form a chain that leads back from `version`. Rejected records are not part of it.
ConflictingChange LogReader::FindConflictingChangeInLog(int64_t base, int64_t version) const {
  std::map<int64_t, wire::ChangeRecord> records;
  // After a failed read the chain is incomplete, and the change may not be found.
  ReadToEnd(log_, kConfigStream, base + 1, [&](const LogRecord& record) {
    if (record.offset <= version) {
      try {
        wire::Decode(record.payload, records[record.offset]);
      } catch (const DecodeError&) {
        records.erase(record.offset);
      }
    }
  });
  for (auto it = records.find(version); it != records.end();) {
    const wire::ChangeRecord& record = it->second;
    if (record.base == base) {
      return {it->first, record.id, record.author};
    }
    it = record.base < it->first ? records.find(record.base) : records.end();
  }
  return {};
}

LogStatus ReadSystemStream(LogAccess& log, TimePoint now, std::optional<SystemReplay>& system) {
  const LogResult range = ReadRange(log, kSystemStream);
  if (range.status != LogStatus::kOk) {
    return range.status;
  }
  system.emplace(range.first_offset);
  return ReadSystemFrom(log, range.first_offset, now, *system);
}

}  // namespace limpet
