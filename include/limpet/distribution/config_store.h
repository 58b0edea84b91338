#ifndef LIMPET_DISTRIBUTION_CONFIG_STORE_H_
#define LIMPET_DISTRIBUTION_CONFIG_STORE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "limpet/config/snapshot.h"
#include "limpet/distribution/delta_history.h"
#include "limpet_types.h"

namespace limpet {

enum class ApplyResult {
  kApplied,
  kOld,          // not newer than the version in effect
  kMissingBase,  // newer, but based on a version that is not in effect
  kRefused,      // the resulting configuration is invalid
};

/// A version that this node could not apply.
struct ConfigRefusal {
  int64_t version = 0;
  std::string reason;

  bool operator==(const ConfigRefusal&) const = default;
};

/// Holds the configuration in effect on this node. Its version only increases, and each version is
/// validated as a whole; after a failure the previous version stays in effect.
class ConfigStore {
 public:
  ConfigStore();

  ApplyResult Apply(const wire::AcceptedChange& change);
  /// Puts the snapshot that log replay produced for `change` into effect. It must be validated.
  ApplyResult InstallValidated(const wire::AcceptedChange& change, ConfigSnapshotPtr snapshot);
  /// Replaces the whole configuration and clears the history.
  ApplyResult Install(const wire::FullConfig& config);
  /// Sets the position to `next_offset`, because the log records between `version()` and it are
  /// known to change nothing. The position stays above `version()`.
  void SetPosition(int64_t next_offset);

  const ConfigSnapshotPtr& snapshot() const { return snapshot_; }
  int64_t version() const { return snapshot_->version(); }
  /// Offset in the stream "config" at which replay continues.
  int64_t position() const { return position_; }
  /// The configuration in effect with `next_offset` set to `position()`.
  wire::FullConfig FullConfig() const;
  const DeltaHistory& history() const { return history_; }
  /// The last refused version, if it is newer than the one in effect.
  const std::optional<ConfigRefusal>& refusal() const { return refusal_; }

 private:
  ApplyResult CheckVersions(const wire::AcceptedChange& change) const;
  void ReplaceSnapshot(ConfigSnapshotPtr snapshot);
  ApplyResult RecordRefusal(int64_t version, const std::string& reason);

  ConfigSnapshotPtr snapshot_;
  int64_t position_ = 1;
  DeltaHistory history_;
  std::optional<ConfigRefusal> refusal_;
};

}  // namespace limpet

#endif  // LIMPET_DISTRIBUTION_CONFIG_STORE_H_
