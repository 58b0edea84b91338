#ifndef LIMPET_LOAD_POLICY_EXPERIMENTS_H_
#define LIMPET_LOAD_POLICY_EXPERIMENTS_H_

#include <cstdint>
#include <ostream>

namespace limpet {

/// Each function runs one experiment and prints its results as a Markdown table, headed by the
/// seed.
void CompareBalancers(uint64_t seed, std::ostream& out);
void CompareLimits(uint64_t seed, std::ostream& out);
void CompareRetryBudgets(uint64_t seed, std::ostream& out);
void CompareSubsetWidths(uint64_t seed, std::ostream& out);

}  // namespace limpet

#endif  // LIMPET_LOAD_POLICY_EXPERIMENTS_H_
