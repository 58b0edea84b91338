#include "limpet/access/read_proof.h"

#include <doctest/doctest.h>

namespace limpet {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kWait = milliseconds(1500);

StoreRead MakeRead(TimePoint sent, Duration took, Duration wait = Duration(0)) {
  StoreRead read;
  read.sent = sent;
  read.received = sent + took;
  read.wait = wait;
  read.complete = true;
  read.end = 10;
  return read;
}

TEST_CASE("a read proves the time at which it was sent, however late its response comes") {
  ReadProof proof;
  CHECK(proof.OnRead(MakeRead(kStart, milliseconds(3))) == kStart);
  CHECK(proof.OnRead(MakeRead(kStart, std::chrono::seconds(60))) == kStart);
  StoreRead partial = MakeRead(kStart, milliseconds(3));
  partial.complete = false;
  CHECK_FALSE(proof.OnRead(partial));
}

// Guards against a proof by a store that stalled, or that ended the long poll early.
TEST_CASE("a long poll without records proves the end of its wait only if it took that long") {
  ReadProof proof;
  CHECK(proof.OnRead(MakeRead(kStart, kWait, kWait)) == kStart + kWait);
  CHECK(proof.OnRead(MakeRead(kStart, kWait + milliseconds(250), kWait)) == kStart + kWait);
  CHECK(proof.OnRead(MakeRead(kStart, kWait + milliseconds(251), kWait)) == kStart);
  CHECK(proof.was_late());
  CHECK(proof.OnRead(MakeRead(kStart, kWait - Duration(1), kWait)) == kStart);
  CHECK_FALSE(proof.was_late());
  StoreRead with_record = MakeRead(kStart, kWait, kWait);
  with_record.has_records = true;
  CHECK(proof.OnRead(with_record) == kStart);
}

// Guards against a proof by a store that has lost acknowledged records, for example the removal of
// a key.
TEST_CASE("a new epoch proves nothing until a configuration was written in it") {
  ReadProof proof;
  StoreRead read = MakeRead(kStart, milliseconds(3));
  read.epoch = 1;
  CHECK(proof.OnRead(read) == kStart);
  read.epoch = 2;
  read.end = 8;
  read.config_offset = 7;
  CHECK_FALSE(proof.OnRead(read));
  CHECK(proof.epoch_changed());
  CHECK_FALSE(proof.OnRead(read));
  CHECK_FALSE(proof.epoch_changed());
  read.end = 9;
  read.config_offset.reset();
  CHECK_FALSE(proof.OnRead(read));
  read.config_offset = 8;
  CHECK(proof.OnRead(read) == kStart);
  read.config_offset.reset();
  CHECK(proof.OnRead(read) == kStart);
  read.epoch = 3;
  CHECK_FALSE(proof.OnRead(read));
}

// Guards against a node that starts after the store was restored and does not know what it lost.
TEST_CASE("a process that starts in a later epoch has no proof by its own reads") {
  StoreRead read = MakeRead(kStart, milliseconds(3));
  read.epoch = 1;
  CHECK(ReadProof().OnRead(read));
  read.epoch = 2;
  ReadProof proof;
  CHECK_FALSE(proof.OnRead(read));
  CHECK_FALSE(proof.epoch_changed());
  read.config_offset = read.end++;
  CHECK(proof.OnRead(read));
}

StoreRead MakeLaterEpochRead(TimePoint sent, Duration took, Duration wait = Duration(0)) {
  StoreRead read = MakeRead(sent, took, wait);
  read.epoch = 2;
  return read;
}

// Guards against a process that trusts the record of a witness for another epoch, or a read that
// the store answered before the witness had its evidence.
TEST_CASE("the record of a witness is evidence for its epoch only, from its reading on") {
  ReadProof proof;
  CHECK_FALSE(proof.OnRead(MakeLaterEpochRead(kStart, milliseconds(3))));
  CHECK_FALSE(proof.OnWitness(kStart + milliseconds(10), 1));
  CHECK(proof.evidence() == EpochEvidence::kNone);
  CHECK(proof.OnWitness(kStart + milliseconds(10), 2));
  CHECK(proof.evidence() == EpochEvidence::kWitness);
  CHECK_FALSE(proof.OnRead(MakeLaterEpochRead(kStart + milliseconds(9), milliseconds(3))));
  const TimePoint later = kStart + milliseconds(10);
  CHECK(proof.OnRead(MakeLaterEpochRead(later, milliseconds(3))) == later);
  StoreRead restored = MakeLaterEpochRead(later + milliseconds(10), milliseconds(3));
  restored.epoch = 3;
  CHECK_FALSE(proof.OnRead(restored));
  CHECK(proof.evidence() == EpochEvidence::kNone);
}

/// Polls until the reads are proofs. Returns the time that it took; no value after a minute.
std::optional<Duration> TimeUntilProven(ReadProof& proof, TimePoint start) {
  for (TimePoint now = start; now < start + std::chrono::minutes(1); now += kWait) {
    if (proof.OnRead(MakeLaterEpochRead(now, kWait, kWait))) {
      return now + kWait - start;
    }
  }
  return std::nullopt;
}

// Guards against reads that never prove anything again after a restore that lost no configuration,
// and against a proof before the operator had the time to write again.
TEST_CASE("an epoch counts as complete after the store has worked for the settle time") {
  ReadProof proof;
  CHECK_FALSE(proof.OnRead(MakeLaterEpochRead(kStart, milliseconds(3))));
  CHECK(proof.RemainingSettleTime() == ReadProof::kDefaultSettleTime);
  const auto took = TimeUntilProven(proof, kStart + milliseconds(3));
  REQUIRE(took);
  CHECK(*took >= ReadProof::kDefaultSettleTime);
  CHECK(*took < ReadProof::kDefaultSettleTime + kWait);
  CHECK(proof.evidence() == EpochEvidence::kWatched);
  CHECK(proof.RemainingSettleTime() == Duration(0));
}

// Guards against a settle time that passes while the operator cannot write.
TEST_CASE("the settle time does not pass while the store does not work") {
  ReadProof proof;
  CHECK_FALSE(proof.OnRead(MakeLaterEpochRead(kStart, milliseconds(3))));
  const Duration outage = std::chrono::minutes(1);
  CHECK_FALSE(proof.OnRead(MakeLaterEpochRead(kStart, outage)));
  CHECK(proof.RemainingSettleTime() == ReadProof::kDefaultSettleTime);
  // No response at all for the same time.
  CHECK_FALSE(proof.OnRead(MakeLaterEpochRead(kStart + 2 * outage, milliseconds(3))));
  CHECK(proof.RemainingSettleTime() >= ReadProof::kDefaultSettleTime - std::chrono::seconds(1));
}

// Guards against an operator's writes that come in their old order: the first one may lack the
// removal of a key that this process has seen.
TEST_CASE("a configuration older than one that was read is no evidence for an epoch") {
  ReadProof proof;
  StoreRead read = MakeRead(kStart, milliseconds(3));
  read.epoch = 1;
  read.config_offset = 9;
  read.config_version = 8;
  CHECK(proof.OnRead(read));
  read.epoch = 2;
  read.end = 8;
  read.config_offset = 7;
  read.config_version = 6;
  CHECK_FALSE(proof.OnRead(read));
  read.end = 9;
  read.config_offset = 8;
  read.config_version = 7;
  CHECK_FALSE(proof.OnRead(read));
  read.end = 10;
  read.config_offset = 9;
  read.config_version = 8;
  CHECK(proof.OnRead(read));
  CHECK(proof.evidence() == EpochEvidence::kConfiguration);
}

}  // namespace
}  // namespace limpet
