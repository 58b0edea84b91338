#include "limpet/membership/endpoint_view.h"

namespace limpet {

const std::vector<Endpoint>& EndpointView::EndpointsOf(std::string_view service) const {
  static const std::vector<Endpoint> kNone;
  const auto it = services_.find(service);
  return it == services_.end() ? kNone : it->second;
}

}  // namespace limpet
