#ifndef LIMPET_MEMBERSHIP_DATA_CENTRE_STATUS_H_
#define LIMPET_MEMBERSHIP_DATA_CENTRE_STATUS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "limpet_types.h"

namespace limpet {

/// Which data centres are reachable, as the gateways of the own data centre announce it.
class DataCentreStatusTable {
 public:
  /// Keeps a status that supersedes the known one. Returns true if it did.
  bool Apply(const wire::DataCentreStatus& status);
  /// Raises the sequence, so that the status supersedes every status known here.
  void Set(std::string_view data_centre, bool is_reachable);

  /// True for a data centre of which nothing is known.
  bool IsReachable(std::string_view data_centre) const;
  /// Null if nothing was announced.
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
