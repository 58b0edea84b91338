#ifndef LIMPET_TRAFFIC_LIMIT_STRATEGY_H_
#define LIMPET_TRAFFIC_LIMIT_STRATEGY_H_

#include <memory>

#include "limpet/core/enum_names.h"
#include "limpet/core/time.h"

namespace limpet {

/// One finished request, as measured by the inbound gate.
struct LimitSample {
  /// Excludes the time in the queue of the gate.
  Duration service_time{0};
  /// Number of requests at the target just before this one finished, this one included.
  int in_flight = 0;
  bool missed_deadline = false;
};

/// Determines the number of requests that may be at the target at the same time.
class LimitStrategy {
 public:
  virtual ~LimitStrategy() = default;

  /// At least 1.
  virtual int limit() const = 0;

  virtual void OnFinish(TimePoint now, const LimitSample& sample) = 0;

  /// To be called when the number of requests in flight has changed to `in_flight`.
  virtual void OnInFlight(TimePoint /*now*/, int /*in_flight*/) {}
};

enum class LimitKind { kFixed, kGradient, kFeedback };

inline constexpr EnumNames<LimitKind, 3> kLimitNames = {{
    {LimitKind::kFixed, "fixed"},
    {LimitKind::kGradient, "gradient"},
    {LimitKind::kFeedback, "feedback"},
}};

/// docs/POLICY.md compares the strategies.
inline constexpr LimitKind kDefaultLimit = LimitKind::kGradient;

/// The limit is always the number of slots of the target.
class FixedLimit : public LimitStrategy {
 public:
  explicit FixedLimit(int slots);

  int limit() const override { return slots_; }
  void OnFinish(TimePoint /*now*/, const LimitSample& /*sample*/) override {}

 private:
  int slots_;
};

/// `slots` is the configured number of slots of the target. The adaptive limits start with this
/// value and never exceed it.
std::unique_ptr<LimitStrategy> MakeLimitStrategy(LimitKind kind, int slots);

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_LIMIT_STRATEGY_H_
