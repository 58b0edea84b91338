#ifndef LIMPET_MEMBERSHIP_DATA_CENTRE_STATUS_H_
#define LIMPET_MEMBERSHIP_DATA_CENTRE_STATUS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "limpet_types.h"

namespace limpet {

/// Reachability of data centres, as announced by the gateways of the local data centre.
class DataCentreStatusTable {
 public:
  /// Stores a status if it supersedes the known one. Returns true if it was stored.
  bool Apply(const wire::DataCentreStatus& status);
  /// Stores a status with a raised sequence, so that it supersedes every status known to this node.
  void Set(std::string_view data_centre, bool is_reachable);

  /// True if no status is known.
  bool IsReachable(std::string_view data_centre) const;
  /// Null if no status is known.
  const wire::DataCentreStatus* Find(std::string_view data_centre) const;
  std::vector<wire::DataCentreStatus> All() const;
  /// Changes whenever a status changes.
  uint64_t generation() const { return generation_; }

 private:
  std::map<std::string, wire::DataCentreStatus, std::less<>> statuses_;
  uint64_t generation_ = 0;
};

}  // namespace limpet

#endif  // LIMPET_MEMBERSHIP_DATA_CENTRE_STATUS_H_
