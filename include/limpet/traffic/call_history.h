#ifndef LIMPET_TRAFFIC_CALL_HISTORY_H_
#define LIMPET_TRAFFIC_CALL_HISTORY_H_

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include "limpet/core/time.h"

namespace limpet {

/// Tells which calls of other nodes may have been accepted so long ago that their ids are not kept
/// any more. A process sends its pending calls again on each link that it opens, and a copy may be
/// held up on the way for longer than ids are kept.
///
/// Ids of calls grow within a process and arrive in order on a link, so the highest id is enough to
/// know whether a call has arrived. The state of a process has a constant size. Not safe for
/// concurrent use.
class CallHistory {
 public:
  /// Ids of accepted calls are kept elsewhere for at least `retention` after their arrival. The
  /// state of a process is kept while it has a link, and then for `process_lifetime`.
  CallHistory(Duration retention, Duration process_lifetime);

  /// A link of the process has come into use. Calls on it with an id below `next_call_id` were sent
  /// on earlier links before; 0 if the process does not say so.
  void OnLink(TimePoint now, const std::string& process, int64_t next_call_id);
  /// A call of the process has arrived. Returns true if an earlier copy of it may have been
  /// accepted and forgotten.
  bool OnCall(TimePoint now, const std::string& process, int64_t call_id);
  /// Removes the state of processes that have had no link for their lifetime.
  void Expire(TimePoint now, const std::function<bool(const std::string& process)>& has_link);

 private:
  struct Process {
    /// Highest id that has arrived.
    int64_t newest = 0;
    /// Value of `newest` at the start of the present period.
    int64_t newest_before = 0;
    /// Value of `newest` at the start of the period before. These calls may be forgotten.
    int64_t forgotten = 0;
    TimePoint period_start{};
    /// Calls up to this id on the present link were sent before.
    int64_t resent = 0;
    /// Last time at which the process was known to have a link.
    TimePoint last_linked{};
  };

  void Advance(TimePoint now, Process& process) const;

  /// A third of the retention. A period ends with the first call after this time, and if it has
  /// lasted twice as long, all earlier calls count as forgotten. So a call that does not count as
  /// forgotten arrived less than three times this long ago.
  Duration period_;
  Duration process_lifetime_;
  std::unordered_map<std::string, Process> processes_;
};

}  // namespace limpet

#endif  // LIMPET_TRAFFIC_CALL_HISTORY_H_
