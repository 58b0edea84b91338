#ifndef LIMPET_DISTRIBUTION_READER_SELECTION_H_
#define LIMPET_DISTRIBUTION_READER_SELECTION_H_

#include <string>
#include <vector>

#include "limpet/core/time.h"
#include "limpet/membership/membership.h"

namespace limpet {

inline constexpr int kReadersPerDataCentre = 2;

/// Which members read the log, by rendezvous hash: each node computes the same from its member
/// table, without voting. While tables differ, some readers duplicate work.
class ReaderSelection {
 public:
  /// Ranking all members takes longer than a tick should, so it is done this often.
  static constexpr Duration kRefreshInterval = std::chrono::milliseconds(250);

  void Refresh(TimePoint now, const Membership& membership);

  bool is_reader() const { return is_reader_; }
  /// Order in which this node competes for the lease of its data centre; 0 is the first.
  int status_rank() const { return status_rank_; }
  /// The same for the system-wide lease, among the readers of all data centres.
  int checkpoint_rank() const { return checkpoint_rank_; }
  /// The readers of this node's data centre, this node included if it is one.
  const std::vector<wire::MemberRecord>& readers() const { return readers_; }

 private:
  int CheckpointRank(const Membership& membership) const;

  TimePoint next_refresh_;
  bool is_reader_ = false;
  int status_rank_ = 0;
  int checkpoint_rank_ = 0;
  std::vector<wire::MemberRecord> readers_;
};

}  // namespace limpet

#endif  // LIMPET_DISTRIBUTION_READER_SELECTION_H_
