#include "limpet/routing/config_holder.h"

#include <memory>
#include <utility>

#include "limpet/routing/mesh_delta.h"

namespace limpet {

ConfigOffer ConfigHolder::Offer(MeshConfig config) {
  if (config.version <= version()) {
    return ConfigOffer::kNotNewer;
  }
  try {
    auto routes = std::make_shared<const RouteTable>(std::move(config));
    previous_ = std::exchange(routes_, std::move(routes));
  } catch (const InvalidMeshConfig& error) {
    problem_ = error.what();
    return ConfigOffer::kInvalid;
  }
  problem_.clear();
  return ConfigOffer::kApplied;
}

ConfigOffer ConfigHolder::Offer(const wire::LinkConfig& change) {
  if (change.version <= version()) {
    return ConfigOffer::kNotNewer;
  }
  if (change.base != 0 && change.base != version()) {
    return ConfigOffer::kWrongBase;
  }
  try {
    return Offer(ApplyMeshDelta(change.base == 0 ? MeshConfig() : routes_->config(), change));
  } catch (const DecodeError& error) {
    problem_ = error.what();
    return ConfigOffer::kInvalid;
  }
}

std::optional<wire::LinkConfig> ConfigHolder::LastChange() const {
  if (!routes_ || !previous_) {
    return Whole();
  }
  return MakeMeshDelta(previous_->config(), routes_->config());
}

std::optional<wire::LinkConfig> ConfigHolder::Whole() const {
  return routes_ ? std::optional(MakeMeshDelta(MeshConfig(), routes_->config())) : std::nullopt;
}

}  // namespace limpet
