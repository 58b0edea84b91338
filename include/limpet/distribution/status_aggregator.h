#ifndef LIMPET_DISTRIBUTION_STATUS_AGGREGATOR_H_
#define LIMPET_DISTRIBUTION_STATUS_AGGREGATOR_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "limpet/core/time.h"
#include "limpet_types.h"

namespace limpet {

/// Last status report of each node of a data centre. Kept by the nodes that may hold the status
/// lease, so that a new holder knows the state at once.
class StatusAggregator {
 public:
  /// Version listed for a live member that has not reported.
  static constexpr int64_t kNoReport = -1;

  /// A report of a node that is not live is dropped at the next `Retain`.
  void Report(const std::string& node, const wire::StatusReport& report);
  /// Forgets all nodes but these, which are sorted by name.
  void Retain(const std::vector<wire::MemberRecord>& live);
  bool HasReportOfAll(const std::vector<wire::MemberRecord>& live) const;

  /// Behind are the nodes below `version`. Token and data centre are left to the caller.
  wire::StatusRecord Summarise(const std::vector<wire::MemberRecord>& live, int64_t version) const;

 private:
  std::map<std::string, wire::StatusReport, std::less<>> reports_;
};

}  // namespace limpet

#endif  // LIMPET_DISTRIBUTION_STATUS_AGGREGATOR_H_
