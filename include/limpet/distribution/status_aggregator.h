#ifndef LIMPET_DISTRIBUTION_STATUS_AGGREGATOR_H_
#define LIMPET_DISTRIBUTION_STATUS_AGGREGATOR_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "limpet/core/time.h"
#include "limpet_types.h"

namespace limpet {

/// Keeps the last status report of each node of a data centre. Every node that may hold the status
/// lease keeps one, so that a new holder knows the state at once.
class StatusAggregator {
 public:
  /// Version listed for a live member that has not reported.
  static constexpr int64_t kNoReport = -1;

  /// Stores a report. If its node is not live, the next `Retain` removes the report.
  void Report(const std::string& node, const wire::StatusReport& report);
  /// Removes the reports of all nodes that are not in `live`, which must be sorted by name.
  void Retain(const std::vector<wire::MemberRecord>& live);
  bool HasReportOfAll(const std::vector<wire::MemberRecord>& live) const;

  /// Summarises the reports of the live members; nodes below `version` are listed as behind. The
  /// caller sets the token and the data centre.
  wire::StatusRecord Summarise(const std::vector<wire::MemberRecord>& live, int64_t version) const;

 private:
  std::map<std::string, wire::StatusReport, std::less<>> reports_;
};

}  // namespace limpet

#endif  // LIMPET_DISTRIBUTION_STATUS_AGGREGATOR_H_
