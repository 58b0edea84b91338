#ifndef LIMPET_ROUTING_MESH_CONFIG_H_
#define LIMPET_ROUTING_MESH_CONFIG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "limpet/core/enum_names.h"
#include "limpet/core/error.h"
#include "limpet/core/time.h"

namespace limpet {

/// Whether the requests of a route may be executed more than once, and whether their bodies or
/// responses are large.
enum class RequestKind {
  kIdempotent,
  kNonIdempotent,
  kDownload,  // idempotent with a large response
  kUpload,    // non-idempotent with a large request body
};

inline constexpr EnumNames<RequestKind, 4> kRequestKindNames = {{
    {RequestKind::kIdempotent, "idempotent"},
    {RequestKind::kNonIdempotent, "non_idempotent"},
    {RequestKind::kDownload, "download"},
    {RequestKind::kUpload, "upload"},
}};

/// Kind of routes whose kind this version does not know: requests of any kind may be treated as
/// non-idempotent.
inline constexpr RequestKind kStrictestRequestKind = RequestKind::kNonIdempotent;

/// One service of a route and the weight that determines its share of the requests.
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
  /// Longest time that a caller waits for a response.
  Duration timeout{0};
  /// Time up to which a response has its full value to the caller; if 0, `timeout` applies.
  Duration target_latency{0};
  /// 0 is the most urgent.
  int priority = 0;
  /// Number of targets to which one request may be sent, including the first.
  int max_attempts = 1;
  std::vector<WeightedService> weighted_services;
  /// Requests need no key of a client account.
  bool is_public = false;

  bool IsIdempotent() const {
    return kind == RequestKind::kIdempotent || kind == RequestKind::kDownload;
  }
  bool operator==(const MeshRoute&) const = default;
};

struct MeshService {
  std::string name;
  std::string health_path;
  /// Number of connections that a target accepts from all callers in total.
  int max_connections = 0;

  bool operator==(const MeshService&) const = default;
};

/// A client account: a caller whose requests carry one of its keys.
struct ClientAccount {
  std::string name;
  std::vector<std::string> keys;
  /// Replaces the priority of the route; 0 is the most urgent.
  std::optional<int> priority;
  /// Requests that all nodes together may pass to targets per second; 0 means no limit.
  double requests_per_s = 0;
  /// Further requests that may be passed at once after a time with fewer.
  double burst = 0;

  bool operator==(const ClientAccount&) const = default;
};

/// Upper limit of `ClientAccount::requests_per_s` and `burst`.
inline constexpr double kMaxAccountLimit = 1e9;

/// Size and time limits for the requests of callers.
struct CallerLimits {
  std::size_t max_header_bytes = std::size_t{16} << 10;
  std::size_t max_body_bytes = std::size_t{1} << 20;
  /// Longest time from the first byte of a request to the end of its headers.
  Duration header_timeout = std::chrono::seconds(3);
  /// Longest time without a request on an open connection.
  Duration idle_timeout = std::chrono::seconds(15);
};

/// One complete version of the mesh configuration.
struct MeshConfig {
  int64_t version = 0;
  std::vector<MeshRoute> routes;
  std::vector<MeshService> services;
  /// If there are any, requests for routes that are not public need a key.
  std::vector<ClientAccount> accounts;
  CallerLimits limits;
};

/// Returns true if the requests of any account are limited.
bool HasAccountLimits(const MeshConfig& config);

/// Thrown for a configuration that does not pass validation.
class InvalidMeshConfig : public Error {
 public:
  using Error::Error;
};

/// Throws `InvalidMeshConfig` unless the names of services and of routes are unique, no two routes
/// have the same host and prefix, and every route has a host, a prefix that begins and ends with a
/// slash, a positive timeout, at least one attempt, and only services that the configuration
/// contains, whose weights are not negative and not all 0. The names of accounts and their keys
/// must be unique and not empty, and their limits from 0 to `kMaxAccountLimit`.
void ValidateMeshConfig(const MeshConfig& config);

}  // namespace limpet

#endif  // LIMPET_ROUTING_MESH_CONFIG_H_
