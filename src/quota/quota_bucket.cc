#include "limpet/quota/quota_bucket.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace limpet {

namespace {

/// Most tokens that one request for tokens may ask for or return.
constexpr int kMaxTokens = 1'000'000;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// Rate at which a bucket fills. Somewhat lower than the limit, because a window of use contains
/// the grants of the window, of the term before it, and the refill that was kept.
double FillRate(const QuotaOptions& options, const AccountLimit& limit) {
  const double window = Seconds(options.window);
  const double covered = window + Seconds(options.term) + Seconds(options.kept_refill);
  return limit.requests_per_s *
         std::min(1.0, window * (1 + kTermShare * options.overshoot) / covered);
}

}  // namespace

void QuotaBucket::Refill(TimePoint now, const AccountLimit& limit) {
  // The tokens of the time before a changed limit came into effect are those of the earlier limit.
  const double rate = FillRate(options_, limit);
  const double elapsed = std::max(0.0, Seconds(now - refilled_at_));
  level_ += elapsed * (rate_ > 0 ? std::min(rate_, rate) : rate);
  refilled_at_ = std::max(refilled_at_, now);
  rate_ = rate;
}

int QuotaBucket::AcceptReturned(TimePoint now, int unused) {
  while (!recent_.empty() && now - recent_.front().at > options_.term) {
    recent_.pop_front();
  }
  int accepted = 0;
  for (auto granted = recent_.begin(); granted != recent_.end() && accepted < unused; ++granted) {
    const int count = std::min(granted->count, unused - accepted);
    granted->count -= count;
    accepted += count;
  }
  return accepted;
}

QuotaBucket::Grant QuotaBucket::Take(TimePoint now,
                                     const AccountLimit& limit,
                                     int wanted,
                                     int unused) {
  Refill(now, limit);
  level_ += AcceptReturned(now, std::clamp(unused, 0, kMaxTokens));
  const double capacity =
      limit.burst + rate_ * Seconds(options_.kept_refill) + kKeptSlackShare * options_.slack;
  level_ = std::min(level_, std::max(1.0, capacity));
  Grant grant;
  wanted = std::clamp(wanted, 0, kMaxTokens);
  grant.granted = std::min(wanted, static_cast<int>(std::floor(level_)));
  level_ -= grant.granted;
  if (grant.granted > 0) {
    recent_.push_back({now, grant.granted});
  }
  if (grant.granted < wanted) {
    const double wait_s = (1 - level_) / rate_;
    grant.retry_after = Duration(std::llround(std::clamp(wait_s, 0.0, 3600.0) * 1e6));
  }
  return grant;
}

QuotaHolder::QuotaHolder(const QuotaOptions& options,
                         HeldSince held_since,
                         LimitOf limit_of,
                         DecidesIn decides_in)
    : options_(options),
      held_since_(std::move(held_since)),
      limit_of_(std::move(limit_of)),
      decides_in_(std::move(decides_in)) {}

wire::QuotaReply QuotaHolder::OnRequest(TimePoint now, const wire::QuotaRequest& request) {
  wire::QuotaReply reply;
  reply.request_id = request.request_id;
  reply.term_ms = static_cast<int32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(options_.term).count());
  for (const wire::QuotaAsk& ask : request.asks) {
    const auto since = held_since_(ask.account);
    const auto limit = limit_of_(ask.account);
    if (!since || !limit) {
      buckets_.erase(ask.account);
      reply.not_holder = true;
      const Duration wait = decides_in_(ask.account).value_or(Duration(0));
      reply.decides_in_ms =
          static_cast<int32_t>(std::chrono::ceil<std::chrono::milliseconds>(wait).count());
      continue;
    }
    wire::QuotaGrant grant;
    grant.account = ask.account;
    if (limit->requests_per_s <= 0) {
      buckets_.erase(ask.account);
      grant.granted = std::clamp(ask.wanted, 0, kMaxTokens);
    } else {
      auto held = buckets_.find(ask.account);
      // Another node may have granted tokens while this one did not hold the lease.
      if (held == buckets_.end() || held->second.since != *since) {
        held = buckets_.insert_or_assign(ask.account, Held{*since, QuotaBucket(options_, *since)})
                   .first;
      }
      const QuotaBucket::Grant taken =
          held->second.bucket.Take(now, *limit, ask.wanted, ask.unused);
      grant.granted = taken.granted;
      // Rounded up: a request at this time would otherwise find the bucket just short of a token.
      grant.retry_after_ms = static_cast<int32_t>(
          std::chrono::ceil<std::chrono::milliseconds>(taken.retry_after).count());
    }
    reply.grants.push_back(std::move(grant));
  }
  return reply;
}

}  // namespace limpet
