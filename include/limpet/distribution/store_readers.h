#ifndef LIMPET_DISTRIBUTION_STORE_READERS_H_
#define LIMPET_DISTRIBUTION_STORE_READERS_H_

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "limpet/core/enum_names.h"
#include "limpet/core/time.h"

namespace limpet {

struct StoreReadersOptions {
  /// Nodes of one data centre that read the store; the others receive changes from them.
  std::size_t readers = 2;
  /// Nodes next in rank that are probed as well, so that not all nodes of a data centre start to
  /// read when a reader fails.
  std::size_t standbys = 2;
  /// A node without a report for this long does not count as a reader. This timeout and one read
  /// must fit into the convergence time of 2 s.
  Duration max_report_age = std::chrono::milliseconds(900);
  /// A node that took over reading stops this long after the readers are back.
  Duration release_delay = std::chrono::seconds(4);
  /// While the readers and standbys cannot reach the store, the number of nodes that try to read
  /// doubles after each interval of this length. In a general outage, few nodes call the store.
  Duration takeover_interval = std::chrono::seconds(1);
};

/// How a node takes part in reading the configuration from the store.
enum class ReaderRole {
  kNone,
  kPrimary,    // the first reader of the data centre; its reads bound the age of the configuration
  kSecondary,  // reads less often; becomes the primary at once if that one fails
};

inline constexpr EnumNames<ReaderRole, 3> kReaderRoleNames = {{
    {ReaderRole::kNone, "none"},
    {ReaderRole::kPrimary, "primary"},
    {ReaderRole::kSecondary, "secondary"},
}};

/// Decides which nodes of a data centre read the configuration from the store: those with the
/// highest link bandwidth, ties broken by rendezvous hash, among the nodes that report and can
/// reach the store. A node that receives no reports reads the store itself, so it stays current
/// when it is cut off from its peers but not from the store. Does no I/O; not safe for concurrent
/// use.
class StoreReaders {
 public:
  StoreReaders(StoreReadersOptions options, std::string self, int self_link_mbps);

  /// Records a report of a node of the same data centre. `store_unreachable` is true if the node
  /// tried to read the store and could not.
  void OnNodeReport(TimePoint now, const std::string& node, int link_mbps, bool store_unreachable);
  void Remove(const std::string& node);

  /// Returns the nodes that should read, in order of rank. May include this node.
  std::vector<std::string> Readers(TimePoint now) const;
  /// Returns the other nodes to probe, in order of rank: as many as there are readers and standbys.
  std::vector<std::string> NodesToProbe() const;
  /// Returns the role of this node. It reads the store if it has no configuration yet, knows no
  /// other node of the data centre, or is one of the readers, and for `release_delay` after it was
  /// one.
  ReaderRole Role(TimePoint now, bool has_config);

 private:
  using Rank = std::tuple<int, uint64_t, std::string>;
  struct Candidate {
    int link_mbps = 0;
    TimePoint reported_at{};
    bool store_unreachable = false;
  };

  static Rank MakeRank(const std::string& name, int link_mbps);
  /// Time for which this node must have been among the readers before it reads.
  Duration TakeoverDelay() const;

  StoreReadersOptions options_;
  std::string self_;
  int self_link_mbps_;
  std::map<std::string, Candidate> candidates_;
  TimePoint read_until_{};
  /// Time since which this node has been among the readers; zero if it is not.
  TimePoint selected_since_{};
};

}  // namespace limpet

#endif  // LIMPET_DISTRIBUTION_STORE_READERS_H_
