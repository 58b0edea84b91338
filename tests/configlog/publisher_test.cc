#include "limpet/configlog/publisher.h"

#include <doctest/doctest.h>

#include "config/sample_config.h"
#include "configlog/memory_log.h"
#include "limpet/wire/codec.h"

namespace limpet {
namespace {

PublishResult PublishTo(MemoryLog& log, const wire::FullConfig& config, uint64_t seed = 1) {
  return Publisher(log, Random(seed), [](Duration) {}).Publish({config, "ada", "first"});
}

/// Publishes a configuration that differs from the sample configuration, based on version 0.
void PublishConflictingChange(MemoryLog& log) {
  wire::FullConfig config = SampleConfig();
  config.services[0].slots = 99;
  Publisher other(log, Random(2), [](Duration) {});
  CHECK(std::holds_alternative<Published>(other.Publish({config, "grace", ""})));
}

TEST_CASE("the version of a published change is the offset of its record") {
  MemoryLog log;
  CHECK(std::get<Published>(PublishTo(log, SampleConfig())).version == 1);
  wire::FullConfig next = SampleConfig();
  next.version = 1;
  CHECK(std::get<NothingToPublish>(PublishTo(log, next)).version == 1);
  next.services[0].slots = 13;
  const auto second = std::get<Published>(PublishTo(log, next, 3));
  CHECK(second.version == 2);
  CHECK(second.delta.set_services.size() == 1);
  CHECK(second.delta.set_targets.empty());
}

TEST_CASE("an invalid configuration is refused without a read of the log") {
  MemoryLog log;
  wire::FullConfig config = SampleConfig();
  config.rules.clear();
  CHECK(std::get<InvalidChange>(PublishTo(log, config)).problems.size() == 1);
  CHECK(log.reads == 0);
}

TEST_CASE("a publish conflict names author, id and version of the accepted change") {
  MemoryLog log;
  SUBCASE("the other change is published between the read and the append") {
    log.before_append = [&log] { PublishConflictingChange(log); };
  }
  SUBCASE("the other change is published before the read: nothing is appended") {
    PublishConflictingChange(log);
  }
  const auto conflict = std::get<PublishConflict>(PublishTo(log, SampleConfig()));
  CHECK(conflict.conflicting_change.author == "grace");
  CHECK(conflict.conflicting_change.version == 1);
  CHECK(conflict.conflicting_change.id == Random(2).HexId());
}

// A second append would be rejected for its stale base. The result must name the version of the
// first append.
TEST_CASE("after a lost response the record is found by its id and not appended again") {
  MemoryLog log;
  log.append_faults = {AppendFault::kLoseResponse};
  CHECK(std::get<Published>(PublishTo(log, SampleConfig())).version == 1);
  CHECK(log.appends == 1);
}

TEST_CASE("after a lost request the record is appended again") {
  MemoryLog log;
  log.append_faults = {AppendFault::kLoseRequest, AppendFault::kThrottle,
                       AppendFault::kLoseResponse};
  CHECK(std::get<Published>(PublishTo(log, SampleConfig())).version == 1);
  CHECK(log.appends == 3);
}

TEST_CASE("a lost append followed by a change of another publisher gives a conflict") {
  MemoryLog log;
  log.append_faults = {AppendFault::kLoseRequest};
  log.before_append = [&log] {
    // The append of the other publisher must not consume the scripted fault.
    auto faults = std::exchange(log.append_faults, {});
    PublishConflictingChange(log);
    log.append_faults = faults;
  };
  CHECK(std::get<PublishConflict>(PublishTo(log, SampleConfig())).conflicting_change.author ==
        "grace");
}

TEST_CASE("the result is unknown only if the record cannot be read back") {
  MemoryLog log;
  log.append_faults = {AppendFault::kLoseResponse};
  // Two successful reads before the append, then an outage.
  log.read_faults = {LogStatus::kOk, LogStatus::kOk};
  log.read_faults.insert(log.read_faults.end(), 10, LogStatus::kUnavailable);
  const auto unknown = std::get<UnknownResult>(PublishTo(log, SampleConfig()));
  CHECK(unknown.id == Random(1).HexId());
}

TEST_CASE("a record that may be in the log is never reported as not appended") {
  MemoryLog log;
  log.append_faults = {AppendFault::kLoseRequest, AppendFault::kThrottle, AppendFault::kThrottle,
                       AppendFault::kThrottle};
  CHECK(std::holds_alternative<UnknownResult>(PublishTo(log, SampleConfig())));
}

TEST_CASE("each kind of refusal by the log has its own result") {
  MemoryLog log({.max_record_bytes = 10});
  CHECK(std::get<ChangeTooLarge>(PublishTo(log, SampleConfig())).bytes > 10);
  log.append_faults.assign(10, AppendFault::kThrottle);
  CHECK(std::get<LogUnavailable>(PublishTo(log, SampleConfig())).status == LogStatus::kThrottled);
  log.log.faults.outage = true;
  CHECK(std::get<LogUnavailable>(PublishTo(log, SampleConfig())).status == LogStatus::kUnavailable);
}

TEST_CASE("the result matches the content of the log after any sequence of append faults") {
  Random random(7);
  for (int round = 0; round < 2000; ++round) {
    MemoryLog log;
    for (int i = 0; i < 4; ++i) {
      log.append_faults.push_back(static_cast<AppendFault>(random.NextBelow(4)));
    }
    const bool has_conflict = random.NextBelow(2) == 0;
    if (has_conflict) {
      log.before_append = [&log] {
        auto faults = std::exchange(log.append_faults, {});
        PublishConflictingChange(log);
        log.append_faults = faults;
      };
    }
    const PublishResult result = PublishTo(log, SampleConfig());
    // The author of the first record in the stream shows which change was accepted.
    const LogResult content = log.log.Read({0, kConfigStream, 1, 1});
    wire::ChangeRecord first;
    if (!content.records.empty()) {
      wire::Decode(content.records[0].payload, first);
    }
    CHECK(std::holds_alternative<Published>(result) == (first.author == "ada"));
    CHECK_FALSE((std::holds_alternative<PublishConflict>(result) && first.author != "grace"));
  }
}

}  // namespace
}  // namespace limpet
