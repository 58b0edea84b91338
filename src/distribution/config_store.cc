#include "limpet/distribution/config_store.h"

#include <algorithm>
#include <memory>
#include <utility>

#include "limpet/config/config.h"
#include "limpet/configlog/log_replay.h"
#include "limpet/core/fault.h"

namespace limpet {

ConfigStore::ConfigStore()
    : snapshot_(std::make_shared<const ConfigSnapshot>(wire::FullConfig())) {}

ApplyResult ConfigStore::Apply(const wire::AcceptedChange& change) {
  if (const ApplyResult check = CheckVersions(change); check != ApplyResult::kApplied) {
    return check;
  }
  try {
    ReplaceSnapshot(ApplyChange(*snapshot_, change));
  } catch (const ValidationError& error) {
    return RecordRefusal(change.version, error.what());
  }
  history_.Add(change);
  return ApplyResult::kApplied;
}

ApplyResult ConfigStore::InstallValidated(const wire::AcceptedChange& change,
                                          ConfigSnapshotPtr snapshot) {
  if (const ApplyResult check = CheckVersions(change); check != ApplyResult::kApplied) {
    return check;
  }
  ReplaceSnapshot(std::move(snapshot));
  history_.Add(change);
  return ApplyResult::kApplied;
}

ApplyResult ConfigStore::Install(const wire::FullConfig& config) {
  if (config.version <= version() && !IsFaultActive(Fault::kAcceptOlderVersion)) {
    return ApplyResult::kOld;
  }
  try {
    ReplaceSnapshot(std::make_shared<const ConfigSnapshot>(config));
  } catch (const ValidationError& error) {
    return RecordRefusal(config.version, error.what());
  }
  SetPosition(config.next_offset);
  history_.Clear();
  return ApplyResult::kApplied;
}

void ConfigStore::SetPosition(int64_t next_offset) {
  position_ = std::max(next_offset, version() + 1);
}

wire::FullConfig ConfigStore::FullConfig() const {
  wire::FullConfig config = snapshot_->config();
  config.next_offset = position_;
  return config;
}

ApplyResult ConfigStore::CheckVersions(const wire::AcceptedChange& change) const {
  if (change.version <= version()) {
    return IsFaultActive(Fault::kAcceptOlderVersion) ? ApplyResult::kApplied : ApplyResult::kOld;
  }
  if (change.record.base != version() && !IsFaultActive(Fault::kSkipBaseCheck)) {
    return ApplyResult::kMissingBase;
  }
  return ApplyResult::kApplied;
}

void ConfigStore::ReplaceSnapshot(ConfigSnapshotPtr snapshot) {
  snapshot_ = std::move(snapshot);
  position_ = std::max(position_, version() + 1);
  if (refusal_ && refusal_->version <= version()) {
    refusal_.reset();
  }
}

ApplyResult ConfigStore::RecordRefusal(int64_t version, const std::string& reason) {
  refusal_ = ConfigRefusal{version, reason};
  return ApplyResult::kRefused;
}

}  // namespace limpet
