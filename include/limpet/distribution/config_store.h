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
  kRefused,      // does not validate as a whole
};

/// A version that this node could not apply.
struct ConfigRefusal {
  int64_t version = 0;
  std::string reason;

  bool operator==(const ConfigRefusal&) const = default;
};

/// The configuration in effect on this node. Moves only forwards, and only to configurations that
/// validate as a whole; a failure leaves the version in effect.
class ConfigStore {
 public:
  ConfigStore();

  ApplyResult Apply(const wire::AcceptedChange& change);
  /// Takes the snapshot that replay of the log produced for `change`, already validated.
  ApplyResult InstallValidated(const wire::AcceptedChange& change, ConfigSnapshotPtr snapshot);
  ApplyResult Install(const wire::FullConfig& config);
  /// Records up to `next_offset` of the log are known to change nothing more.
  void SetPosition(int64_t next_offset);

  const ConfigSnapshotPtr& snapshot() const { return snapshot_; }
  int64_t version() const { return snapshot_->version(); }
  /// Offset in the stream "config" at which replay continues.
  int64_t position() const { return position_; }
  /// The configuration in effect with `next_offset` set to `position()`.
  wire::FullConfig FullConfig() const;
  const DeltaHistory& history() const { return history_; }
  /// Set while a newer version than the one in effect was refused.
  const std::optional<ConfigRefusal>& refusal() const { return refusal_; }

 private:
  ApplyResult Check(const wire::AcceptedChange& change) const;
  void Swap(ConfigSnapshotPtr snapshot);
  ApplyResult Refuse(int64_t version, const std::string& reason);

  ConfigSnapshotPtr snapshot_;
  int64_t position_ = 1;
  DeltaHistory history_;
  std::optional<ConfigRefusal> refusal_;
};

}  // namespace limpet

#endif  // LIMPET_DISTRIBUTION_CONFIG_STORE_H_
