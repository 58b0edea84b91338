#include "limpet/rollout/rollout_types.h"

#include <xxhash.h>

#include <nlohmann/json.hpp>

#include "limpet/core/error.h"

namespace limpet {

namespace {

using Json = nlohmann::json;

}  // namespace

int64_t RolloutOrder::Id() const {
  const std::string text =
      service + '\0' + target_version + '\0' + std::to_string(duration.count());
  // Positive, so that 0 means "no order".
  return static_cast<int64_t>(XXH3_64bits(text.data(), text.size()) >> 1) | 1;
}

std::string EncodeRolloutOrder(const RolloutOrder& order) {
  return Json{{"service", order.service},
              {"target_version", order.target_version},
              {"duration_us", order.duration.count()}}
      .dump();
}

RolloutOrder DecodeRolloutOrder(std::string_view text) {
  try {
    const Json json = Json::parse(text);
    return {json.at("service").get<std::string>(), json.at("target_version").get<std::string>(),
            Duration(json.at("duration_us").get<int64_t>())};
  } catch (const Json::exception& error) {
    throw DecodeError(std::string("invalid roll-out order: ") + error.what());
  }
}

std::string EncodeRolloutStatus(const RolloutStatus& status) {
  return Json{{"order", status.order},
              {"target_version", status.target_version},
              {"state", EnumName(kRolloutStateNames, status.state)},
              {"share", status.share},
              {"sequence", status.sequence},
              {"elapsed_us", status.elapsed.count()},
              {"excluded", status.excluded_versions}}
      .dump();
}

RolloutStatus DecodeRolloutStatus(std::string_view text) {
  try {
    const Json json = Json::parse(text);
    RolloutStatus status;
    status.order = json.at("order").get<int64_t>();
    status.target_version = json.at("target_version").get<std::string>();
    const auto state = ParseEnumName(kRolloutStateNames, json.at("state").get<std::string>());
    if (!state) {
      throw DecodeError("unknown state of a roll-out");
    }
    status.state = *state;
    status.share = json.at("share").get<double>();
    status.sequence = json.at("sequence").get<int64_t>();
    status.elapsed = Duration(json.at("elapsed_us").get<int64_t>());
    status.excluded_versions = json.at("excluded").get<std::vector<std::string>>();
    return status;
  } catch (const Json::exception& error) {
    throw DecodeError(std::string("invalid state of a roll-out: ") + error.what());
  }
}

}  // namespace limpet
