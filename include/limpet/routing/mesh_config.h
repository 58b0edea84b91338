#ifndef LIMPET_ROUTING_MESH_CONFIG_H_
#define LIMPET_ROUTING_MESH_CONFIG_H_

#include <cstdint>
#include <string>
#include <vector>

#include "limpet/core/enum_names.h"
#include "limpet/core/error.h"
#include "limpet/core/time.h"

namespace limpet {

/// What may be done with a request of a route.
enum class RequestKind {
  kIdempotent,
  kNonIdempotent,
  kDownload,  // idempotent with a large response
};

inline constexpr EnumNames<RequestKind, 3> kRequestKindNames = {{
    {RequestKind::kIdempotent, "idempotent"},
    {RequestKind::kNonIdempotent, "non_idempotent"},
    {RequestKind::kDownload, "download"},
}};

/// One service of a route and its share of the requests.
struct WeightedService {
  std::string service;
  int weight = 1;

  bool operator==(const WeightedService&) const = default;
};

struct MeshRoute {
  std::string name;
  /// Host that the route serves, in lower case without a port.
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  RequestKind kind = RequestKind::kIdempotent;
  /// Longest time that a caller is kept waiting.
  Duration timeout{0};
  /// Time within which a response has its full value to the caller.
  Duration target_latency{0};
  /// 0 is the most urgent.
  int priority = 0;
  /// Targets to which one request may be sent, the first one included.
  int max_attempts = 1;
  std::vector<WeightedService> weighted_services;

  bool IsIdempotent() const { return kind != RequestKind::kNonIdempotent; }
  bool operator==(const MeshRoute&) const = default;
};

struct MeshService {
  std::string name;
  std::string health_path;
  /// Connections that a target accepts from all callers together.
  int max_connections = 0;

  bool operator==(const MeshService&) const = default;
};

/// What a caller may send, and how long it may take.
struct CallerLimits {
  std::size_t max_header_bytes = std::size_t{16} << 10;
  std::size_t max_body_bytes = std::size_t{1} << 20;
  /// From the first byte of a request to the end of its headers.
  Duration header_timeout = std::chrono::seconds(3);
  /// Without a request on an open connection.
  Duration idle_timeout = std::chrono::seconds(15);
};

/// One whole version of the mesh's configuration.
struct MeshConfig {
  int64_t version = 0;
  std::vector<MeshRoute> routes;
  std::vector<MeshService> services;
  CallerLimits limits;
};

/// A configuration that contradicts itself.
class InvalidMeshConfig : public Error {
 public:
  using Error::Error;
};

/// Throws `InvalidMeshConfig` unless names are unique and every route has a host, a prefix between
/// slashes, positive times and weights and only services that the configuration holds, and no two
/// routes have the same host and prefix.
void ValidateMeshConfig(const MeshConfig& config);

}  // namespace limpet

#endif  // LIMPET_ROUTING_MESH_CONFIG_H_
