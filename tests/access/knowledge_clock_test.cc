#include "limpet/access/knowledge_clock.h"

#include <doctest/doctest.h>

namespace limpet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

ProbeReply MakeReply(int64_t nonce, std::optional<Duration> age, int64_t version = 1) {
  return {nonce, age, version, 0};
}

TEST_CASE("a proof never goes back, and without one nothing is current") {
  KnowledgeClock clock;
  CHECK_FALSE(clock.Age(kStart));
  CHECK_FALSE(clock.IsCurrent(kStart, std::chrono::hours(2)));
  clock.OnProof(kStart);
  clock.OnProof(kStart - seconds(3));
  CHECK(clock.Age(kStart + seconds(1)) == seconds(1));
  CHECK(clock.IsCurrent(kStart + seconds(1), seconds(1)));
  CHECK_FALSE(clock.IsCurrent(kStart + seconds(1) + Duration(1), seconds(1)));
}

// Guards against a proof that is based on the arrival of a reply which was delayed, for example
// because this node was frozen.
TEST_CASE("the proof of a peer counts from the time at which the probe was sent") {
  KnowledgeClock clock;
  const int64_t nonce = clock.OnProbeSent(kStart, "peer");
  // The reply arrives 20 s later.
  clock.OnProbeReply("peer", MakeReply(nonce, milliseconds(300)), 1, 0);
  CHECK(clock.proven() == kStart - milliseconds(300));
}

TEST_CASE("only the reply to the pending probe of the link is a proof") {
  KnowledgeClock clock;
  const int64_t nonce = clock.OnProbeSent(kStart, "peer");
  CHECK(nonce != 0);
  CHECK(clock.OnProbeSent(kStart + seconds(1), "peer") == 0);
  CHECK(clock.OnProbeSent(kStart, "other") != nonce);
  clock.OnProbeReply("peer", MakeReply(0, Duration(0)), 1, 0);
  clock.OnProbeReply("peer", MakeReply(nonce + 10, Duration(0)), 1, 0);
  clock.OnProbeReply("third", MakeReply(nonce, Duration(0)), 1, 0);
  CHECK_FALSE(clock.proven());
  clock.OnProbeReply("peer", MakeReply(nonce, Duration(0)), 1, 0);
  CHECK(clock.proven() == kStart);
  // A reply that is duplicated proves nothing more.
  clock.OnProbeReply("peer", MakeReply(nonce, Duration(0)), 1, 0);
  CHECK(clock.proven() == kStart);
}

// Guards against a link on which no further probe is sent after a reply was lost with it, and
// against a late reply on the earlier link.
TEST_CASE("after the loss of a link a new probe is sent and the earlier reply is ignored") {
  KnowledgeClock clock;
  const int64_t lost = clock.OnProbeSent(kStart, "peer");
  clock.OnLinkLost("peer");
  const int64_t next = clock.OnProbeSent(kStart + seconds(5), "peer");
  CHECK(next != 0);
  CHECK(next != lost);
  clock.OnProbeReply("peer", MakeReply(lost, Duration(0)), 1, 0);
  CHECK_FALSE(clock.proven());
  clock.OnProbeReply("peer", MakeReply(next, Duration(0)), 1, 0);
  CHECK(clock.proven() == kStart + seconds(5));
}

// Guards against a node that takes over a proof without the records which it is about.
TEST_CASE("the proof of a peer that knows more is not taken over") {
  KnowledgeClock clock;
  const auto probe = [&clock](const ProbeReply& reply, int64_t version, int64_t digest) {
    ProbeReply numbered = reply;
    numbered.nonce = clock.OnProbeSent(kStart, "peer");
    clock.OnProbeReply("peer", numbered, version, digest);
    return clock.proven().has_value();
  };
  CHECK_FALSE(probe({0, Duration(0), 8, 0}, 7, 0));
  CHECK_FALSE(probe({0, Duration(0), 7, 1}, 7, 2));
  CHECK_FALSE(probe({0, std::nullopt, 7, 0}, 7, 0));
  CHECK_FALSE(probe({0, Duration(-1), 7, 0}, 7, 0));
  CHECK(probe({0, Duration(0), 6, 2}, 7, 2));
}

}  // namespace
}  // namespace limpet
