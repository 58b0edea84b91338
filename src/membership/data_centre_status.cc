#include "membership/data_centre_status.h"

#include <tuple>

namespace limpet {

bool DataCentreStatusTable::Apply(const wire::DataCentreStatus& status) {
  if (status.data_centre.empty() || status.sequence <= 0) {
    return false;
  }
  const auto [it, is_new] = statuses_.try_emplace(status.data_centre, status);
  wire::DataCentreStatus& known = it->second;
  if (!is_new &&
      std::tie(status.sequence, status.reachable) <= std::tie(known.sequence, known.reachable)) {
    return false;
  }
  known = status;
  ++generation_;
  return true;
}

void DataCentreStatusTable::Set(std::string_view data_centre, bool is_reachable) {
  const wire::DataCentreStatus* known = Find(data_centre);
  wire::DataCentreStatus status;
  status.data_centre = data_centre;
  status.reachable = is_reachable;
  status.sequence = known == nullptr ? 1 : known->sequence + 1;
  Apply(status);
}

bool DataCentreStatusTable::IsReachable(std::string_view data_centre) const {
  const wire::DataCentreStatus* known = Find(data_centre);
  return known == nullptr || known->reachable;
}

const wire::DataCentreStatus* DataCentreStatusTable::Find(std::string_view data_centre) const {
  const auto it = statuses_.find(data_centre);
  return it == statuses_.end() ? nullptr : &it->second;
}

std::vector<wire::DataCentreStatus> DataCentreStatusTable::All() const {
  std::vector<wire::DataCentreStatus> all;
  for (const auto& [name, status] : statuses_) {
    all.push_back(status);
  }
  return all;
}

}  // namespace limpet
