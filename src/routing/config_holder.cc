#include "limpet/routing/config_holder.h"

#include <memory>
#include <utility>

#include "limpet/routing/mesh_delta.h"

namespace limpet {

ConfigUpdateResult ConfigHolder::Update(MeshConfig config) {
  if (config.version <= version()) {
    return ConfigUpdateResult::kNotNewer;
  }
  try {
    auto routes = std::make_shared<const RouteTable>(std::move(config));
    previous_ = std::exchange(routes_, std::move(routes));
  } catch (const InvalidMeshConfig& error) {
    problem_ = error.what();
    return ConfigUpdateResult::kInvalid;
  }
  problem_.clear();
  return ConfigUpdateResult::kApplied;
}

ConfigUpdateResult ConfigHolder::Update(const wire::LinkConfig& change) {
  if (change.version <= version()) {
    return ConfigUpdateResult::kNotNewer;
  }
  if (change.base != 0 && change.base != version()) {
    return ConfigUpdateResult::kWrongBase;
  }
  try {
    return Update(ApplyMeshDelta(change.base == 0 ? MeshConfig() : routes_->config(), change));
  } catch (const DecodeError& error) {
    problem_ = error.what();
    return ConfigUpdateResult::kInvalid;
  }
}

std::optional<wire::LinkConfig> ConfigHolder::LastChange() const {
  if (!routes_ || !previous_) {
    return FullUpdate();
  }
  return MakeMeshDelta(previous_->config(), routes_->config());
}

std::optional<wire::LinkConfig> ConfigHolder::FullUpdate() const {
  return routes_ ? std::optional(MakeMeshDelta(MeshConfig(), routes_->config())) : std::nullopt;
}

}  // namespace limpet
