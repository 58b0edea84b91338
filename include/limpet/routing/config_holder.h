#ifndef LIMPET_ROUTING_CONFIG_HOLDER_H_
#define LIMPET_ROUTING_CONFIG_HOLDER_H_

#include <optional>
#include <string>

#include "limpet/core/enum_names.h"
#include "limpet/routing/route_table.h"
#include "limpet_types.h"

namespace limpet {

/// Result of an update with a whole configuration or a change.
enum class ConfigUpdateResult {
  kApplied,
  kNotNewer,
  kInvalid,    // malformed, or does not pass validation
  kWrongBase,  // a change based on a version that is not in effect here
};

inline constexpr EnumNames<ConfigUpdateResult, 4> kConfigUpdateResultNames = {{
    {ConfigUpdateResult::kApplied, "applied"},
    {ConfigUpdateResult::kNotNewer, "not_newer"},
    {ConfigUpdateResult::kInvalid, "invalid"},
    {ConfigUpdateResult::kWrongBase, "wrong_base"},
}};

/// Holds the configuration in effect at this node. A version is applied as a whole or not at all,
/// and never after a newer one.
class ConfigHolder {
 public:
  ConfigUpdateResult Update(MeshConfig config);
  /// Applies a change from another node. A change with base 0 is a whole configuration.
  ConfigUpdateResult Update(const wire::LinkConfig& change);

  /// Null before the first configuration.
  const RouteTablePtr& routes() const { return routes_; }
  /// 0 before the first configuration.
  int64_t version() const { return routes_ ? routes_->version() : 0; }
  /// Why the last invalid update was refused; empty after an update was applied.
  const std::string& problem() const { return problem_; }

  /// Returns the change from the previous version to the one in effect. Returns the whole
  /// configuration if there is no previous version, nullopt before the first one.
  std::optional<wire::LinkConfig> LastChange() const;
  /// Returns the whole configuration in effect as a change with base 0; nullopt if there is none.
  std::optional<wire::LinkConfig> FullUpdate() const;

 private:
  RouteTablePtr routes_;
  RouteTablePtr previous_;
  std::string problem_;
};

}  // namespace limpet

#endif  // LIMPET_ROUTING_CONFIG_HOLDER_H_
