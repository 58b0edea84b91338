#ifndef LIMPET_MEMBERSHIP_ENDPOINT_VIEW_H_
#define LIMPET_MEMBERSHIP_ENDPOINT_VIEW_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace limpet {

/// Address of a node whose target accepts calls.
struct Endpoint {
  std::string node;
  int64_t incarnation = 0;
  std::string data_centre;
  std::string host;
  int port = 0;
  /// False if the node is suspect or its data centre is unreachable. Balancers choose such an
  /// endpoint last.
  bool reachable = true;

  bool operator==(const Endpoint&) const = default;
};

/// Snapshot of the callable endpoints of all services: members that are alive or suspect and whose
/// target is up. Immutable, so that request threads can read it without locks.
class EndpointView {
 public:
  EndpointView() = default;
  explicit EndpointView(std::map<std::string, std::vector<Endpoint>, std::less<>> services)
      : services_(std::move(services)) {}

  /// Sorted by node name; empty for an unknown service.
  const std::vector<Endpoint>& EndpointsOf(std::string_view service) const;
  const std::map<std::string, std::vector<Endpoint>, std::less<>>& services() const {
    return services_;
  }

 private:
  std::map<std::string, std::vector<Endpoint>, std::less<>> services_;
};

using EndpointViewPtr = std::shared_ptr<const EndpointView>;

}  // namespace limpet

#endif  // LIMPET_MEMBERSHIP_ENDPOINT_VIEW_H_
