#include <spdlog/fmt/fmt.h>

#include <deque>

#include "limpet/traffic/outbound_call.h"
#include "load/policy_experiments.h"

namespace limpet {
namespace {

using std::chrono::seconds;

constexpr int kCalls = 5000;
constexpr int kMaxAttempts = 3;
/// A run ends at this number of attempts, because without a budget they grow as 3^depth.
constexpr int64_t kMaxLeafAttempts = 2000000;

struct Variant {
  const char* name;
  double tokens_per_call;
  bool honour_already_retried;
  int max_attempts;
};

constexpr Variant kVariants[] = {
    {"10 % budget, marked", 0.1, true, kMaxAttempts},
    {"10 % budget, not marked", 0.1, false, kMaxAttempts},
    {"no budget, not marked", kMaxAttempts, false, kMaxAttempts},
    {"no retries", 0, true, 1},
};

enum class LeafFailure { kRefusesAll, kRefusesHalf, kIsDown };

/// A chain of nodes in which each node calls the next one with its own balancer and retry policy.
/// Calls run one after another in virtual time.
class RetryChain {
 public:
  RetryChain(int depth, const Variant& variant, LeafFailure failure, uint64_t seed)
      : variant_(variant), failure_(failure), random_(seed) {
    RetryOptions options;
    options.tokens_per_call = variant.tokens_per_call;
    options.honour_already_retried = variant.honour_already_retried;
    const EndpointView view(
        {{"service",
          {{"next1", 1, "dc", "127.0.0.1", 1, true}, {"next2", 1, "dc", "127.0.0.1", 2, true}}}});
    for (int i = 0; i < depth; ++i) {
      Level level{Balancer({}, "level" + std::to_string(i), "dc", Random(random_.Next())),
                  RetryPolicy(options, Random(random_.Next()))};
      level.balancer.Update(now_, view);
      levels_.push_back(std::move(level));
    }
  }

  CallResult Call(size_t depth, Duration deadline) {
    OutboundCallOptions options;
    options.service = "service";
    options.idempotent = true;
    options.deadline = deadline;
    options.max_attempts = variant_.max_attempts;
    Level& level = levels_[depth];
    OutboundCall call(options, level.balancer, level.retry_policy, random_);
    CallActions actions = call.Start(now_);
    while (!actions.finish) {
      const SendAttempt send = *actions.send;
      now_ += send.delay;
      actions = RunAttempt(depth, send, call);
    }
    return *actions.finish;
  }

  int64_t leaf_attempts() const { return leaf_attempts_; }
  bool exhausted() const { return leaf_attempts_ >= kMaxLeafAttempts; }

 private:
  struct Level {
    Balancer balancer;
    RetryPolicy retry_policy;
  };

  CallActions RunAttempt(size_t depth, const SendAttempt& send, OutboundCall& call) {
    if (exhausted()) {
      return call.Cancel(now_);
    }
    wire::CallReply reply;
    reply.attempt_id = send.attempt_id;
    if (depth + 1 < levels_.size()) {
      const CallResult result = Call(depth + 1, send.timeout);
      reply.outcome = result.outcome;
      reply.reason = result.reason;
      reply.already_retried = result.already_retried;
      return call.OnReply(now_, reply);
    }
    ++leaf_attempts_;
    now_ += Duration(200);
    if (failure_ == LeafFailure::kIsDown) {
      return call.OnConnectionFailure(now_, send.attempt_id, false);
    }
    const bool succeeds = failure_ == LeafFailure::kRefusesHalf && random_.NextBelow(2) == 0;
    reply.outcome = succeeds ? wire::Outcome::kRan : wire::Outcome::kNotRun;
    reply.reason = succeeds ? wire::RefusalReason::kNone : wire::RefusalReason::kOverloaded;
    return call.OnReply(now_, reply);
  }

  Variant variant_;
  LeafFailure failure_;
  Random random_;
  TimePoint now_{seconds(1000)};
  std::deque<Level> levels_;
  int64_t leaf_attempts_ = 0;
};

void RunOne(int depth,
            const Variant& variant,
            LeafFailure failure,
            const char* failure_name,
            uint64_t seed,
            std::ostream& out) {
  // Longer than any sequence of retries, so that the deadline does not limit the amplification.
  constexpr Duration kDeadline = seconds(3600);
  RetryChain chain(depth, variant, failure, seed);
  int calls = 0;
  int succeeded = 0;
  for (; calls < kCalls && !chain.exhausted(); ++calls) {
    succeeded += chain.Call(0, kDeadline).outcome == wire::Outcome::kRan ? 1 : 0;
  }
  out << fmt::format("| {} | {} | {} | {}{:.2f} | {:.1f} |\n", depth, failure_name, variant.name,
                     chain.exhausted() ? "> " : "",
                     static_cast<double>(chain.leaf_attempts()) / calls, 100.0 * succeeded / calls);
}

}  // namespace

void CompareRetryBudgets(uint64_t seed, std::ostream& out) {
  out << "Retry amplification, seed " << seed << "\n\n"
      << "| depth | leaf | retries | attempts at the leaf per call | succeeded % |\n"
         "|---|---|---|---|---|\n";
  for (const int depth : {1, 5, 26}) {
    for (const Variant& variant : kVariants) {
      RunOne(depth, variant, LeafFailure::kRefusesAll, "refuses all", seed, out);
      RunOne(depth, variant, LeafFailure::kRefusesHalf, "refuses half", seed, out);
      RunOne(depth, variant, LeafFailure::kIsDown, "is down", seed, out);
    }
  }
}

}  // namespace limpet
