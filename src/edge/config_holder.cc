#include "limpet/edge/config_holder.h"

#include <memory>
#include <utility>

namespace limpet::edge {

ConfigOffer ConfigHolder::Offer(std::string encoded) {
  if (routes_ && encoded == encoded_) {
    return ConfigOffer::kNotNewer;
  }
  try {
    MeshConfig config = decode_(encoded);
    if (routes_ && config.version <= routes_->version()) {
      return ConfigOffer::kNotNewer;
    }
    routes_ = std::make_shared<const RouteTable>(std::move(config));
  } catch (const DecodeError& error) {
    problem_ = error.what();
    return ConfigOffer::kMalformed;
  } catch (const InvalidMeshConfig& error) {
    problem_ = error.what();
    return ConfigOffer::kInvalid;
  }
  encoded_ = std::move(encoded);
  problem_.clear();
  return ConfigOffer::kApplied;
}

}  // namespace limpet::edge
