#ifndef LIMPET_CONFIG_SNAPSHOT_H_
#define LIMPET_CONFIG_SNAPSHOT_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "limpet_types.h"

namespace limpet {

/// One validated configuration version. Immutable, so that request threads can read it without
/// locks.
class ConfigSnapshot {
 public:
  /// Throws `ValidationError` if the configuration is not valid; see `Validate`.
  explicit ConfigSnapshot(wire::FullConfig config);

  /// Offset of the accepted record in the stream "config"; 0 for the empty configuration.
  int64_t version() const { return config_.version; }
  /// Resources are sorted by name.
  const wire::FullConfig& config() const { return config_; }

  /// Returns the route that allows `caller` and whose path prefix is the longest match of `path`,
  /// or null if no route matches. A prefix matches whole path segments only. An empty caller list
  /// allows every caller. A query or fragment in `path` is ignored.
  const wire::Route* FindRoute(std::string_view path, std::string_view caller) const;

  /// These return null for an unknown name.
  const wire::Service* FindService(std::string_view name) const;
  const wire::Rule* FindRule(std::string_view name) const;
  const wire::Target* FindTarget(std::string_view name) const;

 private:
  std::string_view GetPrefix(std::size_t route) const;

  wire::FullConfig config_;
  /// Indices into the routes, sorted by path prefix.
  std::vector<std::size_t> routes_by_prefix_;
  /// In bytes.
  std::size_t longest_prefix_ = 0;
};

using ConfigSnapshotPtr = std::shared_ptr<const ConfigSnapshot>;

}  // namespace limpet

#endif  // LIMPET_CONFIG_SNAPSHOT_H_
