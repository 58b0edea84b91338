#include "limpet/traffic/shared_retry_budget.h"

#include <algorithm>
#include <chrono>

namespace limpet {

double SharedRetryBudget::FloorOfNode() const {
  // The first failure of a node is worth a repeat, as long as all nodes together have enough.
  return std::min(1.0, options_.extra / nodes_);
}

double SharedRetryBudget::ExtraOfNode() const {
  return options_.extra * options_.usable_share / nodes_;
}

SharedRetryBudget::Bucket& SharedRetryBudget::Fill(TimePoint now, const std::string& service) {
  Bucket& bucket = buckets_[service];
  if (!bucket.started) {
    bucket.started = true;
    // Half of the extra may be spent at once and half is earned over a window, so that no window
    // holds more than the whole.
    bucket.tokens = std::max(FloorOfNode(), ExtraOfNode() / 2);
    bucket.filled = now;
  }
  const double windows = std::chrono::duration<double>(now - bucket.filled) /
                         std::chrono::duration<double>(options_.window);
  bucket.filled = now;
  bucket.tokens += windows * ExtraOfNode() / 2;
  bucket.recent = std::max(0.0, bucket.recent - bucket.recent * std::min(1.0, windows * 2));
  const double cap = std::max(FloorOfNode(), ExtraOfNode() / 2) +
                     options_.ratio * options_.usable_share * bucket.recent / 4;
  bucket.tokens = std::min(bucket.tokens, cap);
  return bucket;
}

void SharedRetryBudget::OnRequest(TimePoint now, const std::string& service) {
  Bucket& bucket = Fill(now, service);
  bucket.recent += 1;
  bucket.tokens += options_.ratio * options_.usable_share;
}

bool SharedRetryBudget::TrySpend(TimePoint now, const std::string& service) {
  Bucket& bucket = Fill(now, service);
  if (bucket.tokens < 1) {
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

}  // namespace limpet
