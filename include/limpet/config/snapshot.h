#ifndef LIMPET_CONFIG_SNAPSHOT_H_
#define LIMPET_CONFIG_SNAPSHOT_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "limpet_types.h"

namespace limpet {

/// One validated configuration version. Immutable, so that traffic threads read it without locks.
class ConfigSnapshot {
 public:
  /// Throws `ValidationError` if the configuration does not hold together as a whole; see
  /// `Validate`.
  explicit ConfigSnapshot(wire::FullConfig config);

  /// Offset of the accepted record in the stream "config"; 0 is the empty configuration.
  int64_t version() const { return config_.version; }
  /// Resources are sorted by name.
  const wire::FullConfig& config() const { return config_; }

  /// Route with the longest prefix of `path` at a segment boundary whose callers include `caller`
  /// (an empty caller list admits all). A query or fragment in `path` is ignored. Null if there is
  /// none.
  const wire::Route* FindRoute(std::string_view path, std::string_view caller) const;

  /// Null if this configuration lacks the name.
  const wire::Service* FindService(std::string_view name) const;
  const wire::Rule* FindRule(std::string_view name) const;
  const wire::Target* FindTarget(std::string_view name) const;

 private:
  std::string_view PrefixOf(std::size_t route) const;

  wire::FullConfig config_;
  /// Indices into the routes, sorted by path prefix.
  std::vector<std::size_t> routes_by_prefix_;
  std::size_t longest_prefix_ = 0;
};

using ConfigSnapshotPtr = std::shared_ptr<const ConfigSnapshot>;

}  // namespace limpet

#endif  // LIMPET_CONFIG_SNAPSHOT_H_
