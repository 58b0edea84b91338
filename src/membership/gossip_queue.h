#ifndef LIMPET_MEMBERSHIP_GOSSIP_QUEUE_H_
#define LIMPET_MEMBERSHIP_GOSSIP_QUEUE_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace limpet {

/// Names of members or data centres whose latest state has not been sent often enough yet. Holds
/// names and not records, so that a newer record replaces a queued older one.
class GossipQueue {
 public:
  /// Queues a name with a transmission count of zero, even if it is queued already.
  void Push(std::string_view name);
  void Remove(std::string_view name);

  /// Returns the names for one datagram, least often sent first, and counts a transmission of each.
  /// The sum of `size_of` stays within `max_bytes`, but at least one name is returned unless the
  /// queue is empty. A name is removed after `limit` transmissions.
  std::vector<std::string> SelectBatch(int max_bytes,
                                       int limit,
                                       const std::function<int(const std::string&)>& size_of);

  bool empty() const { return transmissions_.empty(); }
  std::size_t size() const { return transmissions_.size(); }

 private:
  std::map<std::string, int, std::less<>> transmissions_;
};

/// Returns how often each member of a group of `group_size` sends one update:
/// `factor` * ceil(log2(group_size + 1)), at least `factor`.
int TransmissionLimit(int factor, std::size_t group_size);

}  // namespace limpet

#endif  // LIMPET_MEMBERSHIP_GOSSIP_QUEUE_H_
