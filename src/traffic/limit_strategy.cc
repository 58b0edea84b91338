#include "limpet/traffic/limit_strategy.h"

#include <algorithm>

#include "limpet/traffic/feedback_limit.h"
#include "limpet/traffic/gradient_limit.h"

namespace limpet {

FixedLimit::FixedLimit(int slots) : slots_(std::max(1, slots)) {}

std::unique_ptr<LimitStrategy> MakeLimitStrategy(LimitKind kind, int slots) {
  switch (kind) {
    case LimitKind::kGradient:
      return std::make_unique<GradientLimit>(slots);
    case LimitKind::kFeedback:
      return std::make_unique<FeedbackLimit>(slots);
    case LimitKind::kFixed:
      break;
  }
  return std::make_unique<FixedLimit>(slots);
}

}  // namespace limpet
