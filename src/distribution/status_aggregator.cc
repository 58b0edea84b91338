#include "limpet/distribution/status_aggregator.h"

#include <algorithm>

namespace limpet {

void StatusAggregator::Report(const std::string& node, const wire::StatusReport& report) {
  reports_[node] = report;
}

void StatusAggregator::Retain(const std::vector<wire::MemberRecord>& live) {
  std::erase_if(reports_, [&](const auto& entry) {
    return !std::ranges::binary_search(live, entry.first, {}, &wire::MemberRecord::name);
  });
}

bool StatusAggregator::HasReportOfAll(const std::vector<wire::MemberRecord>& live) const {
  return std::ranges::all_of(
      live, [&](const wire::MemberRecord& member) { return reports_.contains(member.name); });
}

wire::StatusRecord StatusAggregator::Summarise(const std::vector<wire::MemberRecord>& live,
                                               int64_t version) const {
  wire::StatusRecord status;
  status.members = static_cast<int32_t>(live.size());
  std::map<int64_t, int32_t> counts;
  for (const wire::MemberRecord& member : live) {
    const auto found = reports_.find(member.name);
    const int64_t reported = found == reports_.end() ? kNoReport : found->second.version;
    ++counts[reported];
    if (reported < version) {
      wire::NodeVersion behind;
      behind.node = member.name;
      behind.version = reported;
      status.behind.push_back(behind);
    }
    if (found != reports_.end() && found->second.refused_version > 0) {
      wire::NodeRefusal refusal;
      refusal.node = member.name;
      refusal.version = found->second.refused_version;
      refusal.reason = found->second.refusal_reason;
      status.refusals.push_back(refusal);
    }
  }
  for (const auto& [counted, nodes] : counts) {
    wire::VersionCount count;
    count.version = counted;
    count.nodes = nodes;
    status.counts.push_back(count);
  }
  return status;
}

}  // namespace limpet
