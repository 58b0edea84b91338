#include "limpet/edge/quota_agent.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "limpet/edge/event_log.h"
#include "limpet/edge/guard.h"
#include "limpet/net/clock.h"

namespace limpet::edge {

namespace {

/// The requests of callers within this time share one message to a holder.
constexpr Duration kBatchTime = std::chrono::milliseconds(5);
/// Minimum time between two log lines about one account: an account over its limit alternates
/// between granted and limited.
constexpr Duration kMinLogInterval = std::chrono::seconds(5);

}  // namespace

QuotaOptions MakeQuotaOptions(const NodeSettings& settings) {
  QuotaOptions options;
  options.window = Duration(std::llround(settings.quota_window_s * 1e6));
  options.overshoot = settings.quota_overshoot;
  options.slack = settings.quota_slack;
  return options;
}

QuotaAgent::QuotaAgent(const Executor& executor,
                       std::string self,
                       const QuotaOptions& options,
                       std::function<RouteTablePtr()> routes,
                       const DecisionLease& lease,
                       PeerLinks& links,
                       Counters& counters)
    : self_(std::move(self)),
      routes_(std::move(routes)),
      lease_(lease),
      links_(links),
      counters_(counters),
      client_(options,
              MonotonicNow(),
              [this](const std::string& account) {
                return lease_.HolderOf(MonotonicNow(), lease_.PartitionOf(account));
              }),
      holder_(
          options,
          [this](const std::string& account) {
            return lease_.HeldSince(MonotonicNow(), lease_.PartitionOf(account));
          },
          [this](const std::string& account) { return LimitOf(account); },
          [this](const std::string& account) {
            return lease_.DecidesIn(MonotonicNow(), lease_.PartitionOf(account));
          }),
      timer_(executor) {}

std::optional<AccountLimit> QuotaAgent::LimitOf(const std::string& account) const {
  const RouteTablePtr routes = routes_();
  if (!routes) {
    return std::nullopt;
  }
  const auto& accounts = routes->config().accounts;
  const auto found = std::ranges::find(accounts, account, &ClientAccount::name);
  if (found == accounts.end()) {
    return std::nullopt;
  }
  return AccountLimit{found->requests_per_s, found->burst};
}

int64_t QuotaAgent::Admit(const std::string& account, Continuation done) {
  const int64_t request = next_request_++;
  const AccountLimit limit = LimitOf(account).value_or(AccountLimit{});
  if (const auto decision = client_.Admit(MonotonicNow(), account, limit, request)) {
    if (limit.requests_per_s > 0) {
      Record(account, *decision);
      // The holder may have to be asked again, or for the tokens of the next requests.
      StartTimer();
    }
    done(*decision);
    return request;
  }
  waiting_[request] = {account, std::move(done)};
  StartTimer();
  return request;
}

void QuotaAgent::Cancel(int64_t request) {
  if (waiting_.erase(request) > 0) {
    client_.Cancel(request);
  }
}

void QuotaAgent::Return(const std::string& account, const QuotaDecision& decision) {
  client_.Return(MonotonicNow(), account, decision.token_until);
}

void QuotaAgent::StartTimer() {
  if (timer_running_) {
    return;
  }
  timer_running_ = true;
  timer_.expires_after(kBatchTime);
  timer_.async_wait([this](ErrorCode error) {
    if (error) {
      return;
    }
    timer_running_ = false;
    RunGuarded("quota", [this] { Exchange(MonotonicNow()); });
    if (!waiting_.empty()) {
      StartTimer();
    }
  });
}

void QuotaAgent::Exchange(TimePoint now) {
  for (QuotaClient::Outgoing& outgoing : client_.TakeRequests(now)) {
    if (outgoing.node == self_) {
      Apply(client_.OnReply(now, self_, holder_.OnRequest(now, outgoing.request)));
      continue;
    }
    wire::LinkMessage message;
    message.__set_quota_request(outgoing.request);
    counters_.Get("quota_requests_sent").Add();
    if (!links_.Send(outgoing.node, message)) {
      Apply(client_.OnUnreachable(now, outgoing.node, outgoing.request.request_id));
    }
  }
  Apply(client_.Expire(now));
}

void QuotaAgent::OnMessage(const std::string& node, const wire::LinkMessage& message) {
  const TimePoint now = MonotonicNow();
  if (message.__isset.quota_request) {
    wire::LinkMessage reply;
    reply.__set_quota_reply(holder_.OnRequest(now, message.quota_request));
    counters_.Get("quota_requests_received").Add();
    links_.Send(node, reply);
  }
  if (message.__isset.quota_reply) {
    Apply(client_.OnReply(now, node, message.quota_reply));
  }
}

void QuotaAgent::Tick(TimePoint now, int nodes) {
  client_.set_nodes(nodes);
  Exchange(now);
}

void QuotaAgent::Apply(const std::vector<QuotaDecision>& decisions) {
  for (const QuotaDecision& decision : decisions) {
    const auto found = waiting_.find(decision.request);
    if (found != waiting_.end()) {
      const Waiting waiting = std::move(found->second);
      waiting_.erase(found);
      Record(waiting.account, decision);
      waiting.done(decision);
    }
  }
}

void QuotaAgent::Record(const std::string& account, const QuotaDecision& decision) {
  counters_.Get("quota_" + std::string(EnumName(kQuotaVerdictNames, decision.verdict))).Add();
  if (decision.fallback) {
    counters_.Get("quota_fallback").Add();
  }
  const TimePoint now = MonotonicNow();
  Logged& logged = logged_[account];
  if (logged.verdict != decision.verdict && now - logged.at >= kMinLogInterval) {
    logged = {decision.verdict, now};
    LogEvent("quota_verdict")
        .Add("account", account)
        .Add("verdict", EnumName(kQuotaVerdictNames, decision.verdict))
        .Add("holder", lease_.HolderOf(now, lease_.PartitionOf(account)))
        .Add("retry_after_ms", decision.retry_after);
  }
}

}  // namespace limpet::edge
