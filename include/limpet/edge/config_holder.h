#ifndef LIMPET_EDGE_CONFIG_HOLDER_H_
#define LIMPET_EDGE_CONFIG_HOLDER_H_

#include <functional>
#include <string>
#include <string_view>

#include "limpet/routing/route_table.h"

namespace limpet::edge {

/// Result of offering a configuration.
enum class ConfigOffer {
  kApplied,
  kNotNewer,
  kMalformed,  // does not decode
  kInvalid,    // contradicts itself
};

inline constexpr EnumNames<ConfigOffer, 4> kConfigOfferNames = {{
    {ConfigOffer::kApplied, "applied"},
    {ConfigOffer::kNotNewer, "not_newer"},
    {ConfigOffer::kMalformed, "malformed"},
    {ConfigOffer::kInvalid, "invalid"},
}};

/// The configuration in effect at this node. A version is applied whole or not at all, and never
/// after a newer one.
class ConfigHolder {
 public:
  using Decoder = std::function<MeshConfig(std::string_view)>;

  /// `decode` throws `DecodeError`.
  explicit ConfigHolder(Decoder decode) : decode_(std::move(decode)) {}

  ConfigOffer Offer(std::string encoded);

  /// Null before the first configuration.
  const RouteTablePtr& routes() const { return routes_; }
  /// 0 before the first configuration.
  int64_t version() const { return routes_ ? routes_->version() : 0; }
  const std::string& encoded() const { return encoded_; }
  /// Why the last offer was refused.
  const std::string& problem() const { return problem_; }

 private:
  Decoder decode_;
  RouteTablePtr routes_;
  std::string encoded_;
  std::string problem_;
};

}  // namespace limpet::edge

#endif  // LIMPET_EDGE_CONFIG_HOLDER_H_
