#ifndef LIMPET_DISTRIBUTION_DISTRIBUTION_MODE_H_
#define LIMPET_DISTRIBUTION_DISTRIBUTION_MODE_H_

#include "limpet/core/enum_names.h"

namespace limpet {

/// How accepted versions reach the nodes.
enum class DistributionMode {
  kTree,     // readers poll the log and push changes along a tree
  kPollLog,  // every node polls the log; baseline for measurements
};

inline constexpr EnumNames<DistributionMode, 2> kDistributionModeNames = {{
    {DistributionMode::kTree, "tree"},
    {DistributionMode::kPollLog, "poll_log"},
}};

}  // namespace limpet

#endif  // LIMPET_DISTRIBUTION_DISTRIBUTION_MODE_H_
