#ifndef LIMPET_DISTRIBUTION_READER_SELECTION_H_
#define LIMPET_DISTRIBUTION_READER_SELECTION_H_

#include <string>
#include <vector>

#include "limpet/core/time.h"
#include "limpet/membership/membership.h"

namespace limpet {

inline constexpr int kReadersPerDataCentre = 2;

/// Selects the members that read the log by rendezvous hash. Nodes with equal member tables select
/// the same readers, so no vote is needed. While the tables differ, some reads are duplicated.
class ReaderSelection {
 public:
  /// Ranking all members takes too long to do it in every tick.
  static constexpr Duration kRefreshInterval = std::chrono::milliseconds(250);

  void Refresh(TimePoint now, const Membership& membership);

  bool is_reader() const { return is_reader_; }
  /// Rank of this node among the candidates for the status lease of its data centre; 0 is first.
  int status_rank() const { return status_rank_; }
  /// Rank among the readers of all data centres, for the system-wide lease; 0 is first.
  int checkpoint_rank() const { return checkpoint_rank_; }
  /// Readers of this node's data centre, including this node if it is a reader.
  const std::vector<wire::MemberRecord>& readers() const { return readers_; }

 private:
  int ComputeCheckpointRank(const Membership& membership) const;

  TimePoint next_refresh_;
  bool is_reader_ = false;
  int status_rank_ = 0;
  int checkpoint_rank_ = 0;
  std::vector<wire::MemberRecord> readers_;
};

}  // namespace limpet

#endif  // LIMPET_DISTRIBUTION_READER_SELECTION_H_
