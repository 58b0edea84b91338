#include "limpet/configlog/log_reader.h"

#include <doctest/doctest.h>

#include "config/sample_config.h"
#include "configlog/memory_log.h"
#include "limpet/wire/codec.h"

namespace limpet {
namespace {

/// Appends `count` changes, each based on the one before. The change on version 0 defines the
/// sample configuration.
void AppendChanges(MemoryLog& log, int64_t base, int count) {
  for (int i = 0; i < count; ++i, ++base) {
    wire::ChangeRecord record;
    record.id = std::to_string(base + 1);
    record.base = base;
    if (base == 0) {
      record.delta.set_services = SampleConfig().services;
      record.delta.set_rules = SampleConfig().rules;
    }
    record.delta.set_rules.push_back(MakeRule("rule" + std::to_string(base)));
    log.Append({0, kConfigStream, wire::Encode(record)});
  }
}

void AppendSystem(MemoryLog& log, const wire::SystemRecord& record) {
  log.Append({0, kSystemStream, wire::Encode(record)});
}

/// Appends a claim of the checkpoint lease and a checkpoint of `config` with the token of this
/// claim.
void AppendCheckpoint(MemoryLog& log, const wire::FullConfig& config) {
  wire::LeaseClaim claim;
  claim.lease = kCheckpointLease;
  claim.holder = "n1";
  wire::SystemRecord record;
  record.__set_claim(claim);
  AppendSystem(log, record);
  wire::Checkpoint checkpoint;
  checkpoint.token = log.log.Read({0, kSystemStream, 1, 1}).end_offset - 1;
  checkpoint.config = config;
  wire::SystemRecord checkpoint_record;
  checkpoint_record.__set_checkpoint(checkpoint);
  AppendSystem(log, checkpoint_record);
}

TEST_CASE("each call of CatchUp replays the records appended since the last call") {
  MemoryLog log;
  LogReader reader(log);
  CHECK(reader.CatchUp() == LogStatus::kOk);
  CHECK(reader.replay().version() == 0);
  AppendChanges(log, 0, 3);
  CHECK(reader.CatchUp() == LogStatus::kOk);
  CHECK(reader.replay().version() == 3);
}

TEST_CASE("a reader starts from the checkpoint if the start of the stream is no longer retained") {
  MemoryLog log({.max_records = 20, .appends_per_second = 0});
  AppendChanges(log, 0, 30);
  CHECK(LogReader(log).CatchUp() == LogStatus::kOffsetExpired);

  LogReplay full;
  MemoryLog unlimited;
  AppendChanges(unlimited, 0, 25);
  for (const LogRecord& record : unlimited.log.Read({0, kConfigStream, 1, 100}).records) {
    full.Apply(record);
  }
  AppendCheckpoint(log, full.FullConfig());
  LogReader reader(log);
  CHECK(reader.CatchUp() == LogStatus::kOk);
  CHECK(reader.replay().version() == 30);
}

TEST_CASE("a checkpoint is found if many other records follow it") {
  MemoryLog log;
  AppendChanges(log, 0, 320);
  LogReplay full;
  for (const LogRecord& record : log.log.Read({0, kConfigStream, 1, 310}).records) {
    full.Apply(record);
  }
  AppendCheckpoint(log, full.FullConfig());
  wire::SystemRecord status;
  status.__set_status(wire::StatusRecord());
  for (int i = 0; i < 2500; ++i) {
    AppendSystem(log, status);
  }
  LogReader reader(log);
  CHECK(reader.CatchUp() == LogStatus::kOk);
  CHECK(reader.replay().version() == 320);
  // Only the records after the checkpoint were replayed.
  CHECK(reader.replay().accepted().size() == 10);
}

TEST_CASE(
    "a conflicting change is found if a checkpoint covers it or a rejected record follows it") {
  MemoryLog log({.max_records = 20, .appends_per_second = 0});
  AppendChanges(log, 0, 25);
  wire::ChangeRecord stale;
  stale.id = "stale";
  stale.base = 22;
  log.Append({0, kConfigStream, wire::Encode(stale)});
  wire::FullConfig config = SampleConfig();
  config.version = 25;
  config.next_offset = 27;
  AppendCheckpoint(log, config);
  LogReader reader(log);
  CHECK(reader.CatchUp() == LogStatus::kOk);
  CHECK(reader.FindConflictingChange(22).id == "23");
  CHECK(reader.FindConflictingChange(24).version == 25);
  // Record 3 is no longer retained.
  CHECK(reader.FindConflictingChange(2).id.empty());
  CHECK(reader.FindConflictingChange(2).version == 25);
}

TEST_CASE("a long stream without a checkpoint is replayed from the start") {
  MemoryLog log;
  AppendChanges(log, 0, 320);
  LogReader reader(log);
  CHECK(reader.CatchUp() == LogStatus::kOk);
  CHECK(reader.replay().version() == 320);
}

TEST_CASE("the call after a failed read continues at the same position") {
  MemoryLog log;
  AppendChanges(log, 0, 2);
  LogReader reader(log);
  log.read_faults = {LogStatus::kOk, LogStatus::kUnavailable};
  CHECK(reader.CatchUp() == LogStatus::kUnavailable);
  CHECK(reader.CatchUp() == LogStatus::kOk);
  CHECK(reader.replay().version() == 2);
}

}  // namespace
}  // namespace limpet
