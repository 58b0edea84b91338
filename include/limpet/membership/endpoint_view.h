#ifndef LIMPET_MEMBERSHIP_ENDPOINT_VIEW_H_
#define LIMPET_MEMBERSHIP_ENDPOINT_VIEW_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace limpet {

/// A node whose target can take calls, as the balancer sees it.
struct Endpoint {
  std::string node;
  int64_t incarnation = 0;
  std::string data_centre;
  std::string host;
  int port = 0;
  /// False when the failure detector suspects the node or its data centre is unreachable. Such an
  /// endpoint is the last choice.
  bool reachable = true;

  bool operator==(const Endpoint&) const = default;
};

/// Callable endpoints of every service at one moment: members that are alive or suspect and whose
/// target is up. Immutable, so that traffic threads read it without locks.
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
