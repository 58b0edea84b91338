#ifndef LIMPET_MEMBERSHIP_GOSSIP_QUEUE_H_
#define LIMPET_MEMBERSHIP_GOSSIP_QUEUE_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace limpet {

/// Names whose latest state has transmissions left. Holds names and not records, so that a newer
/// record replaces an older one that waits.
class GossipQueue {
 public:
  /// Restarts the transmissions of this name.
  void Push(std::string_view name);
  void Remove(std::string_view name);

  /// Takes the names for one datagram, least often sent first, as long as the sum of `size_of`
  /// stays within `max_bytes`, but at least one. A name is dropped after `limit` transmissions.
  std::vector<std::string> Take(int max_bytes,
                                int limit,
                                const std::function<int(const std::string&)>& size_of);

  bool empty() const { return transmissions_.empty(); }
  std::size_t size() const { return transmissions_.size(); }

 private:
  std::map<std::string, int, std::less<>> transmissions_;
};

/// Transmissions of one update by each member of a group of `group_size`.
int TransmissionLimit(int factor, std::size_t group_size);

}  // namespace limpet

#endif  // LIMPET_MEMBERSHIP_GOSSIP_QUEUE_H_
