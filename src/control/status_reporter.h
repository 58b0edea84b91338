#ifndef LIMPET_CONTROL_STATUS_REPORTER_H_
#define LIMPET_CONTROL_STATUS_REPORTER_H_

#include <optional>
#include <vector>

#include "limpet/control/control_output.h"
#include "limpet/core/random.h"
#include "limpet/core/time.h"
#include "limpet/distribution/config_store.h"
#include "limpet/distribution/status_aggregator.h"
#include "limpet/membership/membership.h"

namespace limpet {

/// Sends this node's version and refusal to the readers of its data centre, on each change and
/// every 10 s. All readers receive it, because one of them holds the status lease and a node that
/// does not read the log does not know which.
class StatusReporter {
 public:
  static constexpr Duration kInterval = std::chrono::seconds(10);

  explicit StatusReporter(Random random) : random_(random) {}

  void Tick(TimePoint now,
            const ConfigStore& store,
            const Membership& membership,
            const std::vector<wire::MemberRecord>& readers,
            StatusAggregator& local_aggregator,
            ControlOutput& output);

 private:
  Random random_;
  TimePoint next_report_;
  std::optional<wire::StatusReport> last_;
  std::vector<std::string> last_readers_;
};

}  // namespace limpet

#endif  // LIMPET_CONTROL_STATUS_REPORTER_H_
