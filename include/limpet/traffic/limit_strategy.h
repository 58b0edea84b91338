#ifndef LIMPET_TRAFFIC_LIMIT_STRATEGY_H_
#define LIMPET_TRAFFIC_LIMIT_STRATEGY_H_

#include <memory>

#include "limpet/core/enum_names.h"
#include "limpet/core/time.h"

namespace limpet {

/// One finished request, as seen at the inbound gate.
struct LimitSample {
  /// Time at the target, without the wait in the queue.
  Duration service_time{0};
  /// In flight at the target just before the finish.
  int in_flight = 0;
  bool missed_deadline = false;
};

/// Number of requests that may be at the target at once.
class LimitStrategy {
 public:
  virtual ~LimitStrategy() = default;

  /// At least 1.
  virtual int limit() const = 0;

  virtual void OnFinish(TimePoint now, const LimitSample& sample) = 0;

  /// The number in flight changed to `in_flight` at `now`.
  virtual void OnInFlight(TimePoint /*now*/, int /*in_flight*/) {}
};

enum class LimitKind { kFixed, kGradient, kFeedback };

inline constexpr EnumNames<LimitKind, 3> kLimitNames = {{
    {LimitKind::kFixed, "fixed"},
    {LimitKind::kGradient, "gradient"},
    {LimitKind::kFeedback, "feedback"},
}};

/// docs/POLICY.md has the comparison.
inline constexpr LimitKind kDefaultLimit = LimitKind::kGradient;

/// The slots of the target.
class FixedLimit : public LimitStrategy {
 public:
  explicit FixedLimit(int slots);

  int limit() const override { return slots_; }
  void OnFinish(TimePoint /*now*/, const LimitSample& /*sample*/) override {}

 private:
  int slots_;
};

/// `slots` is the configured number of slots of the target; the adaptive limits start from it
/// and never exceed it.
std::unique_ptr<LimitStrategy> MakeLimitStrategy(LimitKind kind, int slots);

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_LIMIT_STRATEGY_H_
