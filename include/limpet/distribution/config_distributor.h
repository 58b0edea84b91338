#ifndef LIMPET_DISTRIBUTION_CONFIG_DISTRIBUTOR_H_
#define LIMPET_DISTRIBUTION_CONFIG_DISTRIBUTOR_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "limpet/control/control_output.h"
#include "limpet/core/counters.h"
#include "limpet/core/random.h"
#include "limpet/core/time.h"
#include "limpet/distribution/config_store.h"
#include "limpet/distribution/distribution_mode.h"
#include "limpet/distribution/repair.h"
#include "limpet/distribution/transfer_limiter.h"
#include "limpet/membership/membership.h"

namespace limpet {

/// Distributes configuration changes between nodes: pushes the changes that this node applied,
/// replies to requests of peers that are behind, and requests changes from peers that are ahead.
class ConfigDistributor {
 public:
  /// State of a peer, as given in a `DeltaPush` that it sent.
  struct PeerVersionReport {
    std::string peer;
    bool ready = false;
    int64_t version = 0;
    int64_t next_offset = 0;
  };

  /// The references must outlive the distributor.
  ConfigDistributor(DistributionMode mode,
                    const Membership& membership,
                    ConfigStore& store,
                    Random random,
                    Counters& counters);

  /// Sends a repair request if one is due.
  void Tick(TimePoint now, ControlOutput& output);
  /// Handles the versions that peers reported in pings. A peer that is ahead is asked after
  /// `Repair::kPushGracePeriod`, in which a push may still arrive, or at once if `urgent`.
  void OnReportedVersions(TimePoint now, const std::vector<ReportedVersion>& versions, bool urgent);
  /// Returns true if the envelope held a message of this module.
  bool OnMessage(TimePoint now, const wire::Envelope& envelope, ControlOutput& output);
  /// Requests a peer's version and, unless `version_only`, the changes after this node's version.
  void SendDeltaRequest(const wire::MemberRecord& peer,
                        bool version_only,
                        ControlOutput& output) const;
  /// Pushes changes that this node read from the log to the roots of the push tree and to this
  /// node's children in it.
  void PushFromLog(const std::vector<wire::AcceptedChange>& changes, ControlOutput& output);

  /// Returns the reports received since the last call.
  std::vector<PeerVersionReport> TakeVersionReports();
  bool IsBehind() const { return repair_.IsBehind(store_.version()); }
  void set_ready(bool ready) { ready_ = ready; }

 private:
  /// Where a change came from. `kExternal` is the log or another data centre.
  enum class Origin { kSameDataCentre, kExternal };

  void OnDeltaPush(TimePoint now, const wire::Envelope& envelope, ControlOutput& output);
  void OnDeltaRequest(TimePoint now, const wire::Envelope& envelope, ControlOutput& output);
  void OnCheckpointReply(TimePoint now, const wire::Envelope& envelope);
  void ServeCheckpoint(TimePoint now, const wire::Envelope& envelope, ControlOutput& output);
  std::vector<wire::AcceptedChange> ApplyPush(TimePoint now, const wire::Envelope& envelope);
  void Forward(const std::vector<wire::AcceptedChange>& changes,
               Origin origin,
               std::string_view sender,
               ControlOutput& output);
  bool IsFromOtherDataCentre(std::string_view sender) const;
  wire::DeltaPush MakePush(std::vector<wire::AcceptedChange> changes) const;
  void Reply(const wire::Envelope& to, wire::Message message, ControlOutput& output) const;
  void CountResult(ApplyResult result);

  DistributionMode mode_;
  const Membership& membership_;
  ConfigStore& store_;
  Repair repair_;
  TransferLimiter transfers_;
  std::vector<PeerVersionReport> version_reports_;
  bool ready_ = false;

  Counter& applied_;
  Counter& refused_;
  Counter& repairs_;
  Counter& transfers_served_;
  Counter& transfers_refused_;
};

}  // namespace limpet

#endif  // LIMPET_DISTRIBUTION_CONFIG_DISTRIBUTOR_H_
