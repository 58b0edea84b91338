#include "limpet/quota/quota_client.h"

#include <doctest/doctest.h>

#include "limpet/quota/quota_bucket.h"

namespace limpet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = TimePoint{} + std::chrono::hours(1);
const AccountLimit kLimit{10, 5};

struct Fixture {
  std::string holder = "h";
  QuotaClient client{QuotaOptions{}, kStart, [this](const std::string&) { return holder; }};

  std::optional<QuotaDecision> Admit(TimePoint now, int64_t request) {
    return client.Admit(now, "shop", kLimit, request);
  }
  /// Replies to the requests for tokens that are due that the node is not the holder.
  std::vector<QuotaDecision> ReplyNotHolder(TimePoint now, Duration decides_in) {
    const auto outgoing = client.TakeRequests(now);
    REQUIRE(outgoing.size() == 1);
    wire::QuotaReply reply;
    reply.request_id = outgoing[0].request.request_id;
    reply.not_holder = true;
    reply.decides_in_ms = static_cast<int32_t>(decides_in / milliseconds(1));
    return client.OnReply(now, outgoing[0].node, reply);
  }
  /// Replies to the requests for tokens that are due.
  std::vector<QuotaDecision> Reply(TimePoint now, int granted, int retry_after_ms) {
    const auto outgoing = client.TakeRequests(now);
    REQUIRE(outgoing.size() == 1);
    wire::QuotaGrant grant;
    grant.account = "shop";
    grant.granted = granted;
    grant.retry_after_ms = retry_after_ms;
    wire::QuotaReply reply;
    reply.request_id = outgoing[0].request.request_id;
    reply.term_ms = 250;
    reply.grants = {grant};
    return client.OnReply(now, outgoing[0].node, reply);
  }
};

TEST_CASE_FIXTURE(Fixture, "an account without a limit passes without messages") {
  CHECK(client.Admit(kStart, "shop", {}, 1)->verdict == QuotaVerdict::kGranted);
  CHECK(client.TakeRequests(kStart).empty());
}

TEST_CASE_FIXTURE(Fixture, "requests of a few milliseconds share one message") {
  CHECK_FALSE(Admit(kStart, 1));
  CHECK_FALSE(Admit(kStart, 2));
  const auto outgoing = client.TakeRequests(kStart + milliseconds(5));
  REQUIRE(outgoing.size() == 1);
  CHECK(outgoing[0].node == "h");
  CHECK(outgoing[0].request.asks.at(0).wanted == 2);
  CHECK(client.TakeRequests(kStart + milliseconds(6)).empty());
}

TEST_CASE_FIXTURE(Fixture, "over the limit a request is refused until the next token") {
  CHECK_FALSE(Admit(kStart, 1));
  CHECK_FALSE(Admit(kStart, 2));
  const auto decisions = Reply(kStart, 1, 80);
  REQUIRE(decisions.size() == 2);
  CHECK(decisions[0].verdict == QuotaVerdict::kGranted);
  CHECK(decisions[1].verdict == QuotaVerdict::kLimited);
  CHECK(decisions[1].retry_after == Duration(milliseconds(80)));
  const auto third = Admit(kStart + milliseconds(30), 3);
  REQUIRE(third);
  CHECK(third->verdict == QuotaVerdict::kLimited);
  CHECK(third->retry_after == Duration(milliseconds(50)));
  CHECK_FALSE(Admit(kStart + milliseconds(80), 4));
}

// Guards against the use of a token after its term, when another holder may have granted it again.
TEST_CASE_FIXTURE(Fixture, "a token expires at the end of its term") {
  CHECK_FALSE(Admit(kStart, 1));
  const auto decisions = Reply(kStart, 2, 0);
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].token_until == kStart + milliseconds(250));
  CHECK_FALSE(Admit(kStart + milliseconds(250), 2));
}

// A process that was paused gets its replies late.
TEST_CASE_FIXTURE(Fixture, "a grant that arrives after its term gives no token") {
  CHECK_FALSE(Admit(kStart, 1));
  const auto outgoing = client.TakeRequests(kStart);
  wire::QuotaGrant grant;
  grant.account = "shop";
  grant.granted = 1;
  wire::QuotaReply reply;
  reply.request_id = outgoing.at(0).request.request_id;
  reply.term_ms = 250;
  reply.grants = {grant};
  const TimePoint late = kStart + milliseconds(251);
  for (const QuotaDecision& decision : client.OnReply(late, "h", reply)) {
    CHECK(decision.verdict != QuotaVerdict::kGranted);
  }
}

TEST_CASE_FIXTURE(Fixture,
                  "the token of a request that did not run is used again within its term") {
  CHECK_FALSE(Admit(kStart, 1));
  const TimePoint until = Reply(kStart, 1, 0).at(0).token_until;
  client.Return(kStart + milliseconds(100), "shop", until);
  CHECK(Admit(kStart + milliseconds(110), 2)->verdict == QuotaVerdict::kGranted);
  client.Return(kStart + milliseconds(300), "shop", until);
  CHECK_FALSE(Admit(kStart + milliseconds(310), 3));
}

TEST_CASE_FIXTURE(Fixture, "unused tokens return before their term ends") {
  CHECK_FALSE(Admit(kStart, 1));
  Reply(kStart, 4, 0);
  CHECK(client.TakeRequests(kStart + milliseconds(100)).empty());
  const auto outgoing = client.TakeRequests(kStart + milliseconds(180));
  REQUIRE(outgoing.size() == 1);
  CHECK(outgoing[0].request.asks.at(0).unused == 3);
}

TEST_CASE_FIXTURE(Fixture, "without a reply in time a request is refused with 503, not 429") {
  CHECK_FALSE(Admit(kStart, 1));
  client.TakeRequests(kStart);
  CHECK(client.Expire(kStart + milliseconds(149)).empty());
  const auto decisions = client.Expire(kStart + milliseconds(150));
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].verdict == QuotaVerdict::kNoToken);
  // The next request is decided at once, and the holder is asked again.
  CHECK(Admit(kStart + milliseconds(300), 2)->verdict == QuotaVerdict::kNoToken);
  CHECK(Reply(kStart + milliseconds(300), 1, 0).empty());
  CHECK(Admit(kStart + milliseconds(310), 3)->verdict == QuotaVerdict::kGranted);
}

TEST_CASE_FIXTURE(Fixture, "a new holder is asked at once") {
  CHECK_FALSE(Admit(kStart, 1));
  client.TakeRequests(kStart);
  client.Expire(kStart + milliseconds(150));
  holder = "h2";
  CHECK_FALSE(Admit(kStart + milliseconds(160), 2));
  CHECK(client.TakeRequests(kStart + milliseconds(165)).at(0).node == "h2");
}

// Guards against refused requests at each change of the holder, although its successor is there
// within milliseconds.
TEST_CASE_FIXTURE(Fixture, "requests wait for the successor of a holder that has just ended") {
  CHECK_FALSE(Admit(kStart, 1));
  CHECK(ReplyNotHolder(kStart, Duration(0)).empty());
  CHECK_FALSE(Admit(kStart + milliseconds(10), 2));
  holder = "h2";
  const auto decisions = Reply(kStart + milliseconds(20), 2, 0);
  REQUIRE(decisions.size() == 2);
  CHECK(decisions[0].verdict == QuotaVerdict::kGranted);
  CHECK(decisions[1].verdict == QuotaVerdict::kGranted);
}

TEST_CASE_FIXTURE(Fixture, "without a successor requests do not wait longer than for a reply") {
  CHECK_FALSE(Admit(kStart, 1));
  CHECK(ReplyNotHolder(kStart, Duration(0)).empty());
  CHECK_FALSE(Admit(kStart + milliseconds(149), 2));
  CHECK(client.Expire(kStart + milliseconds(150)).size() == 1);
  CHECK(Admit(kStart + milliseconds(150), 3)->verdict == QuotaVerdict::kNoToken);
}

// Guards against requests that wait, or are sent again and again, while no holder can be there.
TEST_CASE_FIXTURE(Fixture, "a request is refused at once until the time of the next holder") {
  CHECK_FALSE(Admit(kStart, 1));
  const auto decisions = ReplyNotHolder(kStart, seconds(2));
  REQUIRE(decisions.size() == 1);
  CHECK(decisions[0].verdict == QuotaVerdict::kNoToken);
  CHECK(decisions[0].retry_after == Duration(seconds(2)));
  CHECK(Admit(kStart + milliseconds(500), 2)->retry_after == Duration(milliseconds(1500)));
  // The holder may decide sooner, so it is asked again meanwhile.
  CHECK(Reply(kStart + milliseconds(510), 1, 0).empty());
  CHECK(Admit(kStart + milliseconds(520), 3)->verdict == QuotaVerdict::kGranted);
}

TEST_CASE_FIXTURE(Fixture, "after the end of the holder's process the takeover time is told") {
  CHECK_FALSE(Admit(kStart, 1));
  const auto fail = [&](TimePoint now) {
    const auto outgoing = client.TakeRequests(now).at(0);
    return client.OnUnreachable(now, outgoing.node, outgoing.request.request_id);
  };
  CHECK(fail(kStart).at(0).retry_after == Duration(seconds(3)));
  CHECK(Admit(kStart + seconds(1), 2)->retry_after == Duration(seconds(2)));
  fail(kStart + seconds(1));
  CHECK(Admit(kStart + seconds(2), 3)->retry_after == Duration(seconds(1)));
}

TEST_CASE_FIXTURE(Fixture,
                  "the fallback allowance is split between the nodes, and not after a start") {
  holder = "";
  client.set_nodes(4);
  CHECK(Admit(kStart + milliseconds(4999), 1)->verdict == QuotaVerdict::kNoToken);
  // Half of 0.1 * (5 * 10 + 5) + 20 is 12.75 for four nodes.
  int passed = 0;
  for (int i = 0; i < 10; ++i) {
    const auto decision = Admit(kStart + seconds(5), i);
    passed += decision->verdict == QuotaVerdict::kGranted ? 1 : 0;
  }
  CHECK(passed == 3);
}

TEST_CASE("a bucket starts empty, fills at nearly the rate and keeps the burst") {
  QuotaBucket bucket({}, kStart);
  CHECK(bucket.Take(kStart, kLimit, 1, 0).granted == 0);
  CHECK(bucket.Take(kStart, kLimit, 1, 0).retry_after > Duration(milliseconds(90)));
  CHECK(bucket.Take(kStart + seconds(1), kLimit, 100, 0).granted == 9);
  // Burst 5, slack 8 and the refill of 100 ms.
  CHECK(bucket.Take(kStart + seconds(100), kLimit, 100, 0).granted == 13);
}

TEST_CASE("a bucket takes back tokens of the last term only") {
  QuotaBucket bucket({}, kStart);
  CHECK(bucket.Take(kStart + seconds(10), kLimit, 13, 0).granted == 13);
  CHECK(bucket.Take(kStart + seconds(10) + milliseconds(200), kLimit, 20, 4).granted == 6);
  CHECK(bucket.Take(kStart + seconds(10) + milliseconds(500), kLimit, 20, 20).granted <= 9);
}

// Guards against a second full bucket after a lease that was lost and regained.
TEST_CASE("a holder that regains its lease starts with an empty bucket") {
  std::optional<TimePoint> since = kStart;
  QuotaHolder holder(
      {}, [&](const std::string&) { return since; },
      [](const std::string&) { return std::optional(kLimit); },
      [](const std::string&) { return std::optional<Duration>(seconds(2)); });
  wire::QuotaAsk ask;
  ask.account = "shop";
  ask.wanted = 100;
  wire::QuotaRequest request;
  request.asks = {ask};
  TimePoint now = kStart + seconds(60);
  CHECK(holder.OnRequest(now, request).grants.at(0).granted == 13);
  since.reset();
  CHECK(holder.OnRequest(now, request).not_holder);
  CHECK(holder.OnRequest(now, request).decides_in_ms == 2000);
  now += seconds(60);
  since = now;
  const wire::QuotaReply reply = holder.OnRequest(now, request);
  CHECK(reply.grants.at(0).granted == 0);
  CHECK(reply.grants.at(0).retry_after_ms > 0);
}

TEST_CASE("a lowered limit takes effect with the next request for tokens") {
  QuotaBucket bucket({}, kStart);
  const AccountLimit low{1, 0};
  CHECK(bucket.Take(kStart + seconds(100), {1000, 1000}, 1, 0).granted == 1);
  CHECK(bucket.Take(kStart + seconds(101), low, 100, 0).granted <= 8);
}

}  // namespace
}  // namespace limpet
