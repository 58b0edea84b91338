#ifndef LIMPET_ROUTING_CONFIG_HOLDER_H_
#define LIMPET_ROUTING_CONFIG_HOLDER_H_

#include <optional>
#include <string>

#include "limpet/core/enum_names.h"
#include "limpet/routing/route_table.h"
#include "limpet_types.h"

namespace limpet {

/// Result of offering a configuration or a change of it.
enum class ConfigUpdateResult {
  kApplied,
  kNotNewer,
  kInvalid,    // contradicts itself
  kWrongBase,  // a change of a version that is not in effect here
};

inline constexpr EnumNames<ConfigUpdateResult, 4> kConfigUpdateResultNames = {{
    {ConfigUpdateResult::kApplied, "applied"},
    {ConfigUpdateResult::kNotNewer, "not_newer"},
    {ConfigUpdateResult::kInvalid, "invalid"},
    {ConfigUpdateResult::kWrongBase, "wrong_base"},
}};

/// The configuration in effect at this node. A version is applied whole or not at all, and never
/// after a newer one.
class ConfigHolder {
 public:
  ConfigUpdateResult Update(MeshConfig config);
  /// Takes a change from another node.
  ConfigUpdateResult Update(const wire::LinkConfig& change);

  /// Null before the first configuration.
  const RouteTablePtr& routes() const { return routes_; }
  /// 0 before the first configuration.
  int64_t version() const { return routes_ ? routes_->version() : 0; }
  /// Why the last offer was refused.
  const std::string& problem() const { return problem_; }

  /// The change from the version before to the one in effect; nothing before the first one.
  std::optional<wire::LinkConfig> LastChange() const;
  /// The whole configuration in effect, as a change of nothing.
  std::optional<wire::LinkConfig> FullUpdate() const;

 private:
  RouteTablePtr routes_;
  RouteTablePtr previous_;
  std::string problem_;
};

}  // namespace limpet

#endif  // LIMPET_ROUTING_CONFIG_HOLDER_H_
