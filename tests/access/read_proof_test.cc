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

}  // namespace
}  // namespace limpet
