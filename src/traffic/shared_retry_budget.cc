#include "limpet/traffic/shared_retry_budget.h"

#include <algorithm>
#include <chrono>

namespace limpet {

double SharedRetryBudget::MinNodeTokens() const {
  // Lets each node retry its first failure, as long as the extra covers one retry for every node.
  return std::min(1.0, options_.extra / nodes_);
}

double SharedRetryBudget::NodeExtra() const {
  return options_.extra * options_.usable_share / nodes_;
}

SharedRetryBudget::Bucket& SharedRetryBudget::Refill(TimePoint now, const std::string& service) {
  Bucket& bucket = buckets_[service];
  if (!bucket.started) {
    bucket.started = true;
    // Half of the extra may be spent at once and the other half is earned over one window, so that
    // no window allows more than the whole extra.
    bucket.tokens = std::max(MinNodeTokens(), NodeExtra() / 2);
    bucket.refilled = now;
  }
  const double windows = std::chrono::duration<double>(now - bucket.refilled) /
                         std::chrono::duration<double>(options_.window);
  bucket.refilled = now;
  bucket.tokens += windows * NodeExtra() / 2;
  bucket.recent_requests =
      std::max(0.0, bucket.recent_requests - bucket.recent_requests * std::min(1.0, windows * 2));
  const double capacity = std::max(MinNodeTokens(), NodeExtra() / 2) +
                          options_.ratio * options_.usable_share * bucket.recent_requests / 4;
  bucket.tokens = std::min(bucket.tokens, capacity);
  return bucket;
}

void SharedRetryBudget::OnRequest(TimePoint now, const std::string& service) {
  Bucket& bucket = Refill(now, service);
  bucket.recent_requests += 1;
  bucket.tokens += options_.ratio * options_.usable_share;
}

bool SharedRetryBudget::TrySpend(TimePoint now, const std::string& service) {
  Bucket& bucket = Refill(now, service);
  if (bucket.tokens < 1) {
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

}  // namespace limpet
