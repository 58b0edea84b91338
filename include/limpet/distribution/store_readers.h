#ifndef LIMPET_DISTRIBUTION_STORE_READERS_H_
#define LIMPET_DISTRIBUTION_STORE_READERS_H_

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "limpet/core/time.h"

namespace limpet {

struct StoreReadersOptions {
  /// Nodes of one data centre that read the store; the others get changes from them.
  std::size_t readers = 2;
  /// Nodes next in rank that are kept in touch with, so that not all nodes of a data centre start
  /// to read when a reader fails.
  std::size_t standbys = 2;
  /// A reader that was not heard for this long does not count. Convergence within 2 s leaves room
  /// for this and one read.
  Duration max_report_age = std::chrono::milliseconds(900);
  /// A node that took over reading goes on for this long after the readers are back.
  Duration hold = std::chrono::seconds(4);
};

/// Decides which nodes of a data centre read the configuration from the store: those with the
/// widest network links, ties broken by rendezvous hash, among the nodes that can be heard and
/// whose store answers. A node that hears none reads for itself, so a node that is cut off from
/// its peers but not from the store stays current. Free of I/O, not safe for concurrent use.
class StoreReaders {
 public:
  StoreReaders(StoreReadersOptions options, std::string self, int self_link_mbps);

  /// A node of the own data centre was heard. `store_unreachable` if it tried to read and could
  /// not.
  void OnNodeReport(TimePoint now, const std::string& node, int link_mbps, bool store_unreachable);
  void Remove(const std::string& node);

  /// The nodes that should read, this one included if it is among them, in order of rank.
  std::vector<std::string> Readers(TimePoint now) const;
  /// The nodes that should be asked for a sign of life: the readers and those next in rank.
  std::vector<std::string> NodesToProbe() const;
  /// Whether this node has to read. `has_config` is false until it holds a configuration.
  bool ShouldRead(TimePoint now, bool has_config);

 private:
  using Rank = std::tuple<int, uint64_t, std::string>;
  struct Candidate {
    int link_mbps = 0;
    TimePoint reported_at{};
    bool store_unreachable = false;
  };

  static Rank RankOf(const std::string& name, int link_mbps);

  StoreReadersOptions options_;
  std::string self_;
  int self_link_mbps_;
  std::map<std::string, Candidate> candidates_;
  TimePoint read_until_{};
};

}  // namespace limpet

#endif  // LIMPET_DISTRIBUTION_STORE_READERS_H_
