#include "limpet/quota/quota_client.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "limpet/core/fault.h"

namespace limpet {

namespace {

/// Time constant of the average of an account's demand.
constexpr Duration kDemandTime = std::chrono::milliseconds(500);
/// Fraction of the term for whose demand tokens are requested in advance, and that of the remaining
/// tokens at which more are requested.
constexpr double kAheadShare = 0.5;
constexpr double kRefillShare = 0.25;
/// Unused tokens are returned this long before their term ends, so that they reach the holder
/// within it.
constexpr Duration kReturnMargin = std::chrono::milliseconds(80);
/// Interval of requests to a holder that does not reply.
constexpr Duration kUnresponsiveInterval = std::chrono::milliseconds(100);
constexpr Duration kRetryAfterNoToken = std::chrono::milliseconds(250);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(1);
constexpr int kMaxTokens = 1'000'000;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

QuotaClient::QuotaClient(const QuotaOptions& options, TimePoint now, HolderOf holder_of)
    : options_(options), started_(now), holder_of_(std::move(holder_of)) {}

int QuotaClient::CountTokens(const Account& account) {
  int count = 0;
  for (const Tokens& tokens : account.tokens) {
    count += tokens.count;
  }
  return count;
}

void QuotaClient::DropExpired(TimePoint now, Account& account) const {
  if (IsFaultActive(Fault::kSpendExpiredTokens)) {
    return;
  }
  std::erase_if(account.tokens,
                [now](const Tokens& tokens) { return tokens.count == 0 || now >= tokens.until; });
}

void QuotaClient::RecordDemand(TimePoint now, Account& account) const {
  const double age = Seconds(now - account.demand_at) / Seconds(kDemandTime);
  account.demand = account.demand * std::exp(-std::max(0.0, age)) + 1 / Seconds(kDemandTime);
  account.demand_at = now;
}

QuotaDecision QuotaClient::TakeToken(Account& account, int64_t request) {
  Tokens& first = account.tokens.front();
  QuotaDecision decision{request};
  decision.token_until = first.until;
  if (--first.count == 0) {
    account.tokens.pop_front();
  }
  return decision;
}

std::optional<QuotaDecision> QuotaClient::Admit(TimePoint now,
                                                const std::string& name,
                                                const AccountLimit& limit,
                                                int64_t request) {
  if (limit.requests_per_s <= 0) {
    return QuotaDecision{request};
  }
  Account& account = accounts_[name];
  if (account.limit != limit) {
    account.limit = limit;
    account.limited_until = {};
  }
  RecordDemand(now, account);
  DropExpired(now, account);
  if (!account.tokens.empty()) {
    return TakeToken(account, request);
  }
  if (now < account.limited_until) {
    return QuotaDecision{request, QuotaVerdict::kLimited, account.limited_until - now};
  }
  const std::string holder = holder_of_(name);
  const bool has_holder = !holder.empty() && holder != account.unresponsive_holder;
  if (!has_holder && now >= account.successor_expected_until) {
    account.probe_due = true;
    return DecideWithoutToken(now, account, request);
  }
  account.waiting.push_back({request, now + options_.reply_timeout});
  return std::nullopt;
}

QuotaDecision QuotaClient::DecideWithoutToken(TimePoint now,
                                              Account& account,
                                              int64_t request) const {
  while (!account.fallback.empty() && now - account.fallback.front() >= options_.window) {
    account.fallback.pop_front();
  }
  const double limit =
      account.limit.requests_per_s * Seconds(options_.window) + account.limit.burst;
  const double allowance =
      kFallbackShare * (options_.overshoot * limit + options_.slack) / std::max(1, nodes_);
  // A process that was restarted does not know what it passed before.
  const bool may_pass = now - started_ >= options_.window &&
                        static_cast<double>(account.fallback.size()) + 1 <= allowance;
  if (!may_pass) {
    const Duration until_holder = account.next_holder_at - now;
    return {request, QuotaVerdict::kNoToken, std::max(kRetryAfterNoToken, until_holder)};
  }
  account.fallback.push_back(now);
  return {request, QuotaVerdict::kGranted, Duration(0), true};
}

void QuotaClient::Cancel(int64_t request) {
  for (auto& [name, account] : accounts_) {
    std::erase_if(account.waiting,
                  [request](const Waiting& waiting) { return waiting.request == request; });
  }
}

void QuotaClient::Return(TimePoint now, const std::string& name, TimePoint token_until) {
  const auto found = accounts_.find(name);
  if (found == accounts_.end() || now >= token_until) {
    return;
  }
  auto& tokens = found->second.tokens;
  const auto later = std::ranges::upper_bound(tokens, token_until, {}, &Tokens::until);
  tokens.insert(later, {token_until, 1});
}

std::optional<wire::QuotaAsk> QuotaClient::MakeAsk(TimePoint now,
                                                   const std::string& name,
                                                   const std::string& holder,
                                                   Account& account) {
  DropExpired(now, account);
  const bool is_pending =
      account.pending && !account.pending->overdue && account.pending->node == holder;
  const bool is_too_soon = holder == account.unresponsive_holder && now < account.next_ask;
  if (is_pending || is_too_soon) {
    return std::nullopt;
  }
  wire::QuotaAsk ask;
  ask.account = name;
  const double age = Seconds(now - account.demand_at) / Seconds(kDemandTime);
  const double expected = account.demand * std::exp(-std::max(0.0, age)) * Seconds(options_.term);
  // Tokens that are about to expire go back, unless present demand will use them before.
  int kept = CountTokens(account);
  while (!account.tokens.empty() && account.tokens.front().until - now <= kReturnMargin) {
    ask.unused += account.tokens.front().count;
    kept -= account.tokens.front().count;
    account.tokens.pop_front();
  }
  const auto waiting = static_cast<int>(account.waiting.size());
  const bool low = kept < kRefillShare * expected && expected >= 1;
  if ((waiting > 0 || low) && now >= account.limited_until) {
    const int ahead = static_cast<int>(std::min<double>(kAheadShare * expected, kMaxTokens));
    ask.wanted = waiting + std::max(0, ahead - kept);
  }
  if (std::exchange(account.probe_due, false) && ask.wanted == 0) {
    ask.wanted = 1;
  }
  return ask.wanted > 0 || ask.unused > 0 ? std::optional(ask) : std::nullopt;
}

std::vector<QuotaClient::Outgoing> QuotaClient::TakeRequests(TimePoint now) {
  std::map<std::string, wire::QuotaRequest> requests;
  for (auto& [name, account] : accounts_) {
    const std::string holder = holder_of_(name);
    if (holder.empty()) {
      continue;
    }
    if (auto ask = MakeAsk(now, name, holder, account)) {
      wire::QuotaRequest& request = requests[holder];
      if (request.asks.empty()) {
        request.request_id = next_id_++;
      }
      account.pending = Pending{request.request_id, holder, now, ask->wanted};
      account.next_ask =
          account.unresponsive_holder == holder ? now + kUnresponsiveInterval : TimePoint{};
      request.asks.push_back(std::move(*ask));
    }
  }
  std::vector<Outgoing> outgoing;
  outgoing.reserve(requests.size());
  for (auto& [node, request] : requests) {
    outgoing.push_back({node, std::move(request)});
  }
  return outgoing;
}

void QuotaClient::RefuseWaiting(TimePoint now,
                                Account& account,
                                std::vector<QuotaDecision>& decisions) const {
  for (const Waiting& waiting : std::exchange(account.waiting, {})) {
    decisions.push_back(DecideWithoutToken(now, account, waiting.request));
  }
}

void QuotaClient::ApplyGrant(TimePoint now,
                             Account& account,
                             const wire::QuotaGrant& grant,
                             Duration term,
                             std::vector<QuotaDecision>& decisions) {
  const Pending pending = *std::exchange(account.pending, std::nullopt);
  account.unresponsive_holder.clear();
  account.unreachable_holder.clear();
  account.next_ask = {};
  account.successor_expected_until = {};
  account.next_holder_at = {};
  const int granted = std::clamp(grant.granted, 0, kMaxTokens);
  account.tokens.push_back({pending.sent_at + std::min(term, options_.term), granted});
  DropExpired(now, account);
  while (!account.waiting.empty() && !account.tokens.empty()) {
    decisions.push_back(TakeToken(account, account.waiting.front().request));
    account.waiting.pop_front();
  }
  if (granted >= pending.wanted) {
    return;
  }
  const Duration retry_after =
      std::max<Duration>(kMinRetryAfter, std::chrono::milliseconds(grant.retry_after_ms));
  account.limited_until = now + retry_after;
  for (const Waiting& waiting : std::exchange(account.waiting, {})) {
    decisions.push_back({waiting.request, QuotaVerdict::kLimited, retry_after});
  }
}

std::vector<QuotaDecision> QuotaClient::OnReply(TimePoint now,
                                                const std::string& node,
                                                const wire::QuotaReply& reply) {
  std::vector<QuotaDecision> decisions;
  for (auto& [name, account] : accounts_) {
    if (!account.pending || account.pending->id != reply.request_id ||
        account.pending->node != node) {
      continue;
    }
    const auto grant = std::ranges::find(reply.grants, name, &wire::QuotaGrant::account);
    if (grant != reply.grants.end()) {
      ApplyGrant(now, account, *grant, std::chrono::milliseconds(reply.term_ms), decisions);
      continue;
    }
    account.pending.reset();
    account.unreachable_holder.clear();
    const Duration decides_in = std::chrono::milliseconds(reply.decides_in_ms);
    account.next_holder_at = now + decides_in;
    if (decides_in <= options_.reply_timeout && account.unresponsive_holder != node) {
      // The lease has just moved. Waiting requests are decided by `Expire` at the latest.
      account.successor_expected_until = now + options_.reply_timeout;
    }
    account.unresponsive_holder = node;
    account.next_ask = now + kUnresponsiveInterval;
    if (now >= account.successor_expected_until) {
      RefuseWaiting(now, account, decisions);
    }
  }
  return decisions;
}

std::vector<QuotaDecision> QuotaClient::OnUnreachable(TimePoint now,
                                                      const std::string& node,
                                                      int64_t request_id) {
  std::vector<QuotaDecision> decisions;
  for (auto& [name, account] : accounts_) {
    if (account.pending && account.pending->id == request_id && account.pending->node == node) {
      account.pending.reset();
      account.unresponsive_holder = node;
      account.next_ask = now + kUnresponsiveInterval;
      if (std::exchange(account.unreachable_holder, node) != node) {
        account.next_holder_at = now + options_.takeover_time;
      }
      RefuseWaiting(now, account, decisions);
    }
  }
  return decisions;
}

std::vector<QuotaDecision> QuotaClient::Expire(TimePoint now) {
  std::vector<QuotaDecision> decisions;
  for (auto& [name, account] : accounts_) {
    if (account.pending && !account.pending->overdue &&
        now - account.pending->sent_at >= options_.reply_timeout) {
      account.pending->overdue = true;
      account.unresponsive_holder = account.pending->node;
      RefuseWaiting(now, account, decisions);
    }
    while (!account.waiting.empty() && now >= account.waiting.front().until) {
      decisions.push_back(DecideWithoutToken(now, account, account.waiting.front().request));
      account.waiting.pop_front();
    }
  }
  return decisions;
}

bool QuotaClient::has_waiting() const {
  return std::ranges::any_of(accounts_,
                             [](const auto& entry) { return !entry.second.waiting.empty(); });
}

}  // namespace limpet
